//! Lease rules: which configuration a process may use, and until when.

use cardamomtally::{
    core::config::{CentreState, Config, VersionId},
    lease::{
        reports::Reports,
        rotation::Rotation,
        state::{InjectedFaults, LeaseState, Outcome, digest},
    },
    net::{
        delta,
        wire::{CrashReport, HealthReport, Poll, PollReply, Update},
    },
    prelude::*,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::collections::BTreeMap;

const LEASE: Duration = Duration::from_secs(4);

fn config(index: u64) -> Arc<Config> {
    let centre = CentreState {
        region: format!("region-{index}").into(),
        views: BTreeMap::new(),
    };
    Arc::new(Config {
        index: Index(index),
        centres: BTreeMap::from([("glasgow".into(), centre)]),
        ..Config::default()
    })
}

fn whole(index: u64) -> PollReply {
    PollReply {
        index: Index(index),
        lease: LEASE,
        update: Update::Whole(config(index)),
        digest: Some(digest(&config(index))),
        ..PollReply::default()
    }
}

fn same(index: u64) -> PollReply {
    PollReply {
        index: Index(index),
        lease: LEASE,
        ..PollReply::default()
    }
}

fn change(from: u64, to: u64) -> PollReply {
    let patch = delta::diff(&config(from), &config(to)).unwrap();
    PollReply {
        update: Update::Delta(serde_bytes::ByteBuf::from(patch)),
        ..whole(to)
    }
}

fn secs(secs: u64) -> Mono {
    Mono::default() + Duration::from_secs(secs)
}

/// Returns the state of a process that got index 5 from a poll sent at second 10.
fn state_at_index_5() -> LeaseState {
    let mut state = LeaseState::new(InjectedFaults::default());
    state.apply_reply(Index(0), secs(10), secs(11), &whole(5));
    state
}

#[test]
fn a_fresh_process_may_take_no_work() {
    let state = LeaseState::new(InjectedFaults::default());

    assert!(!state.is_valid(secs(0)));
    assert_eq!(state.index(), Index(0));
}

#[test]
fn the_lease_runs_from_the_sending_of_the_poll() {
    let state = state_at_index_5();

    assert_eq!(state.until(), secs(14));
    assert!(state.is_valid(secs(13)));
    assert!(!state.is_valid(secs(14)));
}

#[test]
fn a_reply_slower_than_the_lease_grants_no_lease() {
    let mut state = LeaseState::new(InjectedFaults::default());

    let outcome = state.apply_reply(Index(0), secs(10), secs(60), &whole(5));

    assert_eq!(outcome, Outcome::Changed);
    assert!(!state.is_valid(secs(60)));
}

#[test]
fn a_lower_index_is_never_applied() {
    let mut state = state_at_index_5();

    let outcome = state.apply_reply(Index(5), secs(12), secs(12), &whole(4));

    assert_eq!(outcome, Outcome::Stale);
    assert_eq!(state.index(), Index(5));
    assert_eq!(state.until(), secs(14));
}

#[test]
fn a_late_reply_to_an_older_poll_does_not_shorten_the_lease() {
    let mut state = state_at_index_5();
    state.apply_reply(Index(5), secs(13), secs(13), &same(5));

    let outcome = state.apply_reply(Index(5), secs(11), secs(14), &same(5));

    assert_eq!(outcome, Outcome::Renewed);
    assert_eq!(state.until(), secs(17));
}

#[test]
fn a_late_reply_about_an_older_configuration_renews_nothing() {
    let mut state = state_at_index_5();
    state.apply_reply(Index(5), secs(12), secs(12), &change(5, 6));

    let outcome = state.apply_reply(Index(5), secs(13), secs(14), &same(5));

    assert_eq!(outcome, Outcome::Stale);
    assert_eq!(state.until(), secs(16));
}

#[test]
fn a_late_delta_is_not_applied_to_another_base() {
    let mut state = state_at_index_5();
    let late = change(5, 6);
    state.apply_reply(Index(5), secs(12), secs(12), &whole(6));

    let outcome = state.apply_reply(Index(5), secs(11), secs(13), &late);

    assert_eq!(outcome, Outcome::Stale);
    assert_eq!(state.config(), &config(6));
}

#[test]
fn a_delta_with_a_wrong_digest_makes_the_poll_ask_for_the_whole() {
    let mut state = state_at_index_5();
    let reply = PollReply {
        digest: Some(Digest::of(b"other")),
        ..change(5, 6)
    };

    let outcome = state.apply_reply(Index(5), secs(12), secs(12), &reply);
    let mut poll = Poll::default();
    state.fill_poll(&mut poll);

    assert_eq!(outcome, Outcome::Mismatch);
    assert_eq!(poll.digest, Digest::default());
    assert_eq!(state.index(), Index(5));
    assert_eq!(state.until(), secs(14));
}

#[test]
fn a_malformed_delta_changes_nothing() {
    let mut state = state_at_index_5();
    let reply = PollReply {
        update: Update::Delta(serde_bytes::ByteBuf::from(vec![0xff, 0x00])),
        ..whole(6)
    };

    let outcome = state.apply_reply(Index(5), secs(12), secs(12), &reply);

    assert_eq!(outcome, Outcome::Mismatch);
    assert_eq!(state.config(), &config(5));
}

/// Simulates a control group that accepts changes, and a process that polls the group
/// over a network that delays, loses, duplicates and reorders replies. Times are on the
/// group's clock; the process's clock runs at `clock_rate` thousandths of its speed.
struct Simulation {
    rng: SmallRng,
    state: LeaseState,
    clock_rate: u64,
    accepted: Vec<(Mono, u64)>,
    /// Replies on their way: arrival, time and index of the poll, and the reply.
    replies: Vec<(Mono, Mono, Index, PollReply)>,
    highest: u64,
}

impl Simulation {
    fn new(seed: u64, faults: InjectedFaults) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            clock_rate: rng.random_range(990..=1_010),
            rng,
            state: LeaseState::new(faults),
            accepted: vec![(Mono(0), 0)],
            replies: Vec::new(),
            highest: 0,
        }
    }

    fn local(&self, now: Mono) -> Mono {
        Mono(now.0 * self.clock_rate / 1_000)
    }

    fn in_force(&self) -> u64 {
        self.accepted.last().map_or(0, |(_, index)| *index)
    }

    /// Runs the simulation, and returns the first violation of a guarantee.
    fn run(mut self) -> Result<(), String> {
        for step in 0..2_000 {
            let now = Mono(step * 50_000);
            if self.rng.random_ratio(1, 40) {
                self.accepted.push((now, self.in_force() + 1));
            }
            if self.rng.random_ratio(1, 10) {
                self.poll(now);
            }
            self.deliver(now);
            self.check(now)?;
        }
        Ok(())
    }

    fn poll(&mut self, now: Mono) {
        let mut poll = Poll::default();
        self.state.fill_poll(&mut poll);
        let index = self.in_force();
        let reply = match (poll.holds.0, poll.digest) {
            (held, d) if held == index && d == digest(&config(held)) => same(index),
            (held, d) if d == digest(&config(held)) => change(held, index),
            _ => whole(index),
        };
        let copies = self.rng.random_range(0..=2);
        for _ in 0..copies {
            let delay = self.rng.random_range(0..8_000_000);
            let answer = (Mono(now.0 + delay), now, poll.holds, reply.clone());
            self.replies.push(answer);
        }
    }

    fn deliver(&mut self, now: Mono) {
        let (due, later) = self.replies.drain(..).partition(|a| a.0 <= now);
        self.replies = later;
        let due: Vec<(Mono, Mono, Index, PollReply)> = due;
        for (_, sent, polled, reply) in due {
            let sent = self.local(sent);
            let received = self.local(now);
            self.state.apply_reply(polled, sent, received, &reply);
        }
    }

    fn check(&mut self, now: Mono) -> Result<(), String> {
        let held = self.state.index().0;
        if held < self.highest {
            return Err(format!("index went back to {held}"));
        }
        self.highest = held;
        // The process's clock is slow by at most one hundredth, which makes its lease
        // longer by that much on the group's clock.
        let oldest = now - LEASE.mul_f64(1.02);
        let newer = self
            .accepted
            .iter()
            .any(|(at, i)| *i > held && *at < oldest);
        if newer && self.state.is_valid(self.local(now)) {
            return Err(format!("index {held} is used past its lease"));
        }
        Ok(())
    }
}

