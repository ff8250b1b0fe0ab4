//! Control members with real replicas: they form a group from their addresses, and
//! replicate documents, roll-outs and evacuations.

use super::fixtures::{document, route};
use crate::support::wait::{eventually, until};
use cardamomtally::{
    core::clock::SystemClock,
    net::codec,
    prelude::*,
    site::{
        backend::{Backend, Inventory},
        document::{Class, Document, Route},
        member::{Refusal, SiteMember, SiteMemberSettings, orders::Receipt},
        poll::Poll,
        rollout::Stage,
        state::Reply,
        transfer::PartRequest,
    },
    util::log,
};
use futures::future::BoxFuture;
use std::{
    net::TcpListener,
    path::Path,
    sync::atomic::{AtomicU64, Ordering},
};
use tempfile::TempDir;

/// The clock of the operating system, with a time of day that can be set ahead.
#[derive(Debug, Default)]
struct JumpingClock {
    system: SystemClock,
    ahead_micros: AtomicU64,
}

impl Clock for JumpingClock {
    fn now(&self) -> Mono {
        self.system.now()
    }

    fn wall_micros(&self) -> u64 {
        self.system.wall_micros() + self.ahead_micros.load(Ordering::Acquire)
    }
}

/// A list of backend servers without any.
#[derive(Debug)]
struct EmptyInventory;

impl Inventory for EmptyInventory {
    fn list(&self) -> BoxFuture<'_, eyre::Result<Vec<Backend>>> {
        Box::pin(async { Ok(Vec::new()) })
    }
}

/// A group of members. Each has its own loopback address; the ports are the same.
struct Group {
    folder: TempDir,
    ports: (u16, u16),
    seeds: Vec<String>,
}

impl Group {
    fn new(seeds: &[u8]) -> Self {
        Self {
            folder: tempfile::tempdir().unwrap(),
            ports: (free_port(), free_port()),
            seeds: seeds.iter().map(|n| address(*n)).collect(),
        }
    }

    fn start(&self, number: u8, form: bool) -> Arc<SiteMember> {
        self.start_with_clock(number, form, Arc::new(SystemClock::default()))
    }

    fn start_with_clock(&self, number: u8, form: bool, clock: Arc<dyn Clock>) -> Arc<SiteMember> {
        let name = address(number);
        let settings = SiteMemberSettings {
            folder: self.folder.path().join(&name),
            name,
            seeds: self.seeds.clone(),
            form,
            poll_port: self.ports.0,
            peer_port: self.ports.1,
            ..SiteMemberSettings::default()
        };
        SiteMember::start(&settings, clock, log::discard()).unwrap()
    }

    fn wipe(&self, number: u8) {
        std::fs::remove_dir_all(self.folder.path().join(address(number))).unwrap();
    }
}

fn address(number: u8) -> String {
    format!("127.0.0.{number}")
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(future)
}

fn submit(member: &SiteMember, number: u64) -> Result<Reply, Refusal> {
    let source = format!("document {number}").into_bytes();
    block_on(member.submit(document(number, Class::Once), source))
}

fn wait_submitted(member: &SiteMember, number: u64) {
    until("the document is in force", || submit(member, number).ok());
}

fn read(member: &SiteMember) -> Option<String> {
    let read = block_on(member.read()).ok()??;
    Some(String::from_utf8(read.source.clone()).unwrap())
}

fn voter(member: &SiteMember, number: u8) -> Option<MemberId> {
    let voters = member.voters();
    let found = voters.iter().find(|m| *m.name == *address(number));
    found.map(|m| m.id)
}

fn votes(member: &SiteMember, number: u8) -> bool {
    voter(member, number).is_some()
}

#[test]
fn group_forms_from_seeds_and_all_members_read_an_accepted_document() {
    let group = Group::new(&[11, 12, 13]);
    let members = [11, 12, 13].map(|n| group.start(n, true));

    wait_submitted(&members[1], 5);

    for member in &members {
        let text = until("a member reads", || read(member));
        assert_eq!(text, "document 5");
    }
}

#[test]
fn members_that_may_not_form_a_group_form_none() {
    let group = Group::new(&[21, 22, 23]);
    let members = [21, 22, 23].map(|n| group.start(n, false));

    let refused = submit(&members[0], 1);

    assert_eq!(refused, Err(Refusal::Unavailable));
}

