//! The replicated state machine of a site.

use super::fixtures::{SERVICE, backend, cold, document};
use cardamomtally::{
    core::log::StateMachine as _,
    net::codec,
    prelude::*,
    site::{
        backend::ColdReadings,
        document::Class,
        rollout::{Stage, Step},
        state::{Command, Machine, Reply, State, Store, Submission},
    },
};

fn submit(number: u64, source: &str) -> Command {
    Command::Submit(Box::new(Submission {
        document: document(number, Class::Once),
        source: source.as_bytes().to_vec(),
    }))
}

fn begin(target: &str, wall: u64) -> Command {
    Command::Begin {
        service: SERVICE.into(),
        target: target.into(),
        duration: 10_000,
        wall,
        since_latest: None,
        decided_on: None,
    }
}

/// Returns an order that comes a time after the one before, by the clock of a member.
fn begin_after(target: &str, wall: u64, since_latest: u64) -> Command {
    Command::Begin {
        service: SERVICE.into(),
        target: target.into(),
        duration: 10_000,
        wall,
        since_latest: Some(since_latest),
        decided_on: None,
    }
}

fn step(ordered: u64, stage: Stage, permille: u32) -> Command {
    Command::Step(Step {
        service: SERVICE.into(),
        ordered,
        stage,
        permille,
        passed: 0,
    })
}

fn source(state: &State) -> Option<&[u8]> {
    state.document.as_ref().map(|(_, s)| s.source.as_slice())
}

#[test]
fn highest_number_is_in_force_whatever_the_order() {
    let mut state = State::default();

    let replies = [(4, "four"), (9, "nine"), (7, "seven"), (9, "other")]
        .map(|(number, text)| state.apply(Index(number), submit(number, text)));

    assert_eq!(
        replies,
        [Reply::Done, Reply::Done, Reply::Same, Reply::Same]
    );
    assert_eq!(source(&state), Some(b"nine".as_slice()));
}

#[test]
fn repeated_rollout_order_changes_nothing_and_a_later_one_begins_anew() {
    let mut state = State::default();

    let first = state.apply(Index(1), begin("v2", 1_000));
    let repeated = state.apply(Index(2), begin("v2", 1_900));
    state.apply(Index(3), step(1_000, Stage::RolledBack, 0));
    let recent = state.apply(Index(4), begin("v2", 4_000));
    let anew = state.apply(Index(5), begin("v2", 30_000));

    assert_eq!(
        [first, repeated, recent, anew],
        [Reply::Done, Reply::Same, Reply::Same, Reply::Done]
    );
    assert_eq!(state.fleet.rollouts[SERVICE].stage, Stage::Running);
}

#[test]
fn repeated_rollout_order_is_told_by_its_age_while_the_time_of_day_jumps() {
    let mut state = State::default();
    state.apply(Index(1), begin("v2", 50_000));
    state.apply(Index(2), step(50_000, Stage::RolledBack, 0));

    let repeated = state.apply(Index(3), begin_after("v2", 90_000, 1_000));
    let anew = state.apply(Index(4), begin_after("v2", 48_000, 20_000));

    assert_eq!([repeated, anew], [Reply::Same, Reply::Done]);
}

#[test]
fn time_that_a_rollout_has_run_is_kept_without_a_new_fleet() {
    let mut state = State::default();
    state.apply(Index(1), begin("v2", 7));
    let told = Step {
        service: SERVICE.into(),
        ordered: 7,
        stage: Stage::Running,
        permille: 0,
        passed: 3_000,
    };

    state.apply(Index(2), Command::Step(told));

    assert_eq!(state.progress[SERVICE].passed, 3_000);
    assert_eq!(state.fleet.index, Index(1));
}

#[test]
fn steps_of_an_ended_or_another_rollout_are_ignored() {
    let mut state = State::default();
    state.apply(Index(1), begin("v2", 1_000));

    let other_rollout = state.apply(Index(2), step(500, Stage::Completed, 1000));
    let ended = state.apply(Index(3), step(1_000, Stage::RolledBack, 0));
    let after = state.apply(Index(4), step(1_000, Stage::Completed, 1000));

    assert_eq!(
        [other_rollout, ended, after],
        [Reply::Same, Reply::Done, Reply::Same]
    );
    assert_eq!(state.fleet.rollouts[SERVICE].stage, Stage::RolledBack);
}

#[test]
fn evacuation_lasts_until_it_is_revoked() {
    let mut state = State::default();
    let evacuate = |evacuated| Command::Evacuate {
        centre: "north".into(),
        evacuated,
        decided_on: None,
    };

    state.apply(Index(1), evacuate(true));
    let again = state.apply(Index(2), evacuate(true));
    assert_eq!(again, Reply::Same);
    assert!(state.fleet.evacuated.contains("north"));

    state.apply(Index(3), evacuate(false));
    assert!(state.fleet.evacuated.is_empty());
}

fn evacuate(evacuated: bool, decided_on: u64) -> Command {
    Command::Evacuate {
        centre: "north".into(),
        evacuated,
        decided_on: Some(Index(decided_on)),
    }
}

