//! Tests of the workspaces' shares in a service's capacity.

use cardamomtally::{
    prelude::*,
    scheduling::fairness::{Fairness, WorkSums, WorkspaceKey, key},
};
use proptest::prelude::*;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::collections::{BTreeMap, VecDeque};

/// Number of entries of the simulated fleet.
const ENTRIES: usize = 4;
/// Number of workspaces. Each usually sends a tenth of what the servers bear.
const WORKSPACES: WorkspaceKey = 8;
/// The workspace that sends eight times its usual load.
const LOUD: WorkspaceKey = 3;
/// Work that all servers do in one step, in milliseconds.
const WORK_PER_STEP: f64 = 100.0;
/// Length of a step in milliseconds.
const STEP_MS: u64 = 10;
/// Length of the simulation, in milliseconds.
const DURATION_MS: u64 = 20_000;
/// When the workspace begins to send more, in milliseconds.
const BURST_FROM_MS: u64 = 5_000;
/// Time within which a request must be started to be served, in milliseconds.
const PATIENCE_MS: u64 = 1_000;
/// Age of the other entries' rates, and time between two computations of the shares.
const REPORT_MS: u64 = 200;

#[derive(Clone, Copy)]
struct Waiting {
    at: u64,
    workspace: WorkspaceKey,
    work: f64,
}

#[derive(Default)]
struct SimEntry {
    fairness: Fairness,
    queue: VecDeque<Waiting>,
    /// Rates that the other entries have not received yet.
    on_the_way: WorkSums,
}

/// What the simulation counts: requests and served requests by workspace, from the beginning
/// of the burst.
type Counts = BTreeMap<WorkspaceKey, (u32, u32)>;

fn mono(ms: u64) -> Mono {
    Mono(1_000_000 + ms * 1_000)
}

/// Simulates entries that hold requests until the servers have room. `factor` is the load of
/// one workspace as a multiple of its usual one; `fair` selects the order.
fn simulate(seed: u64, factor: f64, fair: bool) -> Counts {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut entries: Vec<SimEntry> = (0..ENTRIES).map(|_| SimEntry::default()).collect();
    let mut counts = Counts::new();
    let mut room = 0.0;
    for ms in (0..DURATION_MS).step_by(STEP_MS as usize) {
        let now = mono(ms);
        for workspace in 0..WORKSPACES {
            let burst = workspace == LOUD && ms >= BURST_FROM_MS;
            let mut offered = 0.1 * WORK_PER_STEP * if burst { factor } else { 1.0 };
            while offered > 0.0 {
                let work = [4.0, 11.0, 54.0][rng.random_range(0..3)];
                if rng.random::<f64>() * work > offered {
                    break;
                }
                offered -= work;
                let entry = &mut entries[rng.random_range(0..ENTRIES)];
                entry.fairness.record_offered(workspace, work, now);
                entry.queue.push_back(Waiting {
                    at: ms,
                    workspace,
                    work,
                });
                if ms >= BURST_FROM_MS {
                    counts.entry(workspace).or_default().0 += 1;
                }
            }
        }
        if ms % REPORT_MS == 0 {
            exchange(&mut entries, now);
        }
        room = f64::min(room + WORK_PER_STEP, WORK_PER_STEP);
        while room > 0.0 && entries.iter().any(|entry| !entry.queue.is_empty()) {
            let entry = &mut entries[rng.random_range(0..ENTRIES)];
            let expired = |one: &Waiting| one.at + PATIENCE_MS <= ms;
            while entry.queue.front().is_some_and(expired) {
                entry.queue.pop_front();
            }
            let Some(next) = take_next(entry, fair) else {
                continue;
            };
            room -= next.work;
            entry
                .fairness
                .record_started(next.workspace, next.work, now);
            if ms >= BURST_FROM_MS {
                counts.entry(next.workspace).or_default().1 += 1;
            }
        }
    }
    counts
}

