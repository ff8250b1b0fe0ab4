//! Members with real threads, disks and sockets.

use cardamomtally::{
    core::{
        clock::SystemClock,
        log::{Log as _, LogError, StateMachine},
    },
    prelude::*,
    replica::{
        GroupSpec, GroupStatus, Host, HostOptions, Suffrage,
        storage::{Loaded, Storage, Write, disk::Disk},
    },
    settings::control::{GroupSettings, MemberSettings},
    settings::units::{Size, Span},
    timeline::Recorder,
    util::log,
};
use cardamomtally_standin::proxy::Proxy;
use socket2::SockRef;
use std::{
    collections::BTreeMap,
    net::TcpStream,
    path::PathBuf,
    sync::atomic::{AtomicBool, Ordering},
    time::Instant,
};

const GROUP: GroupId = GroupId::CONFIG;
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const SEGMENT_BYTES: u64 = 64 << 10;

/// Runs a future to its end on a runtime of its own.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.unwrap().block_on(future)
}

/// Counts commands and keeps the last one.
#[derive(Debug, Default)]
struct Counter {
    count: u64,
    last: Vec<u8>,
}

impl StateMachine for Counter {
    fn apply(&mut self, _index: Index, command: &[u8]) -> Vec<u8> {
        // The log may commit a command twice, so a repeated command counts once.
        if self.last != command {
            self.count += 1;
            self.last = command.to_vec();
        }
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

/// A disk whose writes fail while `full` is set.
#[derive(Debug)]
struct FullDisk {
    disk: Disk,
    full: Arc<AtomicBool>,
}

impl Storage for FullDisk {
    fn identity(&self) -> MemberId {
        self.disk.identity()
    }

    fn load(&mut self) -> Loaded {
        self.disk.load()
    }

    fn write(&mut self, batch: &[Write]) -> eyre::Result<()> {
        eyre::ensure!(!self.full.load(Ordering::SeqCst), "no space left");
        self.disk.write(batch)
    }

    fn reopen(&mut self) -> eyre::Result<()> {
        eyre::ensure!(!self.full.load(Ordering::SeqCst), "no space left");
        self.disk.reopen()
    }
}

fn name_of(member: usize) -> String {
    format!("c{member}")
}

/// A group of members on this machine. Messages between any two of them pass
/// through a proxy for each direction.
pub struct Cluster {
    folder: tempfile::TempDir,
    pub hosts: Vec<Option<Host>>,
    proxies: BTreeMap<(usize, usize), Proxy>,
    /// Per member, whether its writes fail.
    full: Vec<Arc<AtomicBool>>,
    pub snapshot_entries: u64,
}

impl Cluster {
    pub fn new(size: usize) -> Self {
        let ways = (0..size).flat_map(|a| (0..size).map(move |b| (a, b)));
        let proxies = ways.map(|way| (way, Proxy::start(None).unwrap()));
        let mut new = Self {
            folder: tempfile::tempdir().unwrap(),
            hosts: (0..size).map(|_| None).collect(),
            proxies: proxies.collect(),
            full: (0..size).map(|_| Arc::default()).collect(),
            snapshot_entries: 1_000,
        };
        for member in 0..size {
            new.start(member);
        }
        new
    }

    fn path(&self, member: usize) -> PathBuf {
        self.folder.path().join(name_of(member))
    }

    fn settings(&self, member: usize) -> GroupSettings {
        let members = (0..self.hosts.len()).map(|other| MemberSettings {
            name: name_of(other),
            poll: String::new(),
            peer: self.proxies[&(member, other)].addr().to_string(),
        });
        GroupSettings {
            folder: self.path(member),
            members: members.collect(),
            bind_poll: None,
            bind_peer: Some("127.0.0.1:0".to_owned()),
            peer_port: None,
            losses: 1,
            form: true,
            heartbeat: Span::ms(100),
            election: Span::ms(500),
            snapshot_entries: self.snapshot_entries,
            segment: Size(SEGMENT_BYTES),
        }
    }

    fn host(&self, member: usize) -> Host {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let name = name_of(member);
        let options = HostOptions {
            settings: self.settings(member),
            groups: vec![GroupSpec {
                id: GROUP,
                members: (0..self.hosts.len()).map(name_of).collect(),
                machine: Box::new(Counter::default()),
            }],
            log: log::discard(),
            events: Arc::new(Recorder::new(&name, Arc::clone(&clock), 64)),
            clock,
            name,
        };
        let full = &self.full[member];
        let storage = |_group| -> eyre::Result<Box<dyn Storage>> {
            Ok(Box::new(FullDisk {
                disk: Disk::open(&self.path(member), SEGMENT_BYTES)?,
                full: Arc::clone(full),
            }))
        };
        Host::start_with_storage(options, &storage).unwrap()
    }

    pub fn stop(&mut self, member: usize) {
        self.hosts[member] = None;
    }

    pub fn kill(&mut self, member: usize) {
        self.hosts[member].take().unwrap().kill();
    }

    fn wipe(&self, member: usize) {
        std::fs::remove_dir_all(self.path(member)).unwrap();
    }

    pub fn start(&mut self, member: usize) {
        let host = self.host(member);
        let bound = host.bound_peer().parse().unwrap();
        for (_, proxy) in self.proxies.iter().filter(|((_, to), _)| *to == member) {
            proxy.set_target(bound);
            proxy.reset_connections();
        }
        self.hosts[member] = Some(host);
    }

    /// Silently drops everything sent to a member and, with `both_ways`,
    /// everything that it sends.
    fn cut_off(&self, member: usize, both_ways: bool) {
        for ((from, to), proxy) in &self.proxies {
            if *to == member || (both_ways && *from == member) {
                proxy.update_faults(|faults| faults.drop_to = true);
            }
        }
    }

    fn heal(&self) {
        self.proxies.values().for_each(Proxy::heal);
    }

    fn member(&self, member: usize) -> &Host {
        self.hosts[member].as_ref().unwrap()
    }

    /// Commits a command through a member, and retries until it succeeds or
    /// `WAIT_TIMEOUT` has passed.
    pub fn propose(&self, member: usize, command: &str) -> u64 {
        let host = self.member(member);
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            match block_on(host.propose(GROUP, command.into())) {
                Ok(answer) => return u64::from_le_bytes(answer.try_into().unwrap()),
                Err(error) => assert!(Instant::now() < end, "{error}: {:#?}", self.views()),
            }
        }
    }

    fn propose_many(&self, member: usize, count: u64) {
        for i in 0..count {
            self.propose(member, &format!("command {i}"));
        }
    }

    fn views(&self) -> Vec<Vec<GroupStatus>> {
        self.hosts.iter().flatten().map(Host::status).collect()
    }

    /// Waits until the status of the group at a member satisfies a condition.
    pub fn wait(&self, member: usize, condition: impl Fn(&GroupStatus) -> bool) {
        let host = self.member(member);
        let end = Instant::now() + WAIT_TIMEOUT;
        while !host.status().first().is_some_and(&condition) {
            assert!(Instant::now() < end, "{:#?}", host.status());
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn leader(&self) -> usize {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            let leads = |h: &Option<Host>| h.as_ref().is_some_and(|h| h.leader(GROUP).is_self);
            if let Some(leader) = self.hosts.iter().position(leads) {
                return leader;
            }
            assert!(Instant::now() < end, "no leader");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn member_id(&self, asked: usize, member: usize) -> MemberId {
        let name = Name::from(name_of(member));
        self.wait(asked, |s| s.members.iter().any(|m| m.name == name));
        let status = self.member(asked).status();
        let found = status[0].members.iter().find(|m| m.name == name);
        found.unwrap().id
    }

    /// Refuses the writes of a member for a second, during which another member commits a
    /// command, and waits until the member takes part again.
    fn fill_disk_for_a_second(&self, full: usize, other: usize, command: &str) {
        let votes = |s: &GroupStatus| s.leads || s.state.as_ref() == "follower";
        self.full[full].store(true, Ordering::SeqCst);
        self.propose(other, command);
        self.wait(full, |s| s.state.as_ref() == "failed");
        std::thread::sleep(Duration::from_secs(1));
        self.full[full].store(false, Ordering::SeqCst);
        self.wait(full, votes);
    }

    /// Wipes and restarts a member, and waits until its new identity has a vote.
    pub fn repair(&mut self, asked: usize, wiped: usize) {
        let old = self.member_id(asked, wiped);
        self.kill(wiped);
        self.wipe(wiped);
        self.start(wiped);
        let name = Name::from(name_of(wiped));
        self.wait(wiped, |status| {
            let new = status.members.iter().find(|m| m.name == name);
            let votes = new.is_some_and(|m| m.id != old && m.suffrage == Suffrage::Voter);
            votes && status.members.len() == 3
        });
    }
}

#[test]
fn a_single_member_commits_and_remembers() {
    let mut cluster = Cluster::new(1);
    cluster.propose_many(0, 5);

    cluster.stop(0);
    cluster.start(0);

    assert_eq!(cluster.propose(0, "y"), 6);
}

#[test]
fn any_member_commits_and_reads() {
    let cluster = Cluster::new(3);

    for member in 0..3 {
        let count = cluster.propose(member, &name_of(member));
        assert_eq!(count, member as u64 + 1);
    }

    for member in 0..3 {
        let index = block_on(cluster.member(member).barrier(GROUP)).unwrap();
        // The log holds the group's members, the leader's first entry and three
        // commands.
        assert!(index >= Index(5), "{:#?}", cluster.member(member).status());
    }
}

#[test]
fn the_group_goes_on_when_its_leader_stops_or_all_restart() {
    let mut cluster = Cluster::new(3);
    cluster.propose(0, "x");

    let leader = cluster.leader();
    cluster.stop(leader);
    let count = cluster.propose((leader + 1) % 3, "y");
    for member in 0..3 {
        cluster.stop(member);
    }
    for member in 0..3 {
        cluster.start(member);
    }

    assert_eq!(count, 2);
    assert_eq!(cluster.propose(leader, "z"), 3);
}

#[test]
fn a_second_member_may_be_lost_right_after_a_repair() {
    let mut cluster = Cluster::new(3);
    cluster.propose_many(0, 2_500);
    let leader = cluster.leader();
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);

    cluster.repair(leader, first);
    cluster.kill(second);
    let after_first = cluster.propose(first, "y");
    cluster.start(second);
    cluster.repair(first, second);
    cluster.kill(leader);
    let after_second = cluster.propose(first, "z");

    assert_eq!((after_first, after_second), (2_501, 2_502));
}

#[test]
fn a_leader_that_is_silently_cut_off_steps_down() {
    for both_ways in [true, false] {
        let cluster = Cluster::new(3);
        cluster.propose(0, "x");
        let old = cluster.leader();
        let other = (old + 1) % 3;
        let seen = cluster.member(old).status()[0].term;

        cluster.cut_off(old, both_ways);
        cluster.wait(other, |s| s.term > seen && s.leader.is_some());
        let count = cluster.propose(other, "y");
        cluster.wait(old, |s| !s.leads);
        cluster.heal();
        let after = cluster.propose(old, "z");

        assert_eq!((count, after), (2, 3));
    }
}

/// Guards against a listener that stops for good. nng occasionally stops reading
/// new connections, without an error, after a connection breaks during the
/// handshake. This test breaks 300 of them for each member.
#[test]
fn broken_handshakes_do_not_stop_a_listener() {
    let cluster = Cluster::new(3);
    cluster.propose(0, "x");

    for host in cluster.hosts.iter().flatten() {
        for _ in 0..300 {
            let stream = TcpStream::connect(host.bound_peer()).unwrap();
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
    }
    cluster.proxies.values().for_each(Proxy::reset_connections);

    assert_eq!(cluster.propose(1, "y"), 2);
}

#[test]
fn a_member_with_a_full_disk_no_longer_counts() {
    let mut cluster = Cluster::new(3);
    cluster.propose(0, "x");
    let leader = cluster.leader();
    let (full, other) = ((leader + 1) % 3, (leader + 2) % 3);

    cluster.full[full].store(true, Ordering::SeqCst);
    cluster.propose(leader, "y");
    cluster.wait(full, |s| s.state.as_ref() == "failed");
    let refused = block_on(cluster.member(full).barrier(GROUP));
    cluster.kill(other);
    let alone = block_on(cluster.member(leader).barrier(GROUP));
    cluster.full[full].store(false, Ordering::SeqCst);
    cluster.kill(full);
    cluster.start(full);
    let count = cluster.propose(full, "z");

    assert_eq!(refused, Err(LogError::NoLeader));
    assert_eq!(alone, Err(LogError::NoLeader));
    assert_eq!(count, 3);
}

/// Guards against a member that stays out for good once a write was refused: two such
/// members took the majority away, although all disks had room again.
#[test]
fn members_whose_disks_were_full_for_a_second_count_again() {
    let mut cluster = Cluster::new(3);
    cluster.propose(0, "x");
    let leader = cluster.leader();
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);

    cluster.fill_disk_for_a_second(first, leader, "first is full");
    cluster.fill_disk_for_a_second(second, leader, "second is full");
    cluster.kill(leader);
    let without_leader = cluster.propose(first, "without the leader");
    cluster.start(leader);
    cluster.kill(second);
    let without_second = cluster.propose(leader, "without the second");

    assert_eq!((without_leader, without_second), (4, 5));
}

/// As above, for the disk of the leader. The others elect a new one meanwhile, and no
/// command that was acknowledged is lost.
#[test]
fn a_leader_whose_disk_was_full_for_a_second_counts_again() {
    let mut cluster = Cluster::new(3);
    cluster.propose_many(0, 20);
    let leader = cluster.leader();
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);

    cluster.fill_disk_for_a_second(leader, first, "leader is full");
    let own = cluster.propose(leader, "through the former leader");
    cluster.kill(second);
    let without_second = cluster.propose(leader, "without the second");

    assert_eq!((own, without_second), (22, 23));
}
