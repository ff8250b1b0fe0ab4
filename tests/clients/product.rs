//! Crowds before the HTTP listeners of an entry, an agent and a control member.

use crate::{
    crowd::{Crowd, Shape, read_answer, send_body},
    support::{
        Site, eventually,
        site::{PARTNER, token},
        small::{SMALL, WORKSPACE, first_ticket, small, start_serving},
    },
};
use cardamomtally::{
    core::{
        config::VersionId,
        digest::Digest,
        id::{AttemptId, Index},
    },
    net::run::{ATTEMPT_HEADER, HEAD_HEADER, RunHead, Target},
};
use std::{
    fs,
    net::{SocketAddr, TcpStream},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Memory that a process of the system may take on a VM, as the users state it, in MiB.
const MEMORY_MB: u64 = 256;
/// Number of descriptors that a process may open where a test lowers it.
const FEW_FDS: usize = 400;
/// Clients whose bodies together take more memory than that.
const SENDERS: usize = 300;
/// Clients that together need more descriptors than [`FEW_FDS`].
const MANY: usize = 600;
/// Clients whose heads together take more memory than [`MEMORY_MB`], and the length of a head.
const HEADS: usize = 900;
const HEAD_BYTES: usize = 380 << 10;
/// Largest body of a request by default, in bytes.
const BODY_BYTES: usize = 1 << 20;

/// A site that only one test runs at a time.
struct Turn {
    site: Site,
    _turn: MutexGuard<'static, ()>,
}

impl Turn {
    fn start(most_fds: Option<usize>) -> Self {
        static TURN: Mutex<()> = Mutex::new(());
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let usual = most_fds.map(limit_descriptors);
        let site = start_serving(small());
        if let Some(usual) = usual {
            limit_descriptors(usual);
        }
        Self { site, _turn: turn }
    }

    fn address(&self, process: &str) -> SocketAddr {
        self.site.http(process).parse().unwrap()
    }

    /// Waits until an ordinary request to the entry and an ordinary call to control are
    /// answered, through an agent and a member.
    fn wait_answered(&self, number: u64) {
        self.site.wait_served("entry-1", WORKSPACE, SMALL);
        let caller = self.site.caller("entry-1", WORKSPACE);
        eventually("a job is served", || {
            caller.submit(&format!("job-{number}"), "job").status == 201
        });
        let mut ticket = first_ticket(&self.site);
        ticket.number = number;
        eventually("a ticket is accepted", || {
            self.site.submit_to("control-1", &ticket).ok()
        });
    }

    fn assert_bounded(&mut self, process: &str, most_fds: usize) {
        let process = self.site.process(process);
        assert_eq!(process.ended(), None, "the process ended");
        let id = process.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let peak: u64 = peak
            .unwrap()
            .trim()
            .trim_end_matches(" kB")
            .parse()
            .unwrap();
        let descriptors = fs::read_dir(format!("/proc/{id}/fd")).unwrap().count();
        println!("peak of memory {peak} KiB, open descriptors {descriptors}");
        assert!(peak < MEMORY_MB << 10, "the process took {peak} KiB");
        assert!(descriptors < most_fds, "{descriptors} descriptors are open");
    }
}

/// Sets the number of descriptors that processes started from now on may open, and returns
/// the one before.
fn limit_descriptors(most: usize) -> usize {
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: both calls take a pointer to a whole `rlimit`.
    unsafe {
        assert_eq!(libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit), 0);
        let usual = limit.rlim_cur as usize;
        limit.rlim_cur = most as libc::rlim_t;
        assert_eq!(libc::setrlimit(libc::RLIMIT_NOFILE, &raw const limit), 0);
        usual
    }
}

/// Lets a crowd send to a process, twice, and checks the process and ordinary requests
/// meanwhile.
fn check(process: &str, few_fds: bool, crowd: impl Fn(SocketAddr) -> Crowd) {
    let mut turn = Turn::start(few_fds.then_some(FEW_FDS));
    let most_fds = if few_fds { FEW_FDS } else { usize::MAX };
    for number in [2, 3] {
        let crowd = crowd(turn.address(process));
        turn.wait_answered(number);
        turn.assert_bounded(process, most_fds);
        drop(crowd);
    }
}

/// Lets crowds send bodies of this head in two shapes.
fn check_bodies(process: &str, head: &str) {
    for shape in [
        Shape::Announced(BODY_BYTES, Duration::ZERO),
        Shape::Chunked(64 << 10, Duration::ZERO),
    ] {
        check(process, false, |address| {
            Crowd::of_bodies(address, SENDERS, head, shape, BODY_BYTES)
        });
    }
}

fn entry_head(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer {WORKSPACE}-key\r\n\
         Content-Type: application/json\r\n"
    )
}

fn control_head() -> String {
    let token = token(PARTNER);
    format!("POST /tickets HTTP/1.1\r\nHost: c\r\nAuthorization: Bearer {token}\r\n")
}

