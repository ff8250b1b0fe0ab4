//! A control group whose members are real processes on loopback.

use super::relay::Relay;
use cardamomtally::{
    control::view::Status,
    core::{id::MemberId, snapshot::hash_secret},
    replica::host::Suffrage,
};
use std::{
    fmt::Write as _,
    fs,
    io::{BufRead as _, BufReader},
    net::TcpListener,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};
use tempfile::TempDir;

/// Timeout of the wait for a condition; the bench panics after it.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Timeout of one HTTP request.
const HTTP_TIMEOUT: Duration = Duration::from_secs(6);

/// Clock ticks per second, the unit of processor time in `/proc`.
const TICKS_PER_SEC: f64 = 100.0;

/// Number of versions that the tickets change in turn.
const VERSION_COUNT: u64 = 34;

/// A running control group and the client that submits tickets to it.
pub struct Group {
    members: Vec<Member>,
    folder: TempDir,
    http: reqwest::Client,
    runtime: tokio::runtime::Runtime,
    /// Number of the last ticket that was submitted.
    number: u64,
    /// Log index of the last ticket that was accepted.
    index: u64,
}

struct Member {
    child: Child,
    settings: PathBuf,
    http: String,
    poll: String,
    /// Relays on the member's links to its peers, by peer; none for itself.
    outgoing: Vec<Option<Relay>>,
}

