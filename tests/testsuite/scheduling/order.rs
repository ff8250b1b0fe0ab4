//! Tests of the decision whether a request is sent, held or rejected, and of the order of
//! held requests.

use cardamomtally::{
    prelude::*,
    scheduling::{
        level::Level,
        order::{self, Decision, Held, Standing, decide},
        outlook::Outlook,
        settings::SchedulingSettings,
    },
};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
/// Shortest target latency of the service.
const SHORTEST: Duration = SECOND;

pub fn at(ms: u64) -> Mono {
    Mono(1_000_000 + ms * 1_000)
}

/// A request of a route with a target of 4 s and a deadline of 20 s.
fn long() -> Held {
    Held::new(at(0), at(20_000), SECOND * 4, Duration::ZERO, 2)
}

/// A request of a route with a target of 1 s and a deadline of 20 s.
fn short() -> Held {
    Held::new(at(0), at(20_000), SECOND, Duration::ZERO, 0)
}

/// What a request meets at a wait, if it needs `prefill` ms of work. All backend servers
/// have the same wait.
pub fn outlook(wait: f64, prefill: f64) -> Outlook {
    Outlook {
        wait,
        first: wait + 40.0 + prefill,
        prefill,
        mean_wait: wait,
        active: true,
    }
}

pub fn overload(mean_wait: f64) -> Level {
    let mut level = Level::default();
    level.update(mean_wait, SHORTEST, at(0));
    level
}

fn decide_at(held: &Held, outlook: &Outlook, ms: u64) -> Decision {
    let level = overload(1_000.0);
    decide(
        held,
        outlook,
        &level,
        &SchedulingSettings::default(),
        at(ms),
    )
}

/// Usual load: guards against delays without a need.
#[test]
fn request_is_sent_at_once_while_there_is_room() {
    let settings = SchedulingSettings::default();
    for wait in [0.0, 20.0, 500.0, 50_000.0] {
        let decided = decide(
            &long(),
            &outlook(wait, 300.0),
            &Level::default(),
            &settings,
            at(0),
        );
        assert_eq!(decided, Decision::Send, "{wait}");
    }
}

/// Services without overload control: guards against a change of what entries did before.
#[test]
fn request_of_a_service_without_overload_control_is_sent_at_once() {
    let passive = Outlook {
        active: false,
        ..outlook(50_000.0, 300.0)
    };

    assert_eq!(decide_at(&long(), &passive, 0), Decision::Send);
}

/// A burst of long prompts: guards against long prompts that fill the servers' queues
/// before short ones.
#[test]
fn request_with_slack_is_held_above_a_small_wait() {
    assert_eq!(decide_at(&long(), &outlook(55.0, 300.0), 0), Decision::Send);

    let Decision::Hold(until) = decide_at(&long(), &outlook(100.0, 300.0), 0) else {
        panic!("not held");
    };
    assert!(until > at(500) && until < at(3_600), "{until:?}");
}

/// A burst: guards against short requests that are held until they are late.
#[test]
fn urgent_request_is_sent_up_to_a_quarter_of_its_target() {
    assert_eq!(
        decide_at(&short(), &outlook(240.0, 20.0), 0),
        Decision::Send
    );
    let held = decide_at(&short(), &outlook(300.0, 20.0), 0);
    assert!(matches!(held, Decision::Hold(_)), "{held:?}");
}

/// A long burst: guards against long requests that miss their own target, since there is
/// always a short one.
#[test]
fn request_with_slack_is_sent_when_it_has_none_left() {
    let outlook = outlook(400.0, 300.0);
    let Decision::Hold(until) = decide_at(&long(), &outlook, 0) else {
        panic!("not held");
    };
    let settings = SchedulingSettings::default();

    let decided = decide(&long(), &outlook, &overload(1_000.0), &settings, until);

    assert_eq!(decided, Decision::Send);
    let first = until.since(at(0)) + Duration::from_millis(740);
    assert!(first < SECOND * 4, "{first:?}");
}