#[test]
fn faulty_document_is_refused_and_changes_nothing() {
    let group = Group::new(&[31]);
    let member = group.start(31, true);
    wait_submitted(&member, 5);
    let mut faulty = document(6, Class::Once);
    faulty.routes[0].timeout = Duration::ZERO;

    let refused = block_on(member.submit(faulty, b"faulty".to_vec()));

    assert!(matches!(refused, Err(Refusal::Faulty(_))), "{refused:?}");
    assert_eq!(read(&member).unwrap(), "document 5");
}

/// Guards against an acknowledged document that no member has put in force.
#[test]
fn document_that_the_log_cannot_give_back_is_not_acknowledged() {
    let group = Group::new(&[33]);
    let member = group.start(33, true);
    wait_submitted(&member, 5);
    let longer_than_decompressed = vec![b' '; 65 << 20];

    let outcome = block_on(member.submit(document(6, Class::Once), longer_than_decompressed));

    assert!(outcome.is_err(), "{outcome:?}");
    assert_eq!(read(&member).unwrap(), "document 5");
}

#[test]
fn member_that_is_no_seed_joins_and_votes() {
    let group = Group::new(&[41, 42, 43]);
    let members = [41, 42, 43].map(|n| group.start(n, true));
    wait_submitted(&members[0], 5);

    let newcomer = group.start(44, true);

    eventually("the newcomer votes", || votes(&members[0], 44));
    assert_eq!(
        until("the member reads", || read(&newcomer)).as_str(),
        "document 5"
    );
}

#[test]
fn new_member_replaces_a_stopped_member() {
    let group = Group::new(&[51, 52, 53]);
    let members = [51, 52, 53].map(|n| group.start(n, true));
    wait_submitted(&members[0], 5);

    members[2].stop();
    let _newcomer = group.start(54, false);

    eventually("the new member votes and the stopped one does not", || {
        votes(&members[0], 54) && !votes(&members[0], 53)
    });
    wait_submitted(&members[1], 6);
}

#[test]
fn wiped_member_comes_back_and_the_next_may_be_lost() {
    let group = Group::new(&[61, 62, 63]);
    let members = [61, 62, 63].map(|n| group.start(n, true));
    wait_submitted(&members[0], 5);

    let before = until("the member votes", || voter(&members[2], 61));

    members[0].stop();
    group.wipe(61);
    let back = group.start(61, false);
    eventually("the wiped member votes under a new id", || {
        voter(&members[2], 61).is_some_and(|id| id != before)
    });
    members[1].stop();

    wait_submitted(&members[2], 6);
    assert_eq!(
        until("the member reads", || read(&back)).as_str(),
        "document 6"
    );
}

#[test]
fn only_an_entry_that_fetches_no_parts_gets_the_document_with_its_poll() {
    let group = Group::new(&[15]);
    let member = group.start(15, true);
    wait_submitted(&member, 5);
    let poll = |parts| Poll {
        name: "entry-1".into(),
        parts,
        ..Poll::default()
    };

    let former = block_on(member.poll(poll(false))).unwrap();
    let current = block_on(member.poll(poll(true))).unwrap();

    assert_eq!(former.content.map(|document| document.number), Some(5));
    assert_eq!(current.content, None);
    assert_eq!(current.document, former.document);
}

/// Returns a document with many routes, and the size of its encoding.
fn large(number: u64) -> (Document, usize) {
    let mut large = document(number, Class::Once);
    large.routes.extend((0..3_000_u64).map(|n| Route {
        prefix: format!("/{}/", Digest::of(&n.to_le_bytes())).into(),
        ..route(Class::Once)
    }));
    let size = codec::encode(&large).len();
    (large, size)
}

fn stored_bytes(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).unwrap().flatten();
    let sizes = files.map(|file| match file.metadata().unwrap() {
        found if found.is_dir() => stored_bytes(&file.path()),
        found => found.len(),
    });
    sizes.sum()
}

#[test]
fn large_documents_take_little_of_the_log() {
    let group = Group::new(&[81, 82, 83]);
    let members = [81, 82, 83].map(|n| group.start(n, true));
    wait_submitted(&members[0], 1);
    eventually("all members have been heard", || {
        members.iter().all(|member| member.voters().len() == 3)
    });
    std::thread::sleep(Duration::from_secs(1));
    let before = stored_bytes(group.folder.path());

    let (document, size) = large(2);
    let source = vec![b'x'; size];
    until("the document is in force", || {
        block_on(members[0].submit(document.clone(), source.clone())).ok()
    });
    for member in &members {
        until("the member has it", || {
            read(member).filter(|text| text.len() == size)
        });
    }

    let per_member = (stored_bytes(group.folder.path()) - before) / 3;
    assert!(per_member < size as u64 / 2, "{per_member} of {size}");
}

