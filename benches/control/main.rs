//! Measures control with real processes on loopback: the time to accept a ticket
//! and to bring it into force, the election of a new leader, the repair of a
//! member, and the cost of polls. Prints one JSON object as its last line; a
//! figure that was not measured is `null`.
//!
//! Byte figures are the bytes of the messages plus an estimate of all headers and
//! acknowledgements, see [`cardamomtally::net::nng::OVERHEAD_BYTES`].

mod group;
mod pollers;
mod relay;

use group::Group;
use pollers::Pollers;
use serde_json::{Map, Value, json};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Number of tickets whose time to acceptance is measured.
const TIMED_TICKETS: u64 = 400;

/// Number of tickets in the history that a member has to catch up on in a repair.
const HISTORY_TICKETS: u64 = 10_000;

/// Number of trials with a fault. Trials without one run twice as often.
const TRIAL_COUNT: usize = 5;

/// Number of pollers while the time to bring a ticket into force is measured.
const IN_FORCE_POLLERS: usize = 100;

/// Time over which traffic and processor time are measured.
const MEASURE_WINDOW: Duration = Duration::from_secs(15);

/// Pause before a ticket whose time into force is measured.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Number of members of the group in which the cost of polls is measured.
const LARGE_GROUP_SIZE: usize = 7;

/// Keys that the report always has. A figure is `null` if its part does not run.
/// A part may add further keys.
const FIGURE_KEYS: [&str; 13] = [
    "accept_p50_ms",
    "accept_p99_ms",
    "in_force_max_ms",
    "in_force_partition_max_ms",
    "new_leader_max_ms",
    "repair_max_ms",
    "poller_bytes_per_s",
    "poller_core_percent",
    "member_bytes_per_s_100",
    "member_bytes_per_s_300",
    "member_core_percent_300",
    "member_rss_mb",
    "follower_bytes_per_s_0",
];