/// A backlog after an outage: guards against requests that have missed their target and
/// delay others that have not.
#[test]
fn late_request_yields_but_is_sent_at_the_limit() {
    let late = short();
    let limit = late.hold_limit(&SchedulingSettings::default());

    assert_eq!(
        late.standing(&outlook(100.0, 20.0), SHORTEST, at(980)),
        Standing::Late
    );
    assert_eq!(decide_at(&late, &outlook(25.0, 20.0), 980), Decision::Send);
    assert_eq!(
        decide_at(&late, &outlook(100.0, 20.0), 980),
        Decision::Hold(limit)
    );
    let after = decide_at(
        &late,
        &outlook(100.0, 20.0),
        limit.since(at(0)).as_millis() as u64,
    );
    assert_eq!(after, Decision::Send);
}

/// The loss of half of the servers: guards against requests that wait for an answer which
/// comes after their deadline.
#[test]
fn request_that_cannot_be_answered_in_time_is_rejected_at_once() {
    // A caller with a target of 1 s gives up after 4 s.
    let decided = decide_at(&short(), &outlook(7_000.0, 20.0), 0);

    let Decision::Reject { retry_after } = decided else {
        panic!("{decided:?}");
    };
    assert_eq!(retry_after, Duration::from_secs(7));
}

/// Callers without much time: guards against rejections while there is room, because of the
/// request's own work.
#[test]
fn request_is_not_rejected_for_its_own_work() {
    let hurried = Held::new(at(0), at(50), SECOND, Duration::ZERO, 0);

    assert_eq!(
        decide_at(&hurried, &outlook(20.0, 300.0), 0),
        Decision::Send
    );
    assert_ne!(
        decide_at(&hurried, &outlook(59.0, 300.0), 0),
        Decision::Reject {
            retry_after: Duration::from_millis(100)
        }
    );
}

/// A caller gives up before its deadline: guards against requests that are held for a caller
/// that has left.
#[test]
fn give_up_time_is_the_longest_of_three() {
    let given = |target, pause| {
        let held = Held::new(at(0), at(60_000), target, pause, 0);
        held.deadline.since(at(0))
    };
    let ms = Duration::from_millis;

    assert_eq!(given(ms(150), ms(0)), ms(2_000));
    assert_eq!(given(ms(1_000), ms(100)), ms(4_000));
    assert_eq!(given(ms(1_000), ms(900)), ms(7_200));
    let hurried = Held::new(at(0), at(1_500), ms(1_000), ms(0), 0);
    assert_eq!(hurried.deadline, at(1_500));
}

/// Plain calls: while all slots are taken the outlook has a wait, and otherwise none. Guards
/// against calls of 30 ms that are delayed although a slot is free.
#[test]
fn plain_call_is_held_only_while_all_slots_are_taken() {
    let call = Held::new(
        at(0),
        at(1_500),
        Duration::from_millis(150),
        Duration::ZERO,
        0,
    );
    let slots = |wait| Outlook {
        first: wait + 30.0,
        ..outlook(wait, 0.0)
    };

    assert_eq!(decide_at(&call, &slots(0.0), 0), Decision::Send);
    assert_eq!(decide_at(&call, &slots(30.0), 0), Decision::Send);
    let full = decide_at(&call, &slots(90.0), 0);
    assert!(
        matches!(full, Decision::Hold(until) if until <= at(450)),
        "{full:?}"
    );
}