#[test]
fn many_large_documents_do_not_fill_the_disk() {
    let group = Group::new(&[86]);
    let member = group.start(86, true);
    wait_submitted(&member, 1);

    for number in 2..60 {
        // Content that no compression shortens.
        let source: Vec<u8> = (0..30_000_u64)
            .flat_map(|n| Digest::of(&(number << 32 | n).to_le_bytes()).0)
            .collect();
        block_on(member.submit(document(number, Class::Once), source)).unwrap();
    }

    let stored = stored_bytes(group.folder.path());
    assert!(stored < 20 << 20, "{stored}");
}

#[test]
fn every_member_sends_the_same_parts_of_the_document() {
    let group = Group::new(&[16, 17, 18]);
    let members = [16, 17, 18].map(|n| group.start(n, true));
    wait_submitted(&members[0], 5);
    let document = block_on(members[0].poll(Poll::default())).unwrap().document;
    let wanted = PartRequest {
        index: document,
        offset: 0,
    };

    let parts = members.each_ref().map(|member| {
        until("the member has the document", || {
            block_on(member.part(wanted))
        })
    });

    assert_eq!(parts[0], parts[1]);
    assert_eq!(parts[0], parts[2]);
    let unknown = PartRequest {
        index: document.next(),
        offset: 0,
    };
    assert_eq!(block_on(members[0].part(unknown)), None);
}

#[test]
fn rollout_and_evacuation_survive_a_restart_of_all() {
    let group = Group::new(&[71, 72, 73]);
    let members = [71, 72, 73].map(|n| group.start(n, true));
    wait_submitted(&members[0], 5);
    let (duration, receipt) = (Duration::from_mins(1), Receipt::default());
    let ordered = members[0].roll_out("drafts".into(), "v2".into(), duration, &receipt);
    block_on(ordered).unwrap();
    block_on(members[1].evacuate("north".into(), true, &receipt)).unwrap();

    for member in members {
        member.stop();
    }
    let members = [71, 72, 73].map(|n| group.start(n, false));

    let rollout = until("the roll-out is read", || {
        block_on(members[2].rollout("drafts")).ok()
    });
    assert_eq!(rollout.map(|r| r.stage), Some(Stage::Running));
    assert!(members[2].fleet().evacuated.contains("north"));
    assert_eq!(read(&members[2]).as_deref(), Some("document 5"));
}

/// Guards against an order with a very long duration that is cut to a short one.
#[test]
fn rollout_with_an_absurd_duration_does_not_become_a_short_one() {
    let group = Group::new(&[75]);
    let member = group.start(75, true);
    wait_submitted(&member, 5);
    // 2^64 milliseconds and one more.
    let duration = Duration::new(18_446_744_073_709_551, 617_000_000);

    let receipt = Receipt::default();
    let ordered = member.roll_out("drafts".into(), "v2".into(), duration, &receipt);
    block_on(ordered).unwrap();

    let rollout = block_on(member.rollout("drafts")).unwrap().unwrap();
    assert_eq!(rollout.duration, u64::MAX);
}

#[test]
fn rollout_of_a_leader_whose_time_of_day_jumps_ahead_goes_on() {
    let group = Group::new(&[74]);
    let clock = Arc::<JumpingClock>::default();
    let member = group.start_with_clock(74, true, Arc::clone(&clock) as Arc<dyn Clock>);
    wait_submitted(&member, 5);
    let (duration, receipt) = (Duration::from_mins(1), Receipt::default());
    let ordered = member.roll_out("drafts".into(), "v2".into(), duration, &receipt);
    block_on(ordered).unwrap();

    clock.ahead_micros.store(3_600_000_000, Ordering::Release);
    let tasks =
        Arc::clone(&member).run_leader_tasks(Arc::new(EmptyInventory), Duration::from_mins(1));
    let _unfinished = block_on(async {
        let some_steps = Duration::from_millis(900);
        tokio::time::timeout(some_steps, tasks).await
    });

    let rollout = block_on(member.rollout("drafts")).unwrap().unwrap();
    assert_eq!((rollout.stage, rollout.permille), (Stage::Running, 0));
}
