//! Admission control against a fake engine that dies when it runs more attempts
//! than it can handle.

use super::fixtures::*;
use cardamomtally::{
    agent::{
        admission::{Admission, Arrival, Breach, Effect, Outcome, Reading, Reason},
        phase::Phase,
    },
    prelude::*,
    settings::{agent::AdmissionSettings, units::Span},
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::collections::BTreeMap;

const SEEDS: u64 = 60;
const COLD: u32 = 4;
const WARM: u32 = 40;
const TURNS: u32 = 20;

fn settings() -> AdmissionSettings {
    AdmissionSettings {
        cold_limit: COLD,
        warm_limit: WARM,
        queue: 16,
        queue_timeout: Span::ms(500),
        ..AdmissionSettings::default()
    }
}

fn reading(sent: Mono, incarnation: u64) -> Reading {
    Reading {
        sent,
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
fn read_once(breach: Breach) -> Admission {
    let mut admission = Admission::new(settings(), breach);
    admission.read(reading(at(0), 1), at(0));
    admission
}

/// Queues attempts until the limit is reached and some wait. Returns those that
/// run.
fn fill(admission: &mut Admission, now: Mono) -> Vec<AttemptId> {
    let started = (1_000..1_100).map(|seq| admission.arrive(arrival(seq, 5, now + SECOND), now));
    let effects: Vec<Effect> = started.flatten().collect();
    let starts = effects.iter().filter_map(|effect| match effect {
        Effect::Start(attempt) => Some(*attempt),
        Effect::Reject(..) => None,
    });
    starts.collect()
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn nothing_starts_before_the_first_reading() {
    let mut admission = Admission::new(settings(), Breach::None);

    let before = admission.arrive(arrival(1, 5, at(1_000)), at(0));
    let after = admission.read(reading(at(1), 1), at(2));

    assert_eq!(before, Vec::new());
    assert_eq!(after, vec![Effect::Start(attempt(1))]);
}

#[test]
fn cold_backend_server_gets_its_cold_limit() {
    let mut admission = read_once(Breach::None);

    let started = fill(&mut admission, at(1));

    assert_eq!(started.len() as u32, COLD);
}

#[test]
fn limit_grows_with_good_completions_up_to_the_warm_one() {
    let mut admission = read_once(Breach::None);
    let mut now = at(1);
    let mut running = fill(&mut admission, now);
    for seq in 0..500 {
        now = now + Duration::from_millis(1);
        if let Some(done) = running.pop() {
            collect(admission.end(done, Outcome::Good, now), &mut running);
        }
        let effects = admission.arrive(arrival(seq, 5, now + SECOND), now);
        collect(effects, &mut running);
    }

    assert_eq!(admission.limit(now), WARM);
    assert!(admission.is(Phase::Warm));
}

fn collect(effects: Vec<Effect>, running: &mut Vec<AttemptId>) {
    for effect in effects {
        if let Effect::Start(attempt) = effect {
            running.push(attempt);
        }
    }
}

#[test]
fn queue_is_bounded_and_the_least_urgent_goes_at_once() {
    let mut admission = read_once(Breach::None);
    fill(&mut admission, at(1));

    let urgent = admission.arrive(arrival(1, 0, at(900)), at(2));
    let idle = admission.arrive(arrival(2, 9, at(900)), at(2));

    assert!(
        matches!(urgent[..], [Effect::Reject(_, Reason::Shed)]),
        "{urgent:?}"
    );
    assert_eq!(idle, vec![Effect::Reject(attempt(2), Reason::Full)]);
    assert_eq!(admission.load(at(2)).queued, settings().queue);
}

#[test]
fn most_urgent_starts_first() {
    let mut admission = read_once(Breach::None);
    let running = fill_exactly(&mut admission);
    admission.arrive(arrival(1, 5, at(400)), at(2));
    admission.arrive(arrival(2, 1, at(400)), at(3));
    admission.arrive(arrival(3, 1, at(300)), at(4));

    let effects = admission.end(running, Outcome::Good, at(5));

    assert_eq!(effects, vec![Effect::Start(attempt(3))]);
}

/// Starts as many attempts as the limit allows, with none waiting. Returns one of
/// them.
fn fill_exactly(admission: &mut Admission) -> AttemptId {
    for seq in 0..u64::from(COLD) {
        admission.arrive(arrival(2_000 + seq, 5, at(90_000)), at(1));
    }
    attempt(2_000)
}

#[test]
fn what_waits_too_long_is_rejected_at_its_time() {
    let mut admission = read_once(Breach::None);
    fill_exactly(&mut admission);
    admission.arrive(arrival(1, 5, at(100)), at(2));
    admission.arrive(arrival(2, 5, at(9_000)), at(2));

    let due = admission.next_wake();
    let first = admission.wake(at(100));
    let second = admission.wake(at(502));

    assert_eq!(due, Some(at(100)));
    assert_eq!(first, vec![Effect::Reject(attempt(1), Reason::Late)]);
    assert_eq!(second, vec![Effect::Reject(attempt(2), Reason::Late)]);
}

#[test]
fn refused_connection_rejects_all_that_waits() {
    let mut admission = read_once(Breach::None);
    fill_exactly(&mut admission);
    admission.arrive(arrival(1, 5, at(900)), at(2));

    let effects = admission.refused(at(3));
    let next = admission.arrive(arrival(2, 5, at(900)), at(4));

    assert_eq!(effects, vec![Effect::Reject(attempt(1), Reason::Down)]);
    assert_eq!(next, vec![Effect::Reject(attempt(2), Reason::Down)]);
}

#[test]
fn leaving_backend_server_takes_nothing_new() {
    let mut admission = read_once(Breach::None);
    let running = fill_exactly(&mut admission);

    admission.set_leaving(true);
    let refused = admission.arrive(arrival(1, 0, at(900)), at(2));
    admission.end(running, Outcome::Good, at(3));
    admission.set_leaving(false);
    let taken = admission.arrive(arrival(2, 0, at(900)), at(4));

    assert_eq!(refused, vec![Effect::Reject(attempt(1), Reason::Leaving)]);
    assert_eq!(taken, vec![Effect::Start(attempt(2))]);
}

/// A sign that the engine turned cold, reported to admission control of a warm
/// engine.
type Turn = fn(&mut Admission, Mono);

const SIGNS: [(&str, Turn); 5] = [
    ("new run", |admission, now| {
        admission.read(reading(now, 2), now);
    }),
    ("refused", |admission, now| {
        admission.refused(now);
    }),
    ("broken", |admission, now| admission.broke(now)),
    ("cache dropped", |admission, now| {
        let full = Reading {
            cache_used: 0.9,
            ..reading(now, 1)
        };
        admission.read(full, now);
        admission.read(reading(now, 1), now);
    }),
    ("late first token", |admission, now| {
        let one = started(admission, now);
        for _ in 0..10 {
            admission.first_token(one, Duration::from_millis(100), now);
        }
        admission.first_token(one, Duration::from_millis(900), now);
    }),
];

/// Starts one more attempt.
fn started(admission: &mut Admission, now: Mono) -> AttemptId {
    let effects = admission.arrive(arrival(5_000, 0, now + SECOND), now);
    assert_eq!(effects, vec![Effect::Start(attempt(5_000))]);
    attempt(5_000)
}

#[test]
fn completion_from_before_a_cold_turn_proves_nothing() {
    let (mut admission, now) = warmed(Breach::None);
    let old: Vec<AttemptId> = (0..8)
        .map(|n| started_as(&mut admission, 6_000 + n, now))
        .collect();

    admission.read(reading(now, 2), now);
    for attempt in old {
        admission.end(attempt, Outcome::Good, now);
    }

    assert_eq!(admission.limit(now), COLD);
}

fn started_as(admission: &mut Admission, seq: u64, now: Mono) -> AttemptId {
    admission.arrive(arrival(seq, 0, now + SECOND), now);
    attempt(seq)
}

#[test]
fn each_sign_of_a_cold_turn_starts_the_ramp_again() {
    for (name, turn) in SIGNS {
        let (mut admission, now) = warmed(Breach::None);
        assert!(admission.limit(now) > COLD, "not warm before `{name}`");

        turn(&mut admission, now);

        assert_eq!(admission.limit(now), COLD, "after `{name}`");
    }
}

fn warmed(breach: Breach) -> (Admission, Mono) {
    let mut admission = read_once(breach);
    let mut now = at(1);
    let mut running = fill(&mut admission, now);
    for seq in 0..200 {
        now = now + Duration::from_millis(1);
        if let Some(done) = running.pop() {
            collect(admission.end(done, Outcome::Good, now), &mut running);
        }
        let effects = admission.arrive(arrival(seq, 5, now + SECOND), now);
        collect(effects, &mut running);
    }
    for done in running {
        admission.end(done, Outcome::Cancelled, now);
    }
    for seq in 0..200 {
        admission.withdraw(attempt(seq));
    }
    (admission, now)
}

#[test]
fn break_without_a_restart_is_forgiven() {
    let (mut admission, now) = warmed(Breach::None);
    let before = admission.limit(now);

    admission.broke(now);
    let held = admission.limit(now);
    admission.read(reading(now, 1), now);

    assert_eq!(held, COLD);
    assert_eq!(admission.limit(now), before);
}

#[test]
fn pause_without_evidence_ramps_up_again() {
    let (admission, now) = warmed(Breach::None);

    let later = now + Duration::from_millis(cardamomtally::agent::admission::EVIDENCE_MS);

    assert_eq!(admission.limit(later), COLD);
}

#[test]
fn slow_first_tokens_and_errors_lower_the_limit() {
    let (mut admission, now) = warmed(Breach::None);
    let before = admission.limit(now);
    let later = now + Duration::from_millis(300);

    let one = started(&mut admission, now);
    admission.first_token(one, Duration::from_millis(400), later);
    let slow = admission.limit(later);
    let last = later + Duration::from_millis(300);
    admission.end(attempt(9_999), Outcome::Error, last);
    let failed = admission.limit(last);

    assert!(slow < before, "{before} fell to {slow}");
    assert!(failed < slow, "{slow} fell to {failed}");
}

/// An engine that dies when it runs more attempts than it can handle. The test
/// makes it turn cold by restarting it.
struct Fake {
    run: u64,
    completed: u32,
    running: BTreeMap<AttemptId, (Mono, bool)>,
    deaths: u32,
}

impl Fake {
    fn bears(&self) -> usize {
        (COLD + self.completed / 2).min(WARM) as usize
    }

    fn restart(&mut self) -> Vec<AttemptId> {
        self.run += 1;
        self.completed = 0;
        std::mem::take(&mut self.running).into_keys().collect()
    }
}

/// Runs a random history in which the engine restarts and turns cold repeatedly.
/// Returns an error if the engine is ever given more attempts than it can handle,
/// if two suspects run at once, if the queue exceeds its bound, or if an attempt
/// starts after its deadline.
fn check(seed: u64, breach: Breach) -> Result<(), String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut admission = Admission::new(settings(), breach);
    let mut fake = Fake {
        run: 1,
        completed: 0,
        running: BTreeMap::new(),
        deaths: 0,
    };
    let mut deadlines: BTreeMap<AttemptId, (Mono, bool)> = BTreeMap::new();
    let mut now = at(0);
    for step in 0..u64::from(TURNS) * 300 {
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
            effects.extend(admission.arrive(one, now));
        }
        if step % 300 == 299 {
            let broken = fake.restart();
            admission.broke(now);
            for attempt in broken {
                effects.extend(admission.end(attempt, Outcome::Broken, now));
            }
        }
        if step % 10 == 0 {
            effects.extend(admission.read(reading(now, fake.run), now));
        }
        start(&mut fake, effects, &deadlines, now)?;
        let over = fake.running.iter().find(|(_, (end, _))| *end <= now);
        if let Some(attempt) = over.map(|(attempt, _)| *attempt) {
            fake.running.remove(&attempt);
            fake.completed += 1;
            let effects = admission.end(attempt, Outcome::Good, now);
            start(&mut fake, effects, &deadlines, now)?;
        }
        if admission.load(now).queued > settings().queue {
            return Err("the queue grew above its bound".to_owned());
        }
    }
    if fake.deaths == 0 {
        Ok(())
    } else {
        Err(format!("{} deaths", fake.deaths))
    }
}

fn deadline(rng: &mut SmallRng, now: Mono) -> Mono {
    now + Duration::from_millis(rng.random_range(20..2_000))
}

fn start(
    fake: &mut Fake,
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
        if suspect && fake.running.values().any(|(_, suspect)| *suspect) {
            return Err("two suspects run at once".to_owned());
        }
        let end = now + Duration::from_millis(20);
        fake.running.insert(attempt, (end, suspect));
        if fake.running.len() > fake.bears() {
            fake.deaths += 1;
        }
    }
    Ok(())
}

#[test]
fn admission_holds_in_random_histories() {
    for seed in 0..SEEDS {
        assert_eq!(check(seed, Breach::None), Ok(()), "seed {seed}");
    }
}

#[test]
fn admission_check_sees_broken_rules() {
    let breaches = [
        Breach::StayWarm,
        Breach::SuspectsTogether,
        Breach::LongQueue,
        Breach::StartLate,
    ];
    for breach in breaches {
        let found = (0..SEEDS).any(|seed| check(seed, breach).is_err());
        assert!(found, "no seed shows {breach:?}");
    }
}
