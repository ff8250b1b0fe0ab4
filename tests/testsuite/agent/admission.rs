//! Admission control against a fake engine that dies when it runs more attempts
//! than it can handle.

use super::fixtures::*;
use cardamomtally::{
    agent::{
        admission::{Admission, Arrival, Effect, InjectedFault, LoadReport, Outcome, Reason},
        phase::Phase,
    },
    prelude::*,
    settings::{agent::AdmissionSettings, units::Span},
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::collections::BTreeMap;

const SEEDS: u64 = 60;
const COLD_LIMIT: u32 = 4;
const WARM_LIMIT: u32 = 40;
const RESTARTS: u32 = 20;

fn settings() -> AdmissionSettings {
    AdmissionSettings {
        cold_limit: COLD_LIMIT,
        warm_limit: WARM_LIMIT,
        queue: 16,
        queue_timeout: Span::ms(500),
        ..AdmissionSettings::default()
    }
}

fn load_report(requested_at: Mono, incarnation: u64) -> LoadReport {
    LoadReport {
        requested_at,
        incarnation,
        cache_used: 0.1,
    }
}

fn arrival(seq: u64, priority: u8, deadline: Mono) -> Arrival {
    Arrival {
        attempt: attempt(seq),
        priority,
        deadline,
        suspect: false,
    }
}

/// Admission control of an engine that has sent one load report.
fn with_first_report(fault: InjectedFault) -> Admission {
    let mut admission = Admission::new(settings(), fault);
    admission.on_report(load_report(at(0), 1), at(0));
    admission
}

/// Queues attempts until the limit is reached and some wait. Returns those that
/// run.
fn fill(admission: &mut Admission, now: Mono) -> Vec<AttemptId> {
    let started =
        (1_000..1_100).map(|seq| admission.on_arrival(arrival(seq, 5, now + SECOND), now));
    let effects: Vec<Effect> = started.flatten().collect();
    let starts = effects.iter().filter_map(|effect| match effect {
        Effect::Start(attempt) => Some(*attempt),
        Effect::Reject(..) => None,
    });
    starts.collect()
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn nothing_starts_before_the_first_load_report() {
    let mut admission = Admission::new(settings(), InjectedFault::None);

    let before = admission.on_arrival(arrival(1, 5, at(1_000)), at(0));
    let after = admission.on_report(load_report(at(1), 1), at(2));

    assert_eq!(before, Vec::new());
    assert_eq!(after, vec![Effect::Start(attempt(1))]);
}

#[test]
fn cold_backend_server_gets_its_cold_limit() {
    let mut admission = with_first_report(InjectedFault::None);

    let started = fill(&mut admission, at(1));

    assert_eq!(started.len() as u32, COLD_LIMIT);
}

#[test]
fn limit_grows_with_good_completions_up_to_the_warm_limit() {
    let mut admission = with_first_report(InjectedFault::None);
    let mut now = at(1);
    let mut running = fill(&mut admission, now);
    for seq in 0..500 {
        now = now + Duration::from_millis(1);
        if let Some(done) = running.pop() {
            collect_started(admission.on_end(done, Outcome::Success, now), &mut running);
        }
        let effects = admission.on_arrival(arrival(seq, 5, now + SECOND), now);
        collect_started(effects, &mut running);
    }

    assert_eq!(admission.limit(now), WARM_LIMIT);
    assert!(admission.is(Phase::Warm));
}

fn collect_started(effects: Vec<Effect>, running: &mut Vec<AttemptId>) {
    for effect in effects {
        if let Effect::Start(attempt) = effect {
            running.push(attempt);
        }
    }
}

#[test]
fn queue_is_bounded_and_the_least_urgent_attempt_is_rejected() {
    let mut admission = with_first_report(InjectedFault::None);
    fill(&mut admission, at(1));

    let urgent = admission.on_arrival(arrival(1, 0, at(900)), at(2));
    let idle = admission.on_arrival(arrival(2, 9, at(900)), at(2));

    assert!(
        matches!(urgent[..], [Effect::Reject(_, Reason::Shed)]),
        "{urgent:?}"
    );
    assert_eq!(idle, vec![Effect::Reject(attempt(2), Reason::QueueFull)]);
    assert_eq!(admission.load(at(2)).queued, settings().queue);
}

#[test]
fn most_urgent_starts_first() {
    let mut admission = with_first_report(InjectedFault::None);
    let running = fill_to_limit(&mut admission);
    admission.on_arrival(arrival(1, 5, at(400)), at(2));
    admission.on_arrival(arrival(2, 1, at(400)), at(3));
    admission.on_arrival(arrival(3, 1, at(300)), at(4));

    let effects = admission.on_end(running, Outcome::Success, at(5));

    assert_eq!(effects, vec![Effect::Start(attempt(3))]);
}

/// Starts as many attempts as the limit allows, with none waiting. Returns one of
/// them.
fn fill_to_limit(admission: &mut Admission) -> AttemptId {
    for seq in 0..u64::from(COLD_LIMIT) {
        admission.on_arrival(arrival(2_000 + seq, 5, at(90_000)), at(1));
    }
    attempt(2_000)
}

#[test]
fn attempt_that_waits_too_long_is_rejected_when_it_expires() {
    let mut admission = with_first_report(InjectedFault::None);
    fill_to_limit(&mut admission);
    admission.on_arrival(arrival(1, 5, at(100)), at(2));
    admission.on_arrival(arrival(2, 5, at(9_000)), at(2));

    let due = admission.next_wake();
    let first = admission.wake(at(100));
    let second = admission.wake(at(502));

    assert_eq!(due, Some(at(100)));
    assert_eq!(first, vec![Effect::Reject(attempt(1), Reason::Expired)]);
    assert_eq!(second, vec![Effect::Reject(attempt(2), Reason::Expired)]);
}

#[test]
fn refused_connection_rejects_all_waiting_attempts() {
    let mut admission = with_first_report(InjectedFault::None);
    fill_to_limit(&mut admission);
    admission.on_arrival(arrival(1, 5, at(900)), at(2));

    let effects = admission.on_refused(at(3));
    let next = admission.on_arrival(arrival(2, 5, at(900)), at(4));

    assert_eq!(
        effects,
        vec![Effect::Reject(attempt(1), Reason::Unreachable)]
    );
    assert_eq!(next, vec![Effect::Reject(attempt(2), Reason::Unreachable)]);
}

#[test]
fn leaving_backend_server_takes_no_new_attempts() {
    let mut admission = with_first_report(InjectedFault::None);
    let running = fill_to_limit(&mut admission);

    admission.set_leaving(true);
    let refused = admission.on_arrival(arrival(1, 0, at(900)), at(2));
    admission.on_end(running, Outcome::Success, at(3));
    admission.set_leaving(false);
    let taken = admission.on_arrival(arrival(2, 0, at(900)), at(4));

    assert_eq!(refused, vec![Effect::Reject(attempt(1), Reason::Leaving)]);
    assert_eq!(taken, vec![Effect::Start(attempt(2))]);
}

/// A sign that the engine turned cold, reported to admission control of a warm
/// engine.
type ColdSign = fn(&mut Admission, Mono);

const COLD_SIGNS: [(&str, ColdSign); 5] = [
    ("new run", |admission, now| {
        admission.on_report(load_report(now, 2), now);
    }),
    ("refused", |admission, now| {
        admission.on_refused(now);
    }),
    ("broken", |admission, now| admission.on_disconnect(now)),
    ("cache dropped", |admission, now| {
        let full = LoadReport {
            cache_used: 0.9,
            ..load_report(now, 1)
        };
        admission.on_report(full, now);
        admission.on_report(load_report(now, 1), now);
    }),
    ("late first token", |admission, now| {
        let one = start_one_more(admission, now);
        for _ in 0..10 {
            admission.on_first_token(one, Duration::from_millis(100), now);
        }
        admission.on_first_token(one, Duration::from_millis(900), now);
    }),
];

/// Starts one more attempt.
fn start_one_more(admission: &mut Admission, now: Mono) -> AttemptId {
    let effects = admission.on_arrival(arrival(5_000, 0, now + SECOND), now);
    assert_eq!(effects, vec![Effect::Start(attempt(5_000))]);
    attempt(5_000)
}

#[test]
fn completion_from_an_earlier_epoch_does_not_raise_the_limit() {
    let (mut admission, now) = warm_admission(InjectedFault::None);
    let old: Vec<AttemptId> = (0..8)
        .map(|n| start_attempt(&mut admission, 6_000 + n, now))
        .collect();

    admission.on_report(load_report(now, 2), now);
    for attempt in old {
        admission.on_end(attempt, Outcome::Success, now);
    }

    assert_eq!(admission.limit(now), COLD_LIMIT);
}

fn start_attempt(admission: &mut Admission, seq: u64, now: Mono) -> AttemptId {
    admission.on_arrival(arrival(seq, 0, now + SECOND), now);
    attempt(seq)
}

#[test]
fn each_cold_sign_resets_the_limit() {
    for (name, report_sign) in COLD_SIGNS {
        let (mut admission, now) = warm_admission(InjectedFault::None);
        assert!(
            admission.limit(now) > COLD_LIMIT,
            "not warm before `{name}`"
        );

        report_sign(&mut admission, now);

        assert_eq!(admission.limit(now), COLD_LIMIT, "after `{name}`");
    }
}

fn warm_admission(fault: InjectedFault) -> (Admission, Mono) {
    let mut admission = with_first_report(fault);
    let mut now = at(1);
    let mut running = fill(&mut admission, now);
    for seq in 0..200 {
        now = now + Duration::from_millis(1);
        if let Some(done) = running.pop() {
            collect_started(admission.on_end(done, Outcome::Success, now), &mut running);
        }
        let effects = admission.on_arrival(arrival(seq, 5, now + SECOND), now);
        collect_started(effects, &mut running);
    }
    for done in running {
        admission.on_end(done, Outcome::Cancelled, now);
    }
    for seq in 0..200 {
        admission.withdraw(attempt(seq));
    }
    (admission, now)
}

#[test]
fn disconnect_without_a_restart_restores_the_limit() {
    let (mut admission, now) = warm_admission(InjectedFault::None);
    let before = admission.limit(now);

    admission.on_disconnect(now);
    let held = admission.limit(now);
    admission.on_report(load_report(now, 1), now);

    assert_eq!(held, COLD_LIMIT);
    assert_eq!(admission.limit(now), before);
}

#[test]
fn limit_is_cold_without_recent_evidence() {
    let (admission, now) = warm_admission(InjectedFault::None);

    let later = now + Duration::from_millis(cardamomtally::agent::admission::MAX_EVIDENCE_AGE_MS);

    assert_eq!(admission.limit(later), COLD_LIMIT);
}

#[test]
fn slow_first_tokens_and_errors_lower_the_limit() {
    let (mut admission, now) = warm_admission(InjectedFault::None);
    let before = admission.limit(now);
    let later = now + Duration::from_millis(300);

    let one = start_one_more(&mut admission, now);
    admission.on_first_token(one, Duration::from_millis(400), later);
    let slow = admission.limit(later);
    let last = later + Duration::from_millis(300);
    admission.on_end(attempt(9_999), Outcome::Error, last);
    let failed = admission.limit(last);

    assert!(slow < before, "{before} fell to {slow}");
    assert!(failed < slow, "{slow} fell to {failed}");
}

/// An engine that dies when it runs more attempts than it can handle. The test
/// makes it turn cold by restarting it.
struct FakeEngine {
    incarnation: u64,
    completed: u32,
    running: BTreeMap<AttemptId, (Mono, bool)>,
    deaths: u32,
}

impl FakeEngine {
    fn capacity(&self) -> usize {
        (COLD_LIMIT + self.completed / 2).min(WARM_LIMIT) as usize
    }

    fn restart(&mut self) -> Vec<AttemptId> {
        self.incarnation += 1;
        self.completed = 0;
        std::mem::take(&mut self.running).into_keys().collect()
    }
}

/// Runs a random history in which the engine restarts and turns cold repeatedly.
/// Returns an error if the engine is ever given more attempts than it can handle,
/// if two suspects run at once, if the queue exceeds its bound, or if an attempt
/// starts after its deadline.
fn check(seed: u64, fault: InjectedFault) -> Result<(), String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut admission = Admission::new(settings(), fault);
    let mut engine = FakeEngine {
        incarnation: 1,
        completed: 0,
        running: BTreeMap::new(),
        deaths: 0,
    };
    let mut deadlines: BTreeMap<AttemptId, (Mono, bool)> = BTreeMap::new();
    let mut now = at(0);
    for step in 0..u64::from(RESTARTS) * 300 {
        now = now + Duration::from_millis(rng.random_range(1..4));
        let mut effects = admission.wake(now);
        for burst in 0..rng.random_range(0..6) {
            let one = Arrival {
                suspect: rng.random_bool(0.02),
                ..arrival(
                    step * 10 + burst,
                    rng.random_range(0..10),
                    deadline(&mut rng, now),
                )
            };
            deadlines.insert(one.attempt, (one.deadline, one.suspect));
            effects.extend(admission.on_arrival(one, now));
        }
        if step % 300 == 299 {
            let broken = engine.restart();
            admission.on_disconnect(now);
            for attempt in broken {
                effects.extend(admission.on_end(attempt, Outcome::Disconnected, now));
            }
        }
        if step % 10 == 0 {
            effects.extend(admission.on_report(load_report(now, engine.incarnation), now));
        }
        start(&mut engine, effects, &deadlines, now)?;
        let over = engine.running.iter().find(|(_, (end, _))| *end <= now);
        if let Some(attempt) = over.map(|(attempt, _)| *attempt) {
            engine.running.remove(&attempt);
            engine.completed += 1;
            let effects = admission.on_end(attempt, Outcome::Success, now);
            start(&mut engine, effects, &deadlines, now)?;
        }
        if admission.load(now).queued > settings().queue {
            return Err("the queue grew above its bound".to_owned());
        }
    }
    if engine.deaths == 0 {
        Ok(())
    } else {
        Err(format!("{} deaths", engine.deaths))
    }
}

fn deadline(rng: &mut SmallRng, now: Mono) -> Mono {
    now + Duration::from_millis(rng.random_range(20..2_000))
}

fn start(
    engine: &mut FakeEngine,
    effects: Vec<Effect>,
    deadlines: &BTreeMap<AttemptId, (Mono, bool)>,
    now: Mono,
) -> Result<(), String> {
    for effect in effects {
        let Effect::Start(attempt) = effect else {
            continue;
        };
        let (deadline, suspect) = deadlines[&attempt];
        if now >= deadline {
            return Err(format!("{attempt} started after its deadline"));
        }
        if suspect && engine.running.values().any(|(_, suspect)| *suspect) {
            return Err("two suspects run at once".to_owned());
        }
        let end = now + Duration::from_millis(20);
        engine.running.insert(attempt, (end, suspect));
        if engine.running.len() > engine.capacity() {
            engine.deaths += 1;
        }
    }
    Ok(())
}

#[test]
fn admission_rules_hold_in_random_histories() {
    for seed in 0..SEEDS {
        assert_eq!(check(seed, InjectedFault::None), Ok(()), "seed {seed}");
    }
}

#[test]
fn the_check_detects_injected_faults() {
    let faults = [
        InjectedFault::KeepLimit,
        InjectedFault::ConcurrentSuspects,
        InjectedFault::UnboundedQueue,
        InjectedFault::StartExpired,
    ];
    for fault in faults {
        let found = (0..SEEDS).any(|seed| check(seed, fault).is_err());
        assert!(found, "no seed shows {fault:?}");
    }
}