/// Name and function of a part of the measurement.
type Part = (&'static str, fn(&mut Map<String, Value>));

/// The parts of the measurement. Those named on the command line run, or all if
/// none is named.
const PARTS: [Part; 3] = [
    ("tickets", measure_tickets),
    ("repair", measure_repair),
    ("cost", measure_cost),
];

fn main() {
    let keys = FIGURE_KEYS
        .iter()
        .map(|key| ((*key).to_owned(), Value::Null));
    let mut figures: Map<_, _> = keys.collect();
    let named: Vec<_> = std::env::args().collect();
    let is_named = |part: &Part| named.iter().any(|name| name == part.0);
    let all = !PARTS.iter().any(is_named);
    for part in PARTS.iter().filter(|part| all || is_named(part)) {
        part.1(&mut figures);
    }
    println!("{}", Value::Object(figures));
}

fn set_figure(figures: &mut Map<String, Value>, key: &str, value: f64) {
    let rounded = (value * 1_000.0).round() / 1_000.0;
    eprintln!("{key} {rounded}");
    figures.insert(key.to_owned(), json!(rounded));
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn measure_tickets(figures: &mut Map<String, Value>) {
    let mut group = Group::start(3);
    group.submit_next(0);
    let mut times: Vec<_> = (0..TIMED_TICKETS)
        .map(|i| group.submit_next(i as usize % 3))
        .collect();
    times.sort();
    let quantile_ms = |share: f64| ms(times[((times.len() - 1) as f64 * share) as usize]);
    set_figure(figures, "accept_p50_ms", quantile_ms(0.5));
    set_figure(figures, "accept_p99_ms", quantile_ms(0.99));
    let pollers = Pollers::start(IN_FORCE_POLLERS, &group.poll_addresses());
    pollers.wait_valid();
    let healthy = (0..TRIAL_COUNT * 2).map(|_| in_force(&mut group, &pollers, 0));
    let healthy = healthy.max().unwrap_or_default();
    set_figure(figures, "in_force_max_ms", ms(healthy));
    let partitioned = (0..TRIAL_COUNT).map(|i| partition(&mut group, &pollers, i % 2 == 0));
    let partitioned = partitioned.max().unwrap_or_default();
    set_figure(figures, "in_force_partition_max_ms", ms(partitioned));
    drop(pollers);
    let elected = (0..TRIAL_COUNT).map(|_| new_leader(&mut group));
    let elected = elected.max().unwrap_or_default();
    set_figure(figures, "new_leader_max_ms", ms(elected));
}

/// Submits a ticket and returns the time until every poller holds it or has no
/// valid lease. The pause before the ticket lets the polls that the previous ticket
/// triggered end, so that the pollers are at different points of their intervals.
fn in_force(group: &mut Group, pollers: &Pollers, member: usize) -> Duration {
    thread::sleep(SETTLE_TIME);
    group.submit_next(member);
    let accepted = Instant::now();
    let index = group.index();
    pollers.wait_for_index(index);
    accepted.elapsed()
}

/// Suspends a member, the leader or a follower, without closing its connections.
/// Submits a ticket meanwhile, and returns the time until it is in force.
fn partition(group: &mut Group, pollers: &Pollers, of_leader: bool) -> Duration {
    let leader = group.leader();
    let paused = if of_leader { leader } else { (leader + 1) % 3 };
    group.pause(paused);
    let took = in_force(group, pollers, (paused + 1) % 3);
    group.resume(paused);
    group.wait_caught_up(paused);
    pollers.wait_valid();
    took
}

/// Kills the leader and returns the time until another member accepts a ticket.
fn new_leader(group: &mut Group) -> Duration {
    let leader = group.leader();
    group.kill(leader);
    let killed = Instant::now();
    group.submit_next((leader + 1) % 3);
    let took = killed.elapsed();
    group.restart(leader);
    group.wait_caught_up(leader);
    took
}

fn measure_repair(figures: &mut Map<String, Value>) {
    let mut group = Group::start(3);
    for _ in 0..HISTORY_TICKETS {
        group.submit_next(0);
    }
    let mut worst = Duration::ZERO;
    for round in 0..TRIAL_COUNT {
        let wiped = 1 + round % 2;
        let old = group.wipe(wiped);
        let started = Instant::now();
        group.restart(wiped);
        group.wait_new_voter(wiped, old);
        worst = worst.max(started.elapsed());
    }
    set_figure(figures, "repair_max_ms", ms(worst));
    set_figure(figures, "member_rss_mb", group.rss_mb(0));
}

fn measure_cost(figures: &mut Map<String, Value>) {
    let mut group = Group::start(LARGE_GROUP_SIZE);
    group.submit_next(0);
    let leader = group.leader();
    let address = vec![group.poll_addresses()[leader].clone()];
    for count in [10, 100, 133, 300] {
        let pollers = Pollers::start(count, &address);
        pollers.wait_valid();
        // The first poll of each process also sends its identity. The pause
        // keeps these larger polls out of the measurement.
        thread::sleep(Duration::from_secs(3));
        let before = (group.bytes(leader), group.cpu_secs(leader));
        let own = (pollers.bytes(), group::own_cpu_secs());
        thread::sleep(MEASURE_WINDOW);
        let secs = MEASURE_WINDOW.as_secs_f64();
        let per_s = |after: u64, before: u64| (after - before) as f64 / secs;
        let bytes = per_s(group.bytes(leader), before.0);
        let percent = (group.cpu_secs(leader) - before.1) / secs * 100.0;
        set_figure(figures, &format!("member_bytes_per_s_{count}"), bytes);
        set_figure(figures, &format!("member_core_percent_{count}"), percent);
        if count == 300 {
            let share = per_s(pollers.bytes(), own.0) / 300.0;
            let cpu = (group::own_cpu_secs() - own.1) / secs / 300.0 * 100.0;
            set_figure(figures, "poller_bytes_per_s", share);
            set_figure(figures, "poller_core_percent", cpu);
        }
    }
    let follower = (leader + 1) % LARGE_GROUP_SIZE;
    let before = group.bytes(follower);
    thread::sleep(MEASURE_WINDOW);
    let idle = (group.bytes(follower) - before) as f64 / MEASURE_WINDOW.as_secs_f64();
    set_figure(figures, "follower_bytes_per_s_0", idle);
}
