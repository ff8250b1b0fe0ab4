//! Members with real threads, disks and sockets.

use cardamomtally::{
    core::{
        clock::SystemClock,
        log::{Log as _, Machine},
    },
    prelude::*,
    replica::{GroupSpec, GroupStatus, Host, HostOptions, Standing},
    settings::control::{GroupSettings, MemberSettings},
    settings::units::{Size, Span},
    timeline::Recorder,
    util::log,
};
use std::{net::TcpListener, path::Path, time::Instant};

/// Waits for an answer of the log, on no particular runtime.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.unwrap().block_on(future)
}

const GROUP: GroupId = GroupId::CONFIG;
const PATIENCE: Duration = Duration::from_mins(1);

/// Counts commands, and remembers the last.
#[derive(Debug, Default)]
struct Counter {
    count: u64,
    last: Vec<u8>,
}

impl Machine for Counter {
    fn apply(&mut self, _index: Index, command: &[u8]) -> Vec<u8> {
        self.count += 1;
        self.last = command.to_vec();
        self.count.to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut bytes = self.count.to_le_bytes().to_vec();
        bytes.extend_from_slice(&self.last);
        bytes
    }

    fn restore(&mut self, bytes: &[u8]) -> eyre::Result<()> {
        let (count, last) = bytes
            .split_first_chunk()
            .ok_or_else(|| eyre::eyre!("too short"))?;
        self.count = u64::from_le_bytes(*count);
        self.last = last.to_vec();
        Ok(())
    }
}

/// Members on one machine.
struct Site {
    folder: tempfile::TempDir,
    members: Vec<MemberSettings>,
    hosts: Vec<Option<Host>>,
    snapshot_entries: u64,
}

fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

impl Site {
    fn new(size: usize) -> Self {
        let member = |i| MemberSettings {
            name: format!("c{i}"),
            poll: String::new(),
            peer: free_address(),
        };
        let mut new = Self {
            folder: tempfile::tempdir().unwrap(),
            members: (0..size).map(member).collect(),
            hosts: Vec::new(),
            snapshot_entries: 1_000,
        };
        new.hosts = (0..size).map(|i| Some(new.host(i))).collect();
        new
    }

    fn path(&self, member: usize) -> std::path::PathBuf {
        self.folder.path().join(format!("c{member}"))
    }

    fn host(&self, member: usize) -> Host {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let name = self.members[member].name.clone();
        let options = HostOptions {
            settings: settings(&self.path(member), &self.members, self.snapshot_entries),
            groups: vec![GroupSpec {
                id: GROUP,
                members: self.members.iter().map(|m| m.name.clone()).collect(),
                machine: Box::new(Counter::default()),
            }],
            log: log::discard(),
            events: Arc::new(Recorder::new(&name, Arc::clone(&clock), 64)),
            clock,
            name,
        };
        Host::start(options).unwrap()
    }

    fn stop(&mut self, member: usize) {
        self.hosts[member] = None;
    }

    fn wipe(&self, member: usize) {
        std::fs::remove_dir_all(self.path(member)).unwrap();
    }

    fn start(&mut self, member: usize) {
        self.hosts[member] = Some(self.host(member));
    }

    fn running(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().flatten()
    }

    /// Commits a command through a member, with as many tries as it takes.
    fn propose(&self, member: usize, command: &[u8]) -> u64 {
        let host = self.hosts[member].as_ref().unwrap();
        let end = Instant::now() + PATIENCE;
        loop {
            match block_on(host.propose(GROUP, command.to_vec())) {
                Ok(answer) => return u64::from_le_bytes(answer.try_into().unwrap()),
                Err(error) => assert!(Instant::now() < end, "{error}"),
            }
        }
    }

    /// Waits until a member's view of the group satisfies a condition.
    fn wait(&self, member: usize, condition: impl Fn(&GroupStatus) -> bool) {
        let host = self.hosts[member].as_ref().unwrap();
        let end = Instant::now() + PATIENCE;
        while !host.status().first().is_some_and(&condition) {
            assert!(Instant::now() < end, "{:#?}", host.status());
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn leader(&self) -> usize {
        let end = Instant::now() + PATIENCE;
        loop {
            let leads = |h: &Option<Host>| h.as_ref().is_some_and(|h| h.leader(GROUP).here);
            if let Some(leader) = self.hosts.iter().position(leads) {
                return leader;
            }
            assert!(Instant::now() < end, "no leader");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

fn settings(folder: &Path, members: &[MemberSettings], snapshot_entries: u64) -> GroupSettings {
    GroupSettings {
        folder: folder.to_owned(),
        members: members.to_vec(),
        bind_poll: None,
        bind_peer: None,
        heartbeat: Span::ms(100),
        election: Span::ms(500),
        snapshot_entries,
        segment: Size(64 << 10),
    }
}

#[test]
fn a_single_member_commits_and_remembers() {
    let mut site = Site::new(1);
    for _ in 0..5 {
        site.propose(0, b"x");
    }

    site.stop(0);
    site.start(0);

    assert_eq!(site.propose(0, b"y"), 6);
}

#[test]
fn any_member_commits_and_reads() {
    let site = Site::new(3);

    for member in 0..3 {
        assert_eq!(site.propose(member, b"x"), member as u64 + 1);
    }

    for host in site.running() {
        let index = block_on(host.barrier(GROUP)).unwrap();
        let status = host.status();
        assert!(index >= Index(5), "{status:#?}");
    }
}

#[test]
fn the_group_goes_on_when_its_leader_stops_or_all_restart() {
    let mut site = Site::new(3);
    site.propose(0, b"x");

    let leader = site.leader();
    site.stop(leader);
    let count = site.propose((leader + 1) % 3, b"y");
    for member in 0..3 {
        site.stop(member);
    }
    for member in 0..3 {
        site.start(member);
    }

    assert_eq!(count, 2);
    assert_eq!(site.propose(leader, b"z"), 3);
}

#[test]
fn a_wiped_member_votes_again_after_it_caught_up() {
    let mut site = Site::new(3);
    for _ in 0..2_500 {
        site.propose(0, b"x");
    }
    let leader = site.leader();
    let wiped = (leader + 1) % 3;
    let old = member_id(&site, leader, wiped);

    site.stop(wiped);
    site.wipe(wiped);
    site.start(wiped);

    let name = Name::from(format!("c{wiped}"));
    site.wait(wiped, |status| {
        let new = status.members.iter().find(|m| m.name == name);
        new.is_some_and(|m| m.id != old && m.standing == Standing::Voter)
            && status.members.len() == 3
    });
    // The second loss right after the repair.
    let lost = (leader + 2) % 3;
    site.stop(lost);
    assert_eq!(site.propose(wiped, b"y"), 2_501);
}

fn member_id(site: &Site, asked: usize, member: usize) -> MemberId {
    let status = site.hosts[asked].as_ref().unwrap().status();
    let name = site.members[member].name.as_str();
    let found = status[0].members.iter().find(|m| m.name.as_ref() == name);
    found.unwrap().id
}