const SEEDS: u64 = 40;

#[test]
fn no_configuration_is_used_past_its_lease_or_goes_back() {
    for seed in 0..SEEDS {
        let outcome = Simulation::new(seed, InjectedFaults::default()).run();

        assert_eq!(outcome, Ok(()), "seed {seed}");
    }
}

#[test]
fn the_check_detects_a_lease_that_runs_from_receipt() {
    let faults = InjectedFaults {
        lease_from_receipt: true,
        ..InjectedFaults::default()
    };

    let caught = (0..SEEDS).any(|seed| Simulation::new(seed, faults).run().is_err());

    assert!(caught);
}

#[test]
fn the_check_detects_a_lower_index_that_is_applied() {
    let faults = InjectedFaults {
        apply_lower: true,
        ..InjectedFaults::default()
    };

    let caught = (0..SEEDS).any(|seed| Simulation::new(seed, faults).run().is_err());

    assert!(caught);
}

fn members(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("member-{i}")).collect()
}

#[test]
fn processes_spread_over_all_members() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = BTreeMap::<String, usize>::new();

    for _ in 0..930 {
        let mut rotation = Rotation::new(&members(7), secs(0), &mut rng);
        let member = rotation.current(secs(0), &mut rng).unwrap();
        *counts.entry(member).or_default() += 1;
    }

    assert_eq!(counts.len(), 7);
    assert!(counts.values().all(|n| (90..180).contains(n)), "{counts:?}");
}

