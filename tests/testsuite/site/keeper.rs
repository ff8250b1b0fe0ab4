//! Keepers on real replicas: a group from addresses alone, and what it keeps.

use super::fixtures::document;
use crate::support::wait::{eventually, until};
use cardamomtally::{
    core::clock::SystemClock,
    prelude::*,
    site::{
        document::Class,
        keeper::{Keeper, KeeperSettings, Refusal},
        rollout::Stage,
        state::Reply,
    },
    util::log,
};
use std::net::TcpListener;
use tempfile::TempDir;

/// Members on loopback addresses of their own, with the same ports.
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

    fn start(&self, number: u8, form: bool) -> Arc<Keeper> {
        let name = address(number);
        let settings = KeeperSettings {
            folder: self.folder.path().join(&name),
            name,
            seeds: self.seeds.clone(),
            form,
            poll_port: self.ports.0,
            peer_port: self.ports.1,
            ..KeeperSettings::default()
        };
        let clock = Arc::new(SystemClock::default());
        Keeper::start(&settings, clock, log::discard()).unwrap()
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

fn wait_for<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(future)
}

fn submit(keeper: &Keeper, number: u64) -> Result<Reply, Refusal> {
    let source = format!("document {number}").into_bytes();
    wait_for(keeper.submit(document(number, Class::Once), source))
}

fn submitted(keeper: &Keeper, number: u64) {
    until("the document is in force", || submit(keeper, number).ok());
}

fn read(keeper: &Keeper) -> Option<String> {
    let read = wait_for(keeper.read()).ok()??;
    Some(String::from_utf8(read.source.clone()).unwrap())
}

fn voter(keeper: &Keeper, number: u8) -> Option<MemberId> {
    let voters = keeper.voters();
    let found = voters.iter().find(|m| *m.name == *address(number));
    found.map(|m| m.id)
}

fn votes(keeper: &Keeper, number: u8) -> bool {
    voter(keeper, number).is_some()
}

#[test]
fn group_forms_from_seeds_and_all_members_read_what_one_took() {
    let group = Group::new(&[11, 12, 13]);
    let keepers = [11, 12, 13].map(|n| group.start(n, true));

    submitted(&keepers[1], 5);

    for keeper in &keepers {
        let text = until("a member reads", || read(keeper));
        assert_eq!(text, "document 5");
    }
}

#[test]
fn members_without_leave_to_form_a_group_form_none() {
    let group = Group::new(&[21, 22, 23]);
    let keepers = [21, 22, 23].map(|n| group.start(n, false));

    let refused = submit(&keepers[0], 1);

    assert_eq!(refused, Err(Refusal::Unavailable));
}

#[test]
fn faulty_document_is_refused_and_changes_nothing() {
    let group = Group::new(&[31]);
    let keeper = group.start(31, true);
    submitted(&keeper, 5);
    let mut faulty = document(6, Class::Once);
    faulty.routes[0].timeout = Duration::ZERO;

    let refused = wait_for(keeper.submit(faulty, b"faulty".to_vec()));

    assert!(matches!(refused, Err(Refusal::Faulty(_))), "{refused:?}");
    assert_eq!(read(&keeper).unwrap(), "document 5");
}

#[test]
fn member_of_an_unknown_address_joins_and_votes() {
    let group = Group::new(&[41, 42, 43]);
    let keepers = [41, 42, 43].map(|n| group.start(n, true));
    submitted(&keepers[0], 5);

    let newcomer = group.start(44, true);

    eventually("the newcomer votes", || votes(&keepers[0], 44));
    assert_eq!(until("it reads", || read(&newcomer)).as_str(), "document 5");
}

#[test]
fn newcomer_takes_the_place_of_a_member_that_is_gone() {
    let group = Group::new(&[51, 52, 53]);
    let keepers = [51, 52, 53].map(|n| group.start(n, true));
    submitted(&keepers[0], 5);

    keepers[2].stop();
    let _newcomer = group.start(54, false);

    eventually("the newcomer votes alone", || {
        votes(&keepers[0], 54) && !votes(&keepers[0], 53)
    });
    submitted(&keepers[1], 6);
}

#[test]
fn wiped_member_comes_back_and_the_next_may_be_lost() {
    let group = Group::new(&[61, 62, 63]);
    let keepers = [61, 62, 63].map(|n| group.start(n, true));
    submitted(&keepers[0], 5);

    let before = until("it votes", || voter(&keepers[2], 61));

    keepers[0].stop();
    group.wipe(61);
    let back = group.start(61, false);
    eventually("its new self votes", || {
        voter(&keepers[2], 61).is_some_and(|id| id != before)
    });
    keepers[1].stop();

    submitted(&keepers[2], 6);
    assert_eq!(until("it reads", || read(&back)).as_str(), "document 6");
}

#[test]
fn rollout_and_evacuation_survive_a_restart_of_all() {
    let group = Group::new(&[71, 72, 73]);
    let keepers = [71, 72, 73].map(|n| group.start(n, true));
    submitted(&keepers[0], 5);
    let duration = Duration::from_mins(1);
    let ordered = keepers[0].roll_out("drafts".into(), "v2".into(), duration);
    wait_for(ordered).unwrap();
    wait_for(keepers[1].evacuate("north".into(), true)).unwrap();

    for keeper in keepers {
        keeper.stop();
    }
    let keepers = [71, 72, 73].map(|n| group.start(n, false));

    let rollout = until("the roll-out is read", || {
        wait_for(keepers[2].rollout("drafts")).ok()
    });
    assert_eq!(rollout.map(|r| r.stage), Some(Stage::Running));
    assert!(keepers[2].fleet().out.contains("north"));
    assert_eq!(read(&keepers[2]).as_deref(), Some("document 5"));
}
