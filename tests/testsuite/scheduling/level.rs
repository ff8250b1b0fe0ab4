//! Tests of the overload level.

use cardamomtally::{prelude::*, scheduling::level::Level};

const TARGET: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Mono {
    Mono((1_000 + ms) * 1_000)
}

/// Guards against requests that are held although there is room.
#[test]
fn level_is_0_while_the_mean_wait_is_small() {
    let mut level = Level::default();

    assert!(level.update(40.0, TARGET, at(0)).abs() < f64::EPSILON);
    assert!(!level.is_raised());
}

/// Guards against a level in another unit than the one that escalation compares with.
#[test]
fn level_is_1_at_a_mean_wait_of_the_shortest_target() {
    let mut level = Level::default();

    assert!((level.update(1_000.0, TARGET, at(0)) - 1.0).abs() < 1e-9);
}

/// A burst begins: guards against a level that averages its beginning away.
#[test]
fn level_rises_at_once() {
    let mut level = Level::default();
    level.update(0.0, TARGET, at(0));

    assert!(level.update(3_000.0, TARGET, at(1)) > 3.0);
}

/// A burst has a gap: guards against control that ends within the burst, and against one
/// that stays long after it.
#[test]
fn level_falls_over_two_seconds() {
    let mut level = Level::default();
    level.update(2_000.0, TARGET, at(0));

    let soon = level.update(0.0, TARGET, at(100));
    let later = level.update(0.0, TARGET, at(2_000));
    let end = level.update(0.0, TARGET, at(4_000));

    assert!(soon > 1.5, "{soon}");
    assert!((0.01..0.2).contains(&later), "{later}");
    assert!(end.abs() < f64::EPSILON, "{end}");
}

/// Many requests update the level: guards against a fall that depends on their number.
#[test]
fn fall_does_not_depend_on_the_number_of_updates() {
    let (mut often, mut seldom) = (Level::default(), Level::default());
    often.update(2_000.0, TARGET, at(0));
    seldom.update(2_000.0, TARGET, at(0));
    for ms in 1..1_000 {
        often.update(0.0, TARGET, at(ms));
    }

    let (often, seldom) = (
        often.update(0.0, TARGET, at(1_000)),
        seldom.update(0.0, TARGET, at(1_000)),
    );
    assert!((often - seldom).abs() < 1e-9, "{often} {seldom}");
}

/// Guards against a level that is no number, by which nothing would ever be sent or all
/// would be.
#[test]
fn impossible_figures_count_as_room() {
    for wait in [f64::NAN, f64::INFINITY, -5.0] {
        let mut level = Level::default();
        level.update(wait, TARGET, at(0));
        assert!(!level.is_raised(), "{wait}");
        assert!(level.value() >= 0.0);
    }
    let mut level = Level::default();
    assert!(level.update(100.0, Duration::ZERO, at(0)).is_finite());
}