/// Delivers the rates that were sent a report interval ago, sends new ones and computes the
/// shares anew.
fn exchange(entries: &mut [SimEntry], now: Mono) {
    for at in 0..entries.len() {
        let name = Name::from(format!("entry-{at}").as_str());
        let sums = std::mem::take(&mut entries[at].on_the_way);
        for (other, entry) in entries.iter_mut().enumerate() {
            if other != at {
                entry.fairness.merge(&name, sums.clone(), now);
            }
        }
        entries[at].on_the_way = entries[at].fairness.own_sums(64, now);
    }
    let waiting = |entry: &SimEntry| entry.queue.iter().map(|one| one.work).sum::<f64>();
    let waiting: f64 = entries.iter().map(waiting).sum();
    let level = (waiting / WORK_PER_STEP - 5.0).max(0.0);
    for entry in entries {
        entry.fairness.refresh(level, |_| 1.0, now);
    }
}

/// Takes the request that goes next: by arrival, or by the excess of its workspace first.
fn take_next(entry: &mut SimEntry, fair: bool) -> Option<Waiting> {
    let mut best: Option<(f64, usize)> = None;
    for (at, one) in entry.queue.iter().enumerate() {
        let excess = if fair {
            entry.fairness.excess(one.workspace)
        } else {
            0.0
        };
        // The queue is in order of arrival, so the first of equals goes first.
        if best.is_none_or(|(least, _)| excess < least) {
            best = Some((excess, at));
        }
        if excess <= 0.0 {
            break;
        }
    }
    entry.queue.remove(best?.1)
}

/// Returns the share of requests that are served, of one workspace.
fn served(counts: &Counts, workspace: WorkspaceKey) -> f64 {
    let (requests, served) = counts[&workspace];
    f64::from(served) / f64::from(requests)
}

/// Returns the greatest share of its service that a workspace other than the loud one loses
/// to it.
fn worst_harm(seed: u64, fair: bool) -> f64 {
    let (usual, loud) = (simulate(seed, 1.0, fair), simulate(seed, 8.0, fair));
    let others = (0..WORKSPACES).filter(|workspace| *workspace != LOUD);
    let harm = others.map(|workspace| 1.0 - served(&loud, workspace) / served(&usual, workspace));
    harm.fold(0.0, f64::max)
}

/// Guards against a workspace that takes the service of others by sending more.
#[test]
fn others_lose_almost_nothing_to_a_workspace_that_sends_eight_times_its_usual_load() {
    for seed in 0..20 {
        let harm = worst_harm(seed, true);

        assert!(harm <= 0.02, "seed {seed}: others lose {harm}");
    }
}

/// Guards against a simulation in which the loud workspace would do no harm anyway.
#[test]
fn the_check_detects_an_order_without_shares() {
    for seed in 0..3 {
        let harm = worst_harm(seed, false);

        assert!(harm > 0.1, "seed {seed}: others lose {harm}");
    }
}

/// Guards against a loud workspace that gets less than what the others leave.
#[test]
fn loud_workspace_gets_what_the_others_do_not_use() {
    for seed in 0..5 {
        let (fair, plain) = (simulate(seed, 8.0, true), simulate(seed, 8.0, false));

        let all = |counts: &Counts| counts.values().map(|(_, served)| *served).sum::<u32>();
        let (fair, plain) = (f64::from(all(&fair)), f64::from(all(&plain)));
        assert!(fair > 0.97 * plain, "seed {seed}: {fair} of {plain}");
    }
}

/// Builds an account with one record of offered and started work for each workspace.
fn account(rates: &[(WorkspaceKey, f64, f64)]) -> Fairness {
    let mut fairness = Fairness::default();
    for (workspace, offered, started) in rates {
        fairness.record_offered(*workspace, *offered, Mono(0));
        fairness.record_started(*workspace, *started, Mono(0));
    }
    fairness
}

fn over(fairness: &Fairness) -> Vec<WorkspaceKey> {
    (0..10).filter(|key| fairness.excess(*key) > 0.0).collect()
}

/// Guards against an order that changes while all get what they ask for.
#[test]
fn nothing_yields_while_there_is_room() {
    let mut fairness = account(&[(1, 8_000.0, 8_000.0), (2, 10.0, 10.0)]);
    fairness.refresh(1.0, |_| 1.0, Mono(0));
    assert!(over(&fairness).is_empty());

    let mut fairness = account(&[(1, 8_000.0, 1_000.0), (2, 10.0, 10.0)]);
    fairness.refresh(0.0, |_| 1.0, Mono(0));
    assert!(over(&fairness).is_empty());
}