/// Held requests of three kinds: guards against late ones before others, against the order
/// of arrival, and against large work before small.
#[test]
fn order_is_by_target_then_latest_start_then_value_per_work() {
    let settings = SchedulingSettings::default();
    let rank = |held: &Held, prefill| held.rank(&outlook(100.0, prefill), &settings, at(1_000));
    let fresh = Held::new(at(900), at(20_900), SECOND, Duration::ZERO, 0);
    let older = Held::new(at(800), at(20_800), SECOND, Duration::ZERO, 0);
    let overdue = short();
    let less_urgent = Held {
        priority: 1,
        ..overdue
    };

    let mut sorted = [
        ("late, more work", rank(&overdue, 40.0)),
        ("late, less urgent", rank(&less_urgent, 20.0)),
        ("slack", rank(&long(), 300.0)),
        ("fresh", rank(&fresh, 20.0)),
        ("late", rank(&overdue, 20.0)),
        ("older", rank(&older, 20.0)),
    ];
    sorted.sort_by_key(|(_, rank)| *rank);

    let names = sorted.map(|(name, _)| name);
    assert_eq!(names[..4], ["older", "fresh", "slack", "late"]);
}

/// Guards against callers that come back together.
#[test]
fn random_part_spreads_the_delay() {
    let delay = Duration::from_millis(400);

    assert_eq!(order::spread(delay, 0.0), delay);
    assert_eq!(order::spread(delay, 1.0), Duration::from_millis(600));
}

/// Guards against settings that a service cannot work with.
#[test]
fn settings_outside_their_ranges_are_refused() {
    let good = SchedulingSettings::default();
    let bad = [
        (
            "priority_ratio",
            SchedulingSettings {
                priority_ratio: 0.5,
                ..good
            },
        ),
        (
            "late_value",
            SchedulingSettings {
                late_value: -0.1,
                ..good
            },
        ),
        (
            "urgent_share",
            SchedulingSettings {
                urgent_share: f64::NAN,
                ..good
            },
        ),
        (
            "hold_share",
            SchedulingSettings {
                hold_share: 1.1,
                ..good
            },
        ),
        (
            "short_wait",
            SchedulingSettings {
                short_wait: Duration::ZERO,
                ..good
            },
        ),
        (
            "max_held",
            SchedulingSettings {
                max_held: 0,
                ..good
            },
        ),
        (
            "max_held_bytes",
            SchedulingSettings {
                max_held_bytes: 100,
                ..good
            },
        ),
    ];

    assert_eq!(good.check(), Ok(()));
    for (name, settings) in bad {
        let fault = settings.check().unwrap_err();
        assert!(fault.contains(name), "{fault}");
    }
}

fn any_ms() -> impl Strategy<Value = f64> {
    prop_oneof![
        0.0..30_000.0_f64,
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(-1.0),
        Just(f64::MAX)
    ]
}

proptest! {
    /// Guards against a rejection of a request that can be answered, against holding past the
    /// limit, and against figures that are no numbers.
    #[test]
    fn decision_keeps_its_promises(
        (wait, first, prefill, mean) in (any_ms(), any_ms(), any_ms(), any_ms()),
        (target, deadline, pause) in (0_u64..60_000, 0_u64..60_000, 0_u64..10_000),
        priority in 0_u8..10,
        passed in 0_u64..60_000,
    ) {
        let settings = SchedulingSettings::default();
        let ms = Duration::from_millis;
        let held = Held::new(at(0), at(deadline), ms(target), ms(pause), priority);
        let outlook = Outlook { wait, first, prefill, mean_wait: mean, active: true };
        let now = at(passed);
        let _rank = held.rank(&outlook, &settings, now);
        prop_assert!(held.density(&outlook, &settings, now).is_finite());

        match decide(&held, &outlook, &overload(1_000.0), &settings, now) {
            Decision::Send => {}
            Decision::Hold(until) => {
                prop_assert!(until >= now);
                prop_assert!(until <= held.hold_limit(&settings));
            }
            Decision::Reject { retry_after } => {
                let left = held.deadline.since(now).as_secs_f64() * 1e3;
                let usable = first.is_finite() && wait.is_finite();
                prop_assert!(!usable || first.max(wait) > left);
                prop_assert!(retry_after > Duration::ZERO);
            }
        }
    }
}
