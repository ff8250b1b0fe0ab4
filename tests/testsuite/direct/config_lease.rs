//! Tests of the entry's configuration and its lease.

use super::fixtures::{Entry, FakeControl, Server, answer, read_answer, reply, request};
use crate::{site::fixtures::document, support::wait::eventually};
use cardamomtally::{
    core::clock::{CLOCK_ID, SystemClock},
    direct::config::{
        outcomes::OutcomeCounts,
        poller::{ConfigPoller, PollerSettings},
        snapshot::ConfigSnapshot,
    },
    prelude::*,
    site::{document::Class, poll::PollReply, state::Fleet},
    util::log,
};
use std::{
    io::Write as _,
    sync::atomic::{AtomicU64, Ordering},
};

/// A clock that the test sets, in milliseconds: the steady time and the time of day.
#[derive(Debug, Default)]
pub struct ManualClock(AtomicU64, AtomicU64);

impl ManualClock {
    pub fn with_wall(ms: u64) -> Self {
        Self(AtomicU64::default(), AtomicU64::new(ms))
    }

    pub fn set(&self, ms: u64) {
        self.0.store(ms, Ordering::Release);
    }

    pub fn set_wall(&self, ms: u64) {
        self.1.store(ms, Ordering::Release);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Mono {
        Mono(self.0.load(Ordering::Acquire) * 1_000)
    }

    fn wall_micros(&self) -> u64 {
        self.1.load(Ordering::Acquire) * 1_000
    }
}

pub fn poller(clock: Arc<dyn Clock>) -> ConfigPoller {
    let settings = PollerSettings {
        lease: Duration::from_secs(4),
        ..PollerSettings::default()
    };
    let control = Arc::<FakeControl>::default();
    ConfigPoller::new(
        settings,
        control,
        Arc::<OutcomeCounts>::default(),
        clock,
        log::discard(),
    )
}

pub fn at(ms: u64) -> Mono {
    Mono(ms * 1_000)
}

#[test]
fn lease_begins_when_the_poll_is_sent() {
    let clock = Arc::<ManualClock>::default();
    let poller = poller(Arc::clone(&clock) as Arc<dyn Clock>);

    poller.apply(
        &ConfigSnapshot::default(),
        at(1_000),
        reply(3, document(1, Class::Once), vec![]),
    );

    let config = poller.current();
    assert!(config.is_valid(at(4_999)));
    assert!(!config.is_valid(at(5_000)));
}

#[test]
fn lease_ends_while_the_vm_is_suspended() {
    let clock = Arc::<ManualClock>::default();
    let poller = poller(Arc::clone(&clock) as Arc<dyn Clock>);
    poller.apply(
        &ConfigSnapshot::default(),
        at(0),
        reply(3, document(1, Class::Once), vec![]),
    );
    assert!(poller.current().is_valid(clock.now()));

    clock.set(60_000);

    assert!(!poller.current().is_valid(clock.now()));
}

#[test]
fn system_clock_counts_suspensions() {
    assert_eq!(CLOCK_ID, nix::time::ClockId::CLOCK_BOOTTIME);
    let clock = SystemClock::default();

    let (first, second) = (clock.now(), clock.now());

    assert!(first <= second);
}

#[test]
fn lease_ends_if_a_newer_fleet_is_known_and_does_not_arrive() {
    let poller = poller(Arc::<ManualClock>::default());
    let known = reply(3, document(7, Class::Once), vec![]);
    poller.apply(&poller.current(), at(0), known.clone());
    let named = PollReply {
        content: None,
        fleet: None,
        fleet_index: Index(4),
        ..known.clone()
    };

    poller.apply(&poller.current(), at(1_000), named);
    let while_missing = poller.current().lease_end;
    let arrived = Fleet {
        index: Index(4),
        ..Fleet::default()
    };
    let reply = PollReply {
        content: None,
        fleet: Some(arrived),
        ..known
    };
    poller.apply(&poller.current(), at(2_000), reply);

    assert_eq!(while_missing, at(4_000));
    assert_eq!(poller.current().lease_end, at(6_000));
}

#[test]
fn older_document_is_never_applied() {
    let poller = poller(Arc::<ManualClock>::default());
    poller.apply(
        &ConfigSnapshot::default(),
        at(0),
        reply(9, document(7, Class::Once), vec![]),
    );

    let config = poller.current();
    poller.apply(&config, at(10), reply(8, document(6, Class::Once), vec![]));

    let number = poller.current().table.as_ref().map(|t| t.number);
    assert_eq!(number, Some(7));
}

#[test]
fn entry_without_a_document_answers_503_not_run() {
    let entry = Entry::without_document(Duration::from_mins(1));

    let got = entry.ask(&request("a-1", "", ""));

    assert_eq!(got.status, 503);
    assert_eq!(got.header("x-cardamomtally-verdict"), Some("not-run"));
    assert!(got.header("retry-after").is_some());
}

#[test]
fn request_just_after_the_start_waits_for_the_document() {
    let server = Server::start("i-1", |seen, _| vec![answer(seen, "200 OK", "", "done")]);
    let entry = Entry::without_document(Duration::from_mins(1));
    let mut caller = entry.connect();
    caller.write_all(request("a-1", "", "").as_bytes()).unwrap();
    eventually("the request waits", || entry.running() == 1);

    entry.publish(reply(1, document(1, Class::Once), vec![server.backend()]));

    assert_eq!(read_answer(&mut caller).status, 200);
}

#[test]
fn request_waits_on_while_the_first_document_is_only_named_by_polls() {
    let server = Server::start("i-1", |seen, _| vec![answer(seen, "200 OK", "", "done")]);
    let entry = Entry::without_document(Duration::from_mins(1));
    let mut caller = entry.connect();
    caller.write_all(request("a-1", "", "").as_bytes()).unwrap();
    eventually("the request waits", || entry.running() == 1);

    entry.control.set(Some(PollReply {
        document: Index(1),
        content: None,
        ..reply(1, document(1, Class::Once), vec![])
    }));
    eventually("the document is named", || {
        entry.app.config.current().newest == Index(1)
    });
    entry.publish(reply(1, document(1, Class::Once), vec![server.backend()]));

    assert_eq!(read_answer(&mut caller).status, 200);
}

#[test]
fn request_with_much_time_left_waits_longer_for_the_first_document() {
    let server = Server::start("i-1", |seen, _| vec![answer(seen, "200 OK", "", "done")]);
    let entry = Entry::without_document(Duration::from_mins(1));
    let mut patient = entry.connect();
    let text = request("a-1", "", "").replace("Deadline: 9000", "Deadline: 20000");
    patient.write_all(text.as_bytes()).unwrap();
    let hurried = request("a-2", "", "").replace("Deadline: 9000", "Deadline: 500");

    let refused = entry.ask(&hurried);
    entry.publish(reply(1, document(1, Class::Once), vec![server.backend()]));

    assert_eq!(refused.status, 503);
    assert_eq!(read_answer(&mut patient).status, 200);
}

#[test]
fn unknown_route_and_unknown_key_get_different_statuses() {
    let entry = Entry::start(Class::Once, &[]);

    let route = entry.ask(&request("a-1", "", "").replace("/drafts/", "/none/"));
    let key = entry.ask(&request("a-2", "", "").replace("key-1", "key-9"));
    let none = entry.ask(&request("a-3", "", ""));

    assert_eq!((route.status, key.status, none.status), (404, 401, 503));
}

#[test]
fn entry_without_a_lease_answers_503_to_every_key() {
    let server = Server::start("i-1", |seen, _| vec![answer(seen, "200 OK", "", "done")]);
    let entry = Entry::without_document(Duration::from_millis(300));
    entry.publish(reply(1, document(1, Class::Once), vec![server.backend()]));
    assert_eq!(entry.ask(&request("a-1", "", "")).status, 200);

    entry.control.set(None);
    eventually("the lease has ended", || !entry.app.is_ready());

    assert_eq!(entry.ask(&request("a-2", "", "")).status, 503);
    let unknown = request("a-3", "", "").replace("key-1", "key-9");
    assert_eq!(entry.ask(&unknown).status, 503);
    assert_eq!(server.seen().len(), 1);
}

/// Guards against requests without a key that an old document serves for as long as the
/// newer one does not arrive.
#[test]
fn request_without_a_key_is_refused_once_a_newer_document_is_overdue() {
    let server = Server::start("i-1", |seen, _| vec![answer(seen, "200 OK", "", "done")]);
    let entry = Entry::without_document(Duration::from_millis(300));
    let mut public = document(1, Class::Once);
    public.routes[0].public = true;
    entry.publish(reply(1, public, vec![server.backend()]));
    entry.control.set(None);
    eventually("the lease has ended", || !entry.app.is_ready());
    assert_eq!(entry.ask(&request("a-1", "", "")).status, 200);

    entry.control.set(Some(PollReply {
        document: Index(2),
        fleet_index: Index(1),
        ..PollReply::default()
    }));
    eventually("a newer document is known", || {
        entry.app.config.current().newest == Index(2)
    });

    assert_eq!(entry.ask(&request("a-2", "", "")).status, 503);
    assert_eq!(server.seen().len(), 1);
}

#[test]
fn request_does_not_run_if_the_lease_ends_during_its_body() {
    let server = Server::start("i-1", |seen, _| vec![answer(seen, "200 OK", "", "done")]);
    let entry = Entry::without_document(Duration::from_millis(300));
    entry.publish(reply(1, document(1, Class::Once), vec![server.backend()]));
    let text = request("a-1", "", "body!");
    let (head, body) = text.split_at(text.len() - 5);
    let mut caller = entry.connect();
    caller.write_all(head.as_bytes()).unwrap();
    eventually("the head of the request is read", || entry.running() == 1);

    entry.control.set(None);
    eventually("the lease has ended", || !entry.app.is_ready());
    caller.write_all(body.as_bytes()).unwrap();

    assert_eq!(read_answer(&mut caller).status, 503);
    assert!(server.seen().is_empty());
}

#[test]
fn new_document_applies_after_the_next_poll() {
    let server = Server::start("i-1", |seen, _| vec![answer(seen, "200 OK", "", "done")]);
    let entry = Entry::start(Class::Once, &[&server]);
    let mut next = document(2, Class::Once);
    next.workspaces[0].keys = vec!["key-2".into()];

    entry.publish(reply(2, next, vec![server.backend()]));

    assert_eq!(entry.ask(&request("a-1", "", "")).status, 401);
}

#[test]
fn outcomes_are_kept_until_a_leader_accepts_them() {
    let counts = OutcomeCounts::default();
    let name = |text: &str| Name::from(text);
    let (route, service, version) = (name("r"), name("s"), name("v1"));
    counts.add_start(&route, &service, &version, 40);
    counts.add_end(&route, &service, &version, true);
    let taken = counts.take();
    counts.add_end(&route, &service, &version, false);

    counts.put_back(taken);

    let all = counts.take();
    assert_eq!(all.len(), 1);
    assert_eq!((all[0].good, all[0].bad), (1, 1));
    assert_eq!((all[0].started, all[0].latency), (1, 40));
    assert!(counts.take().is_empty());
}

#[test]
fn answer_without_changes_renews_the_lease() {
    let poller = poller(Arc::<ManualClock>::default());
    poller.apply(
        &ConfigSnapshot::default(),
        at(0),
        reply(3, document(1, Class::Once), vec![]),
    );
    let config = poller.current();

    let same = PollReply {
        document: Index(3),
        ..PollReply::default()
    };
    poller.apply(&config, at(2_000), same);

    assert!(poller.current().is_valid(at(5_900)));
    assert_eq!(poller.current().document, Index(3));
}

#[test]
fn lease_of_a_document_is_short_once_a_newer_one_is_known() {
    let poller = poller(Arc::<ManualClock>::default());
    poller.apply(
        &ConfigSnapshot::default(),
        at(1_000),
        reply(3, document(1, Class::Once), vec![]),
    );
    let newer = PollReply {
        document: Index(4),
        ..PollReply::default()
    };

    poller.apply(&poller.current(), at(1_400), newer.clone());
    poller.apply(&poller.current(), at(2_500), newer);

    let config = poller.current();
    assert_eq!((config.document, config.newest), (Index(3), Index(4)));
    assert!(config.is_valid(at(2_599)));
    assert!(!config.is_valid(at(2_600)));
}