impl Group {
    /// Starts a group and waits until it has a leader.
    pub fn start(size: usize) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let polls: Vec<_> = (0..size).map(|_| free_address()).collect();
        let peers: Vec<_> = (0..size).map(|_| free_address()).collect();
        let start = |own: usize| {
            let others = peers.iter().enumerate();
            let relays = others.map(|(i, peer)| (i != own).then(|| Relay::start(peer)));
            let outgoing: Vec<_> = relays.collect();
            let text = settings(own, &folder, &polls, &peers, &outgoing);
            let file = folder.path().join(format!("control-{own}.toml"));
            fs::write(&file, text).expect("the settings file is written");
            let (child, http) = spawn(&file);
            Member {
                child,
                settings: file,
                http,
                poll: polls[own].clone(),
                outgoing,
            }
        };
        let members = (0..size).map(start).collect();
        let mut group = Self {
            members,
            folder,
            http: reqwest::Client::builder()
                .no_proxy()
                .timeout(HTTP_TIMEOUT)
                .build()
                .expect("the HTTP client can be built"),
            runtime: tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("the runtime can be built"),
            number: 0,
            index: 0,
        };
        group.leader();
        group
    }

    /// Returns the addresses at which the members answer polls.
    pub fn poll_addresses(&self) -> Vec<String> {
        self.members.iter().map(|m| m.poll.clone()).collect()
    }

    /// Returns the log index of the last accepted ticket.
    pub const fn index(&self) -> u64 {
        self.index
    }

    /// Submits the next ticket to a member, and again until it is accepted.
    /// Returns the time that this took.
    pub fn submit_next(&mut self, member: usize) -> Duration {
        self.number += 1;
        let text = ticket(self.number);
        let begun = Instant::now();
        let url = format!("http://{}/tickets", self.members[member].http);
        loop {
            assert!(
                begun.elapsed() < WAIT_TIMEOUT,
                "ticket {} was not accepted within {WAIT_TIMEOUT:?}",
                self.number
            );
            let request = self.http.post(&url).bearer_auth("secret");
            let answer = self.runtime.block_on(async {
                let response = request.body(text.clone()).send().await.ok()?;
                let ok = response.status().is_success();
                let body = response.bytes().await.ok()?;
                ok.then(|| serde_json::from_slice::<serde_json::Value>(&body).ok())?
            });
            if let Some(answer) = answer {
                self.index = answer["index"]
                    .as_u64()
                    .expect("an accepted ticket has a log index");
                return begun.elapsed();
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Waits for a member that leads and returns it.
    pub fn leader(&mut self) -> usize {
        self.wait("a member leads", |group| {
            (0..group.members.len()).find(|i| {
                group.status(*i).is_some_and(|s| {
                    let own = &s.members[*i];
                    s.confirmed && own.leads
                })
            })
        })
    }

    /// Suspends a member's process with `SIGSTOP`. Its connections stay open.
    pub fn pause(&self, member: usize) {
        self.signal(member, libc::SIGSTOP);
    }

    /// Resumes a member's suspended process.
    pub fn resume(&self, member: usize) {
        self.signal(member, libc::SIGCONT);
    }

    /// Kills a member's process.
    pub fn kill(&mut self, member: usize) {
        let child = &mut self.members[member].child;
        child.kill().expect("the process runs");
        child.wait().expect("the process ends");
    }

    /// Restarts a member whose process was killed.
    pub fn restart(&mut self, member: usize) {
        let member = &mut self.members[member];
        (member.child, member.http) = spawn(&member.settings);
    }

    /// Kills a member's process and deletes its data on disk. Returns the identity
    /// that the member had in the configuration group until then.
    pub fn wipe(&mut self, member: usize) -> MemberId {
        let old = self.wait("the member votes", |group| group.voter(member));
        self.kill(member);
        let folder = self.folder.path().join(format!("data-{member}"));
        fs::remove_dir_all(folder).expect("the folder can be deleted");
        old
    }

    /// Waits until a member has applied the last ticket.
    pub fn wait_caught_up(&mut self, member: usize) {
        self.wait("the member has caught up", |group| {
            let status = group.status(member)?;
            (status.confirmed && status.index.0 >= group.index).then_some(())
        });
    }

    /// Waits until a member whose data was deleted votes under another identity
    /// than `old`, and has applied the last ticket.
    pub fn wait_new_voter(&mut self, member: usize, old: MemberId) {
        self.wait("the wiped member votes again", |group| {
            let status = group.status(member)?;
            let caught_up = status.confirmed && status.index.0 >= group.index;
            let new = group.voter(member).is_some_and(|id| id != old);
            (caught_up && new).then_some(())
        });
    }

    /// Returns the identity under which the leader lists a member as a voter.
    fn voter(&self, member: usize) -> Option<MemberId> {
        let observer = (member + 1) % self.members.len();
        let status = self.status(observer)?;
        let name = &status.members[member].name;
        let leads = status.members.iter().find(|m| m.leads)?;
        let mut members = leads.replicas.first()?.members.iter();
        members
            .find(|m| m.name == *name && m.suffrage == Suffrage::Voter)
            .map(|m| m.id)
    }

    /// Returns the number of bytes that a member has sent and received, for polls
    /// and for replication.
    pub fn bytes(&mut self, member: usize) -> u64 {
        let status = self.wait("the member returns its status", |group| {
            group.status(member)
        });
        let (sent, received) = status.members[member].bytes;
        let outgoing = self.members[member].outgoing.iter().flatten();
        let incoming = self
            .members
            .iter()
            .filter_map(|m| m.outgoing[member].as_ref());
        let peers: u64 = outgoing.chain(incoming).map(Relay::bytes).sum();
        sent + received + peers
    }

    /// Returns the processor time of a member's process in seconds.
    pub fn cpu_secs(&self, member: usize) -> f64 {
        cpu_secs(&self.members[member].child.id().to_string())
    }

    /// Returns the resident memory of a member's process in MiB.
    pub fn rss_mb(&self, member: usize) -> f64 {
        let file = format!("/proc/{}/status", self.members[member].child.id());
        let text = fs::read_to_string(file).expect("the process runs");
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib = line.and_then(|l| l.trim().strip_suffix(" kB"));
        let kib: f64 = kib
            .and_then(|k| k.parse().ok())
            .expect("`VmRSS` is a number of kB");
        kib / 1_024.0
    }

    fn status(&self, member: usize) -> Option<Status> {
        let request = self
            .http
            .get(format!("http://{}/status", self.members[member].http));
        self.runtime.block_on(async {
            let response = request.send().await.ok()?;
            serde_json::from_slice(&response.bytes().await.ok()?).ok()
        })
    }

    fn wait<T>(&mut self, what: &str, check: impl Fn(&Self) -> Option<T>) -> T {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(found) = check(self) {
                return found;
            }
            assert!(Instant::now() < end, "timed out waiting until {what}");
            thread::sleep(CHECK_INTERVAL);
        }
    }

    fn signal(&self, member: usize, signal: libc::c_int) {
        let pid = libc::pid_t::try_from(self.members[member].child.id())
            .expect("the process id fits `pid_t`");
        // SAFETY: `kill` takes no pointers. The child has not been waited for, so
        // the system cannot have given its process id to another process.
        unsafe {
            libc::kill(pid, signal);
        }
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for member in &mut self.members {
            // Killing and waiting fail only if the process has ended already.
            let _ignored = member.child.kill();
            let _ignored = member.child.wait();
        }
    }
}

/// Returns the processor time of the bench's own process in seconds.
pub fn own_cpu_secs() -> f64 {
    cpu_secs("self")
}

fn cpu_secs(process: &str) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).expect("the process runs");
    let (_name, rest) = text
        .rsplit_once(')')
        .expect("`/proc/PID/stat` has the process name in parentheses");
    let ticks = rest.split_whitespace().skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|t| t.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SEC
}

fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    listener
        .local_addr()
        .expect("the listener is bound")
        .to_string()
}

fn settings(
    own: usize,
    folder: &TempDir,
    polls: &[String],
    peers: &[String],
    outgoing: &[Option<Relay>],
) -> String {
    let data = folder.path().join(format!("data-{own}"));
    let mut text = format!(
        "[process]\nname = \"control-{own}\"\ndata_centre = \"glasgow\"\n\
         [http]\nthreads = 2\n\
         [log]\nlevel = \"error\"\n\
         [group]\nfolder = \"{}\"\nbind_peer = \"{}\"\n",
        data.display(),
        peers[own]
    );
    for (i, poll) in polls.iter().enumerate() {
        let peer = outgoing[i]
            .as_ref()
            .map_or(&peers[i], |relay| &relay.address);
        let member = format!(
            "[[group.member]]\nname = \"control-{i}\"\npoll = \"{poll}\"\npeer = \"{peer}\"\n"
        );
        text.push_str(&member);
    }
    let token = hash_secret("secret");
    write!(
        text,
        "[[operator]]\npartner = \"clydeside\"\ntoken_sha256 = \"{token}\"\n"
    )
    .expect("writing to a string cannot fail");
    text
}

fn spawn(settings: &PathBuf) -> (Child, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cardamomtally-control"))
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let out = child.stdout.take().expect("stdout is piped");
    let line = BufReader::new(out).lines().next();
    let line = line.and_then(Result::ok).expect("the daemon prints a line");
    let json = line
        .strip_prefix("ready ")
        .expect("the first line is the ready line");
    let ready: serde_json::Value =
        serde_json::from_str(json).expect("the ready line contains JSON");
    let http = ready["http"]
        .as_str()
        .expect("the ready line has the HTTP address")
        .to_owned();
    (child, http)
}

/// Returns a ticket of the size of an ordinary change.
fn ticket(number: u64) -> String {
    let state = if number.is_multiple_of(2) {
        "in"
    } else {
        "out"
    };
    format!(
        "partner = \"clydeside\"\nnumber = {number}\nreason = \"measurement\"\n\
         [[data_centre]]\nname = \"glasgow\"\nregion = \"scot-central\"\nstate = \"{state}\"\n\
         [[version]]\nname = \"draft-small@{}\"\ncost = 0.2\nstage = \"withdrawn\"\n",
        number % VERSION_COUNT
    )
}
