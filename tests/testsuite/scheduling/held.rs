//! Tests of the queue of held requests, most of them by a simulation of entries that send to
//! servers which process prompts in order of arrival.

use super::order::{at, outlook, overload};
use cardamomtally::{
    prelude::*,
    scheduling::{
        held::{End, Group, HeldRequests, View, check_interval},
        level::Level,
        order::{Decision, Held, decide},
        outlook::Outlook,
        settings::SchedulingSettings,
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::collections::VecDeque;

const GROUP: Group = Group {
    service: 1,
    model: 1,
};

/// A route of the simulated service.
#[derive(Clone, Copy, Debug)]
struct Kind {
    target: u64,
    deadline: u64,
    priority: u8,
    work: f64,
}

const LONG: Kind = Kind {
    target: 4_000,
    deadline: 20_000,
    priority: 2,
    work: 300.0,
};
const SHORT: Kind = Kind {
    target: 1_000,
    deadline: 20_000,
    priority: 0,
    work: 20.0,
};

impl Kind {
    fn held(&self, now: u64) -> Held {
        let target = Duration::from_millis(self.target);
        let deadline = at(now + self.deadline);
        Held::new(at(now), deadline, target, Duration::ZERO, self.priority)
    }
}

/// The end of a simulated request.
#[derive(Clone, Copy, Debug, Default)]
struct Fate {
    /// When it was sent, or `None`.
    sent: Option<u64>,
    /// When its first event came.
    first: Option<f64>,
    rejected: bool,
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: u64,
    kind: Kind,
}

/// Entries that send to servers. Each server has its backlog in ms.
struct Simulation {
    servers: Vec<f64>,
    entries: Vec<HeldRequests<usize>>,
    levels: Vec<Level>,
    next_check: Vec<u64>,
    checked: Vec<u64>,
    arrivals: Vec<Arrival>,
    fates: Vec<Fate>,
    rng: SmallRng,
    /// Age in ms of what entries know of the others' work at the servers.
    age: usize,
    /// Work that the servers have got from each entry so far, the latest `age` ms.
    got: VecDeque<Vec<Vec<f64>>>,
    /// Settings of overload control; without any, all requests are sent at once.
    settings: Option<SchedulingSettings>,
    /// Most work that all entries together sent from their queues within 5 ms.
    most_released: f64,
}

impl Simulation {
    fn new(servers: usize, entries: usize, arrivals: &[Arrival]) -> Self {
        Self {
            servers: vec![0.0; servers],
            entries: (0..entries).map(|_| HeldRequests::default()).collect(),
            levels: vec![Level::default(); entries],
            next_check: vec![0; entries],
            checked: vec![0; entries],
            fates: vec![Fate::default(); arrivals.len()],
            arrivals: arrivals.to_vec(),
            rng: SmallRng::seed_from_u64(7),
            age: 0,
            got: VecDeque::from([vec![vec![0.0; servers]; entries]]),
            settings: Some(SchedulingSettings::default()),
            most_released: 0.0,
        }
    }

    /// Sends all requests in order of arrival.
    fn without_control(self) -> Self {
        Self {
            settings: None,
            ..self
        }
    }

    /// Lets entries know the others' work at the servers this much later.
    fn with_age(self, ms: usize) -> Self {
        Self { age: ms, ..self }
    }

    /// Returns the waits at the servers as an entry knows them: without what the others have
    /// sent lately.
    fn known_waits(&self, entry: usize) -> Vec<f64> {
        let (Some(old), Some(new)) = (self.got.front(), self.got.back()) else {
            return self.servers.clone();
        };
        let unknown = |server: usize| -> f64 {
            let others = (0..new.len()).filter(|other| *other != entry);
            others
                .map(|other| new[other][server] - old[other][server])
                .sum()
        };
        let waits = self.servers.iter().enumerate();
        waits
            .map(|(server, wait)| (wait - unknown(server)).max(0.0))
            .collect()
    }

    /// Sets [`SchedulingSettings::late_share`].
    fn with_late_share(self, late_share: f64) -> Self {
        let settings = SchedulingSettings {
            late_share,
            ..SchedulingSettings::default()
        };
        Self {
            settings: Some(settings),
            ..self
        }
    }

    fn outlook(&self, entry: usize, kind: Kind) -> Outlook {
        let waits = self.known_waits(entry);
        let best = waits.iter().copied().fold(f64::MAX, f64::min);
        let mean = waits.iter().sum::<f64>() / waits.len() as f64;
        Outlook {
            mean_wait: mean,
            ..outlook(best, kind.work)
        }
    }

    fn send(&mut self, entry: usize, request: usize, now: u64) {
        let kind = self.arrivals[request].kind;
        let waits = self.known_waits(entry);
        let least = waits.iter().copied().fold(f64::MAX, f64::min);
        // Placement spreads requests over servers whose waits differ by less than what other
        // entries may have sent in the meantime.
        let least = least + self.age as f64;
        let near = (0..waits.len()).filter(|server| waits[*server] <= least + 1.0);
        let near: Vec<usize> = near.collect();
        let server = near[self.rng.random_range(0..near.len())];
        self.servers[server] += kind.work;
        self.got.back_mut().unwrap()[entry][server] += kind.work;
        self.fates[request].sent = Some(now);
        self.fates[request].first = Some(now as f64 + self.servers[server] + 40.0);
    }

    fn arrive(&mut self, request: usize, now: u64) {
        let kind = self.arrivals[request].kind;
        let entry = self.rng.random_range(0..self.entries.len());
        let Some(settings) = self.settings else {
            self.send(entry, request, now);
            return;
        };
        let view = self.view(entry, kind, now);
        let held = kind.held(now);
        let decision = decide(&held, &view.outlook, &view.level, &settings, at(now));
        let queue = &mut self.entries[entry];
        if matches!(decision, Decision::Reject { .. }) {
            self.fates[request].rejected = true;
        } else if decision == Decision::Send
            && !queue.goes_after(&held, GROUP, &view.outlook, &view.level, &settings, at(now))
        {
            self.send(entry, request, now);
        } else {
            queue.push(held, GROUP, view.outlook, 1_000, request);
        }
    }

    fn view(&mut self, entry: usize, kind: Kind, now: u64) -> View {
        let outlook = self.outlook(entry, kind);
        let target = Duration::from_millis(SHORT.target);
        self.levels[entry].update(outlook.mean_wait, target, at(now));
        View {
            outlook,
            level: self.levels[entry],
            share: self.servers.len() as f64 / self.entries.len() as f64,
        }
    }

    fn check(&mut self, entry: usize, now: u64) -> f64 {
        let settings = self.settings.unwrap_or_default();
        let mut queue = std::mem::take(&mut self.entries[entry]);
        let passed = Duration::from_millis(now - self.checked[entry]);
        self.checked[entry] = now;
        let ended = queue.check(at(now), passed, &settings, |request| {
            Some(self.view(entry, self.arrivals[*request].kind, now))
        });
        self.entries[entry] = queue;
        let mut work = 0.0;
        for (request, end) in ended {
            if matches!(end, End::Room | End::Limit | End::NoServer) {
                work += self.arrivals[request].kind.work;
                self.send(entry, request, now);
            } else {
                self.fates[request].rejected = true;
            }
        }
        let wait = check_interval(self.rng.random()).as_millis() as u64;
        self.next_check[entry] = now + wait;
        work
    }

    /// Runs until all requests have ended, at most for a minute.
    fn run(mut self) -> Self {
        let mut next = 0;
        let mut released = [0.0; 5];
        for now in 0..60_000_u64 {
            for server in &mut self.servers {
                *server = (*server - 1.0).max(0.0);
            }
            let latest = self.got.back().cloned();
            self.got.extend(latest);
            while self.got.len() > self.age + 1 {
                self.got.pop_front();
            }
            while next < self.arrivals.len() && self.arrivals[next].at <= now {
                self.arrive(next, now);
                next += 1;
            }
            let slot = (now % 5) as usize;
            released[slot] = 0.0;
            for entry in 0..self.entries.len() {
                if now >= self.next_check[entry] && !self.entries[entry].is_empty() {
                    released[slot] += self.check(entry, now);
                }
            }
            self.most_released = self.most_released.max(released.iter().sum());
            let held = self.entries.iter().any(|queue| !queue.is_empty());
            if next == self.arrivals.len() && !held {
                break;
            }
        }
        self
    }

    /// Returns the share of the requests of a kind whose first event came within its target.
    fn in_time(&self, kind: Kind) -> f64 {
        let (mut all, mut good) = (0, 0);
        for (arrival, fate) in self.arrivals.iter().zip(&self.fates) {
            if arrival.kind.target == kind.target {
                let due = (arrival.at + kind.target) as f64;
                all += 1;
                good += u32::from(fate.first.is_some_and(|first| first <= due));
            }
        }
        f64::from(good) / f64::from(all)
    }

    /// Returns the value of all answers: full within the target, `late_value` of that until
    /// the caller gives up, and none after that.
    fn worth(&self) -> f64 {
        let settings = SchedulingSettings::default();
        let worth = |(arrival, fate): (&Arrival, &Fate)| {
            let Arrival { at: since, kind } = *arrival;
            let Some(first) = fate.first else { return 0.0 };
            let weight = settings.priority_ratio.powi(-i32::from(kind.priority));
            let give_up = kind.held(since).deadline.since(at(0));
            if first <= (since + kind.target) as f64 {
                weight
            } else if first <= give_up.as_secs_f64() * 1e3 {
                weight * settings.late_value
            } else {
                0.0
            }
        };
        self.arrivals.iter().zip(&self.fates).map(worth).sum()
    }

    /// Returns the time from arrival to sending of the requests that were sent.
    fn delays(&self) -> impl Iterator<Item = (Kind, u64)> {
        let all = self.arrivals.iter().zip(&self.fates);
        all.filter_map(|(arrival, fate)| Some((arrival.kind, fate.sent? - arrival.at)))
    }
}

/// Short requests at a steady rate, and a burst of long ones within half a second.
fn burst(shorts_per_s: u64, longs: u64, seconds: u64) -> Vec<Arrival> {
    let shorts = (0..shorts_per_s * seconds).map(|n| Arrival {
        at: n * 1_000 / shorts_per_s,
        kind: SHORT,
    });
    let longs = (0..longs).map(|n| Arrival {
        at: 1_000 + n * 500 / longs,
        kind: LONG,
    });
    let mut all: Vec<Arrival> = shorts.chain(longs).collect();
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// 60 long prompts within half a second at 8 servers, 18 s of work: guards against short
/// requests that miss their target behind them, as they do in order of arrival.
#[test]
fn short_requests_pass_a_burst_of_long_ones() {
    let arrivals = burst(100, 60, 6);
    let ordered = Simulation::new(8, 4, &arrivals).without_control().run();
    let held = Simulation::new(8, 4, &arrivals).run();

    let (before, after) = (ordered.in_time(SHORT), held.in_time(SHORT));
    assert!(
        after >= 0.99,
        "short in time: {before} before, {after} held"
    );
    assert!(before < 0.8, "the burst is no overload: {before}");
}

/// The same burst: guards against long requests that pay for the short ones with their own
/// target, although there is time for both.
#[test]
fn long_requests_still_begin_in_time_for_their_target() {
    let held = Simulation::new(8, 4, &burst(100, 60, 6)).run();

    let longs = held.in_time(LONG);
    assert!(longs >= 0.95, "long in time: {longs}");
}

/// The same burst seen by 29 entries, of which each sees the same free server: guards
/// against entries that all send to it at one moment.
#[test]
fn entries_together_release_little_work_at_a_moment() {
    let held = Simulation::new(8, 29, &burst(100, 60, 6)).run();

    // A long prompt alone is 300 ms. Without a limit per check, 1,800 ms were released.
    let most = held.most_released;
    assert!(most <= 4.0 * 300.0, "{most} ms of work within 5 ms");
    assert!(held.in_time(SHORT) >= 0.97, "{}", held.in_time(SHORT));
}

/// Usual load, at a third of the capacity: guards against requests that are held or rejected
/// while there is room.
#[test]
fn nothing_is_held_or_rejected_while_there_is_room() {
    let held = Simulation::new(8, 4, &burst(130, 2, 5)).run();

    assert!(held.fates.iter().all(|fate| !fate.rejected));
    let delayed = held.delays().filter(|(_, delay)| *delay > 0).count();
    assert_eq!(delayed, 0);
}

/// Twice the capacity for 6 s: guards against late requests that are never sent, and against
/// requests that are held past the limit of their time.
#[test]
fn late_requests_are_not_starved() {
    let held = Simulation::new(2, 2, &burst(200, 0, 6)).run();

    let limit = SHORT.held(0).hold_limit(&SchedulingSettings::default());
    let limit = limit.since(at(0)).as_millis() as u64;
    let most = held.delays().map(|(_, delay)| delay).max();
    assert!(most.is_some_and(|most| most <= limit + 25), "{most:?}");
    let open = |fate: &&Fate| fate.sent.is_none() && !fate.rejected;
    assert_eq!(held.fates.iter().filter(open).count(), 0);
}

/// Short requests at six tenths of the capacity, and for two seconds at twice the capacity.
fn surge() -> Vec<Arrival> {
    let extra = (0..560).map(|n| Arrival {
        at: 1_000 + n * 2_000 / 560,
        kind: SHORT,
    });
    let mut all = burst(120, 4, 8);
    all.extend(extra);
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// Overload by long requests for seconds, and by short ones for two: guards against an order
/// that is worth less than the order of arrival, and against less urgent requests that are
/// served more often in time than more urgent ones.
#[test]
fn holding_is_worth_more_than_the_order_of_arrival() {
    let mixed = burst(200, 60, 8);
    for (servers, entries, arrivals) in [(4, 29, mixed), (4, 4, surge())] {
        let simulation = || Simulation::new(servers, entries, &arrivals);
        let ordered = simulation().without_control().run();
        let held = simulation().run();
        let strict = simulation().with_late_share(0.1).run();

        let worths = (ordered.worth(), held.worth(), strict.worth());
        assert!(worths.1 > worths.0 * 1.1, "{worths:?}");
        assert!(worths.2 > worths.1 * 1.1, "{worths:?}");
        let inverted = held.in_time(LONG) - held.in_time(SHORT);
        assert!(entries == 4 || inverted <= 0.0, "{inverted}");
    }
}

/// 29 entries that know the others' work 50 ms late: guards against an order that only works
/// with perfect knowledge. With 200 ms it gains next to nothing.
#[test]
fn holding_helps_with_knowledge_that_is_50_ms_old() {
    let (long_burst, mixed) = (burst(100, 60, 6), burst(200, 60, 8));
    let burst = Simulation::new(8, 29, &long_burst).with_age(50).run();
    let mixed = || Simulation::new(4, 29, &mixed).with_age(50);
    let (ordered, held) = (mixed().without_control().run(), mixed().run());

    let in_time = (burst.in_time(SHORT), burst.in_time(LONG));
    assert!(in_time.0 >= 0.97 && in_time.1 >= 0.85, "{in_time:?}");
    let worths = (ordered.worth(), held.worth());
    assert!(worths.1 > worths.0 * 1.5, "{worths:?}");
}

fn push(queue: &mut HeldRequests<&'static str>, kind: Kind, name: &'static str) -> u64 {
    let held = kind.held(0);
    queue.push(held, GROUP, outlook(500.0, kind.work), 1_000, name)
}

fn view(wait: f64, kind: Kind, share: f64) -> View {
    View {
        outlook: outlook(wait, kind.work),
        level: overload(1_000.0),
        share,
    }
}

/// More requests than the bound: guards against memory that grows, and against a long
/// request that takes the place of several short ones.
#[test]
fn least_value_per_work_is_rejected_above_the_bounds() {
    let by_count = SchedulingSettings {
        max_held: 2,
        ..SchedulingSettings::default()
    };
    let by_bytes = SchedulingSettings {
        max_held_bytes: 2_500,
        ..SchedulingSettings::default()
    };
    for settings in [by_count, by_bytes] {
        let mut queue = HeldRequests::default();
        push(&mut queue, SHORT, "first");
        push(&mut queue, LONG, "long");
        push(&mut queue, SHORT, "second");
        let shed = queue.shed(&settings, at(1));
        push(&mut queue, SHORT, "third");
        let latest = queue.shed(&settings, at(1));

        assert!(matches!(shed[..], [("long", End::Full(_))]), "{shed:?}");
        assert!(
            matches!(latest[..], [("third", End::Full(_))]),
            "{latest:?}"
        );
        assert_eq!(queue.len(), 2);
    }
}

/// Callers leave: guards against requests that are sent for nobody, and against memory that
/// stays counted.
#[test]
fn removed_request_is_not_sent_and_takes_no_memory() {
    let settings = SchedulingSettings {
        max_held_bytes: 1_500,
        ..SchedulingSettings::default()
    };
    let mut queue = HeldRequests::default();
    let gone = push(&mut queue, SHORT, "gone");

    assert_eq!(queue.remove(gone), Some("gone"));
    assert_eq!(queue.remove(gone), None);
    push(&mut queue, SHORT, "stays");

    assert!(queue.shed(&settings, at(1)).is_empty());
    let passed = Duration::from_millis(15);
    let ended = queue.check(at(20), passed, &settings, |_| Some(view(0.0, SHORT, 1.0)));
    assert_eq!(ended, [("stays", End::Room)]);
}

/// A planned stop: guards against requests that stay held until the process ends.
#[test]
fn all_requests_are_returned_at_a_stop() {
    let mut queue = HeldRequests::default();
    push(&mut queue, SHORT, "a");
    push(&mut queue, LONG, "b");

    assert_eq!(queue.drain().len(), 2);
    assert!(queue.is_empty());
}

/// Many held requests at once: guards against a check that sends more than the entry's share,
/// and against one that never sends a request with more work than that.
#[test]
fn check_sends_little_at_a_time_but_never_nothing() {
    let settings = SchedulingSettings::default();
    let mut queue = HeldRequests::default();
    for _ in 0..5 {
        push(&mut queue, LONG, "long");
    }
    let mut sent = Vec::new();
    for check in 0..20 {
        let now = at(3_000 + check * 15);
        let passed = Duration::from_millis(15);
        let ended = queue.check(now, passed, &settings, |_| Some(view(0.0, LONG, 1.0)));
        sent.push(ended.len());
    }

    assert!(sent.iter().all(|count| *count <= 1), "{sent:?}");
    assert!((3..=5).contains(&sent.iter().sum::<usize>()), "{sent:?}");
}

/// No server may be chosen: guards against callers that wait for nothing instead of the
/// answer that says so.
#[test]
fn request_without_a_server_is_sent_on() {
    let mut queue = HeldRequests::default();
    push(&mut queue, SHORT, "a");

    let passed = Duration::from_millis(15);
    let ended = queue.check(at(20), passed, &SchedulingSettings::default(), |_| None);

    assert_eq!(ended, [("a", End::NoServer)]);
}

/// 200 held requests: guards against a check that asks for the outlook of each, which looks
/// at all servers.
#[test]
fn check_asks_for_few_outlooks() {
    let settings = SchedulingSettings::default();
    let mut queue = HeldRequests::default();
    for _ in 0..200 {
        push(&mut queue, SHORT, "a");
    }
    let mut asked = 0;
    let passed = Duration::from_millis(15);
    let ended = queue.check(at(100), passed, &settings, |_| {
        asked += 1;
        Some(view(500.0, SHORT, 1.0))
    });

    assert!(ended.is_empty(), "{ended:?}");
    assert!(asked <= 8, "{asked}");
}

/// Two services, of which one is overloaded: guards against requests that wait for the other
/// service's servers.
#[test]
fn services_do_not_wait_for_each_other() {
    let settings = SchedulingSettings::default();
    let mut queue = HeldRequests::default();
    let other = Group {
        service: 2,
        ..GROUP
    };
    for _ in 0..20 {
        push(&mut queue, SHORT, "full");
    }
    let held = SHORT.held(50);
    queue.push(held, other, outlook(500.0, SHORT.work), 1_000, "free");

    let passed = Duration::from_millis(15);
    let ended = queue.check(at(100), passed, &settings, |name| {
        let wait = if *name == "free" { 10.0 } else { 500.0 };
        Some(view(wait, SHORT, 1.0))
    });

    assert_eq!(ended, [("free", End::Room)]);
}