/// Guards against an order of a caller that gave it up and ordered the contrary elsewhere.
#[test]
fn withdrawal_that_was_decided_before_another_evacuation_changes_nothing() {
    let mut state = State::default();
    state.apply(Index(1), evacuate(true, 0));
    state.apply(Index(2), evacuate(false, 1));
    state.apply(Index(3), evacuate(true, 2));

    let late = state.apply(Index(4), evacuate(false, 1));

    assert_eq!(late, Reply::Overtaken);
    assert!(state.fleet.evacuated.contains("north"));
}

/// Guards against the same by an order that was acknowledged without a change.
#[test]
fn evacuation_that_was_decided_before_a_withdrawal_without_effect_changes_nothing() {
    let mut state = State::default();

    let withdrawn = state.apply(Index(1), evacuate(false, 0));
    let late = state.apply(Index(2), evacuate(true, 0));

    assert_eq!([withdrawn, late], [Reply::Same, Reply::Overtaken]);
    assert!(state.fleet.evacuated.is_empty());
}

/// Guards against a refusal of an order that is committed twice, as after a change of leader.
#[test]
fn same_order_committed_twice_stays_one_order() {
    let mut state = State::default();

    let replies = [1, 2].map(|index| state.apply(Index(index), evacuate(true, 0)));
    let next = state.apply(Index(3), evacuate(false, 2));

    assert_eq!(replies, [Reply::Done, Reply::Same]);
    assert_eq!(next, Reply::Done);
}

/// Guards against a roll-out that is replaced by an order that its caller gave up.
#[test]
fn rollout_that_was_decided_before_another_one_does_not_replace_it() {
    let mut state = State::default();
    let order = |target, wall, decided_on| match begin(target, wall) {
        Command::Begin {
            service,
            target,
            duration,
            wall,
            since_latest,
            ..
        } => Command::Begin {
            service,
            target,
            duration,
            wall,
            since_latest,
            decided_on: Some(Index(decided_on)),
        },
        other => other,
    };
    state.apply(Index(1), order("v2", 1_000, 0));
    state.apply(Index(2), step(1_000, Stage::RolledBack, 0));
    state.apply(Index(3), order("v3", 20_000, 1));

    let late = state.apply(Index(4), order("v2", 40_000, 1));
    let repeated = state.apply(Index(5), order("v3", 40_000, 1));

    assert_eq!([late, repeated], [Reply::Overtaken, Reply::Same]);
    assert_eq!(&*state.fleet.rollouts[SERVICE].target, "v3");
}

#[test]
fn fleet_index_changes_only_with_the_fleet() {
    let mut state = State::default();
    let list = vec![backend("i-1", "127.0.0.1:1".parse().unwrap())];

    state.apply(Index(5), Command::Backends(list.clone()));
    state.apply(Index(6), Command::Backends(list));

    assert_eq!(state.fleet.index, Index(5));
}

#[test]
fn snapshot_holds_the_whole_state() {
    let store = Arc::<Store>::default();
    let mut machine = Machine::new(Arc::clone(&store));
    for (index, command) in [submit(3, "three"), begin("v2", 7)].iter().enumerate() {
        machine.apply(Index(index as u64 + 1), &codec::encode(command));
    }
    let copy = Arc::<Store>::default();
    let mut other = Machine::new(Arc::clone(&copy));

    other.restore(&machine.snapshot()).unwrap();

    let state = store.read(Clone::clone);
    assert_eq!(copy.read(Clone::clone), state);
    assert_eq!(source(&state), Some(b"three".as_slice()));
}

#[test]
fn command_that_does_not_decode_changes_nothing() {
    let store = Arc::<Store>::default();
    let mut machine = Machine::new(Arc::clone(&store));

    let reply = machine.apply(Index(1), b"\xff\xff");

    assert_eq!(codec::decode::<Reply>(&reply).unwrap(), Reply::Unreadable);
    assert_eq!(store.read(Clone::clone), State::default());
}

#[test]
fn small_differences_between_cold_times_are_ignored() {
    let address = "127.0.0.1:1".parse().unwrap();
    let listed = |left, wall| vec![cold(backend("i-1", address), left, wall)];
    let mut readings = ColdReadings::default();
    let mut before = listed(10_000, 0);
    readings.keep(&[], &mut before, Mono(0));

    let mut near = listed(9_300, 1_000);
    readings.keep(&before, &mut near, Mono(1_000_000));
    let mut far = listed(13_000, 1_000);
    readings.keep(&before, &mut far, Mono(1_000_000));

    assert_eq!(near, before);
    assert_eq!(far[0].cold_left, Some(13_000));
}

#[test]
fn leader_whose_time_of_day_jumps_keeps_the_cold_times_in_force() {
    let address = "127.0.0.1:1".parse().unwrap();
    let listed = |left, wall| vec![cold(backend("i-1", address), left, wall)];
    let mut readings = ColdReadings::default();
    let mut before = listed(10_000, 0);
    readings.keep(&[], &mut before, Mono(0));

    let mut after = listed(9_000, 61_000);
    readings.keep(&before, &mut after, Mono(1_000_000));

    assert_eq!(after, before);
}

#[test]
fn backend_server_that_is_warm_is_told_so_also_by_the_next_leader() {
    let address = "127.0.0.1:1".parse().unwrap();
    let listed = |left, wall| vec![cold(backend("i-1", address), left, wall)];
    let before = listed(10_000, 0);

    let mut warm = listed(0, 0);
    ColdReadings::default().keep(&before, &mut warm, Mono(0));

    assert_eq!(warm[0].cold_left, Some(0));
}