#[test]
fn a_failed_member_is_avoided() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut rotation = Rotation::new(&members(3), secs(0), &mut rng);
    let first = rotation.current(secs(0), &mut rng).unwrap();

    rotation.record_failure(secs(0), &mut rng);
    let second = rotation.current(secs(0), &mut rng).unwrap();
    rotation.record_failure(secs(0), &mut rng);
    let third = rotation.current(secs(0), &mut rng).unwrap();
    rotation.record_failure(secs(1), &mut rng);
    let fourth = rotation.current(secs(1), &mut rng).unwrap();

    assert_ne!(second, first);
    assert!(third != first && third != second);
    assert_ne!(fourth, third);
}

fn outcomes(bad: u32) -> HealthReport {
    HealthReport {
        version: VersionId {
            partner: "clyde".into(),
            name: "draft@1".into(),
        },
        good: 1,
        bad,
        rated_good: 0,
        rated_bad: 0,
    }
}

#[test]
fn outcomes_are_sent_once_and_crashes_until_they_are_acknowledged() {
    let crash = CrashReport {
        backend: "gla-e1".into(),
        incarnation: Incarnation(1),
        digests: vec![Digest::of(b"poison")],
    };
    let mut reports = Reports::default();
    reports.add_health(outcomes(1));
    reports.add_health(outcomes(2));
    reports.add_crash(crash.clone());
    let fill = |reports: &mut Reports| {
        let mut poll = Poll::default();
        reports.drain_into(&mut poll);
        poll
    };

    let first = fill(&mut reports);
    let second = fill(&mut reports);
    reports.acknowledge(&second.crashes, &second.cleared);
    let third = fill(&mut reports);

    assert_eq!((first.health[0].good, first.health[0].bad), (2, 3));
    assert_eq!(first.crashes, std::slice::from_ref(&crash));
    assert_eq!((second.health.len(), second.crashes), (0, vec![crash]));
    assert_eq!(third, Poll::default());
}

#[test]
fn failures_are_urgent_from_the_third_on() {
    let mut reports = Reports::default();

    reports.add_health(outcomes(2));
    let few = reports.is_urgent();
    reports.add_health(outcomes(1));

    assert!(!few);
    assert!(reports.is_urgent());
}