/// Returns the head of an attempt that the agent of the plain service takes.
fn agent_head() -> String {
    let head = RunHead {
        index: Index(0),
        partner: PARTNER.into(),
        workspace: WORKSPACE.into(),
        target: Target::Service(VersionId {
            partner: PARTNER.into(),
            name: "queue".into(),
        }),
        method: "POST".into(),
        path: "/queue/jobs".into(),
        media: None,
        repeatable: true,
        priority: 5,
        deadline_ms: 60_000,
        digest: Digest::of(b"crowd"),
        claim: None,
        agent: None,
        suspect: false,
    };
    let json = serde_json::to_string(&head).unwrap();
    let attempt = AttemptId::default();
    format!(
        "POST /run HTTP/1.1\r\nHost: a\r\n{ATTEMPT_HEADER}: {attempt}\r\n\
         {HEAD_HEADER}: {json}\r\n"
    )
}

/// Guards against requests of callers with a key that together take all memory.
#[test]
fn bodies_to_a_service_take_bounded_memory() {
    check_bodies("entry-1", &entry_head("/queue/jobs"));
}

/// Guards against the same where the entry parses each body.
#[test]
fn bodies_of_completions_take_bounded_memory() {
    check_bodies("entry-1", &entry_head("/v1/chat/completions"));
}

/// Guards against bodies that come to an agent and together take all memory.
#[test]
fn bodies_of_attempts_take_bounded_memory() {
    check_bodies("gla-q1", &agent_head());
}

/// Guards against tickets that together take all memory.
#[test]
fn bodies_of_tickets_take_bounded_memory() {
    check_bodies("control-1", &control_head());
}

/// Guards against connections that send nothing and leave no descriptor.
#[test]
fn silent_clients_of_an_entry_leave_descriptors() {
    check("entry-1", true, |address| Crowd::silent(address, MANY));
}

/// Guards against the same at an agent.
#[test]
fn silent_clients_of_an_agent_leave_descriptors() {
    check("gla-q1", true, |address| Crowd::silent(address, MANY));
}

/// Guards against the same at a control member.
#[test]
fn silent_clients_of_control_leave_descriptors() {
    check("control-1", true, |address| Crowd::silent(address, MANY));
}

/// Guards against heads without end that together take all memory of an entry.
#[test]
fn heads_that_do_not_end_take_bounded_memory_of_an_entry() {
    check("entry-1", false, |address| {
        Crowd::of_heads(address, HEADS, HEAD_BYTES)
    });
}

/// Guards against the same at an agent.
#[test]
fn heads_that_do_not_end_take_bounded_memory_of_an_agent() {
    check("gla-q1", false, |address| {
        Crowd::of_heads(address, HEADS, HEAD_BYTES)
    });
}

/// Guards against the same at a control member.
#[test]
fn heads_that_do_not_end_take_bounded_memory_of_control() {
    check("control-1", false, |address| {
        Crowd::of_heads(address, HEADS, HEAD_BYTES)
    });
}

/// Guards against a refusal that a reset overtakes while the caller still sends.
#[test]
fn refusals_before_the_end_of_a_body_reach_their_callers() {
    let turn = Turn::start(None);
    let path = "/queue/jobs";
    let without_key = entry_head(path).replace(&format!("{WORKSPACE}-key"), "none");
    for shape in [
        Shape::Announced(64 << 10, Duration::ZERO),
        Shape::Chunked(64 << 10, Duration::ZERO),
    ] {
        for (process, head, expected) in [
            ("entry-1", without_key.clone(), 401),
            ("entry-1", entry_head(path), 413),
            ("control-1", control_head(), 413),
            ("gla-q1", agent_head(), 503),
        ] {
            let mut stream = TcpStream::connect(turn.address(process)).unwrap();
            send_body(&mut stream, &head, shape, 4 * BODY_BYTES, false).unwrap();
            let answer = read_answer(&mut stream);
            let status = answer.as_ref().map(|(status, _)| *status);
            assert_eq!(status, Some(expected), "{process} {shape:?} {answer:?}");
        }
    }
}

/// Guards against a limit that a single sound caller meets.
#[test]
fn largest_body_is_served_in_each_way_it_may_be_sent() {
    let turn = Turn::start(None);
    let head = entry_head("/queue/jobs");
    for (shape, bytes) in [
        (Shape::Announced(BODY_BYTES, Duration::ZERO), BODY_BYTES),
        (
            Shape::Announced(16 << 10, Duration::from_millis(20)),
            BODY_BYTES,
        ),
        (Shape::Chunked(64 << 10, Duration::ZERO), BODY_BYTES),
        (Shape::Chunked(1, Duration::ZERO), 128 << 10),
    ] {
        let mut stream = TcpStream::connect(turn.address("entry-1")).unwrap();
        // Each request is one of its own.
        let head = format!("{head}Idempotency-Key: {shape:?}\r\n");
        send_body(&mut stream, &head, shape, bytes, false).unwrap();
        let (status, text) = read_answer(&mut stream).unwrap();
        assert_eq!(status, 201, "{shape:?} {text}");
    }
}