/// Guards against equal shares for those that do not use theirs.
#[test]
fn unused_shares_go_to_others() {
    // 1,000 of 2,000 are started. Two use 100 together; 450 are left for each of the others.
    let rates = [(1, 50.0, 50.0), (2, 50.0, 50.0), (3, 440.0, 440.0)];
    let mut fairness = account(&[&rates[..], &[(4, 1_460.0, 460.0)]].concat());

    fairness.refresh(1.0, |_| 1.0, Mono(0));

    assert_eq!(over(&fairness), [4]);
}

/// Guards against weights that are ignored, or that are no numbers.
#[test]
fn share_grows_with_the_weight() {
    let mut fairness = account(&[(1, 600.0, 300.0), (2, 600.0, 600.0)]);

    fairness.refresh(1.0, |key| if key == 2 { 3.0 } else { 1.0 }, Mono(0));
    assert_eq!(over(&fairness), [1]);

    fairness.refresh(1.0, |_| f64::NAN, Mono(0));
    assert_eq!(over(&fairness), [1, 2]);
    assert!(fairness.excess(1) < fairness.excess(2));
}

/// Guards against rates of an entry that was stopped, and against those of messages that are
/// counted twice.
#[test]
fn rates_of_other_entries_are_replaced_and_expire() {
    let mut fairness = account(&[(1, 100.0, 100.0), (2, 200.0, 100.0)]);
    let other = Name::from("entry-2");
    fairness.merge(&other, vec![(2, 1, 1), (1, 5_000, 1)], Mono(0));
    fairness.refresh(1.0, |_| 1.0, Mono(0));
    assert_eq!(over(&fairness), [1, 2]);

    fairness.merge(&other, vec![(2, 1, 1)], Mono(0));
    fairness.refresh(1.0, |_| 1.0, Mono(0));
    assert_eq!(over(&fairness), [2]);

    let mut fairness = account(&[(1, 100.0, 100.0)]);
    fairness.merge(&other, vec![(1, 5_000, 1)], Mono(0));
    fairness.refresh(1.0, |_| 1.0, Mono(1_000_000));
    assert!(over(&fairness).is_empty());
}

/// Guards against messages that grow with the number of workspaces.
#[test]
fn own_sums_are_the_largest_ones() {
    let fairness = account(&[
        (1, 2.0, 2.0),
        (2, 600.0, 300.0),
        (3, 40.0, 40.0),
        (4, 0.1, 0.1),
    ]);

    assert_eq!(fairness.own_sums(2, Mono(0)), [(2, 300, 150), (3, 20, 20)]);
    assert_eq!(fairness.own_sums(9, Mono(0)).len(), 3);
    assert!(fairness.own_sums(9, Mono(60_000_000)).is_empty());
}

/// Guards against keys that differ between processes, and against figures that are no numbers.
#[test]
fn keys_are_stable_and_unusable_work_is_ignored() {
    assert_eq!(key(Some("studio")), key(Some("studio")));
    assert_ne!(key(Some("studio")), key(Some("other")));
    assert_eq!(key(None), 0);

    let fairness = account(&[(1, f64::NAN, f64::INFINITY), (2, -5.0, -5.0)]);
    assert!(fairness.own_sums(9, Mono(0)).is_empty());
}

proptest! {
    /// Guards against a workspace that yields though it offers less than an equal share, and
    /// against shares from which nobody has anything.
    #[test]
    fn workspace_within_an_equal_share_never_yields(
        rates in proptest::collection::vec((1.0..5_000.0_f64, 0.0..1.0_f64), 1..10),
    ) {
        let rates: Vec<(WorkspaceKey, f64, f64)> = (0..).zip(&rates)
            .map(|(key, (offered, part))| (key, *offered, offered * part))
            .collect();
        let mut fairness = account(&rates);
        fairness.refresh(1.0, |_| 1.0, Mono(0));

        let started: f64 = rates.iter().map(|(_, _, started)| started).sum();
        let equal = started / rates.len() as f64;
        for (key, offered, _) in &rates {
            if *offered < equal * 0.999 {
                prop_assert!(fairness.excess(*key) <= 0.0);
            }
        }
        // Who offers the most is over its share if anybody is.
        let most = rates.iter().max_by(|a, b| a.1.total_cmp(&b.1)).unwrap();
        prop_assert!(over(&fairness).is_empty() || fairness.excess(most.0) > 0.0);
    }
}
