//! Simulates the time to first token of routing policies under uneven load.
//!
//! Twenty engines of different speed serve four entries. Other traffic arrives at
//! four of the engines in bursts. An engine runs a limited number of requests at once
//! and queues the rest. The first token comes after the wait in the queue and a
//! prefill that takes longer the more requests run.
//!
//! The policies differ in what an entry knows. The tracker uses probes and the
//! entry's own requests in flight. Least load uses reports of all engines that are
//! up to half a second old. Random uses nothing.

use cardamomtally::{
    core::config::{
        Availability, BackendSite, BackendState, BackendView, CentreState, Config, PartnerState,
        Stage, VersionId, VersionState,
    },
    net::run::{Load, Probe, Target},
    prelude::*,
    routing::tracker::{BackendTracker, Criteria, Outcome, RecordKey},
    settings::entry::RoutingSettings,
};
use hdrhistogram::Histogram;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::{cmp::Reverse, collections::BTreeMap, collections::BinaryHeap, collections::VecDeque};

/// Number of engines.
const ENGINES: usize = 20;
/// Number of entries. A job whose `entry` is this number belongs to the other
/// traffic, which is not measured.
const ENTRIES: usize = 4;
/// Number of requests that an engine runs at once.
const SLOTS_PER_ENGINE: usize = 8;
/// Number of requests of one simulation.
const REQUESTS: u32 = 200_000;
/// Mean time between two requests of all entries, in microseconds.
const MEAN_GAP_US: f64 = 13_000.0;
/// Mean time from the first to the last token on an engine of speed 1, in
/// microseconds.
const MEAN_SERVICE_US: f64 = 800_000.0;
/// Prefill time on an engine of speed 1, in microseconds, before the increase with
/// the number of running requests.
const PREFILL_US: f64 = 40_000.0;
/// Time between two load reports of all engines, in microseconds.
const REPORT_INTERVAL_US: u64 = 500_000;
/// Time between two bursts of the other traffic on an engine, in microseconds.
const BURST_INTERVAL_US: u64 = 8_000_000;

/// 99th percentile of the time to first token for each policy, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    pub tracker: f64,
    pub random: f64,
    pub least_load: f64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    Tracker,
    LeastLoad,
    Random,
}

#[derive(Debug, Default)]
struct Engine {
    /// Factor by which prefill and generation are faster than at speed 1.
    speed: f64,
    running: usize,
    queue: VecDeque<Job>,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    entry: usize,
    /// The engine in the entry's tracker, if the policy uses one.
    record: Option<RecordKey>,
    /// Time of arrival in microseconds.
    arrived: u64,
    /// Time from the first to the last token on an engine of speed 1.
    work_us: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum EventKind {
    Arrival,
    Report,
    Burst(usize),
    FirstToken { engine: usize, job: usize },
    End { engine: usize, job: usize },
}

/// A discrete-event simulation of one policy; times are in microseconds.
struct Simulation {
    rng: SmallRng,
    policy: Policy,
    engines: Vec<Engine>,
    trackers: Vec<BackendTracker>,
    /// Number of running and queued requests of each engine, as last reported.
    reports: Vec<usize>,
    jobs: Vec<Job>,
    /// Pending events by time; the sequence number orders those of the same time.
    events: BinaryHeap<Reverse<(u64, u64, EventKind)>>,
    sequence: u64,
    delays: Histogram<u64>,
}

fn target() -> Target {
    Target::Version(VersionId {
        partner: "p".into(),
        name: "m@1".into(),
    })
}

fn snapshot() -> Snapshot {
    let version = VersionState {
        cost: 1.0,
        stage: Stage::InService,
        share: 1.0,
    };
    let partner = PartnerState {
        versions: BTreeMap::from([("m@1".into(), version)]),
        ..PartnerState::default()
    };
    let centre = CentreState {
        region: "r".into(),
        views: BTreeMap::new(),
    };
    let backends = (0..ENGINES).map(|i| {
        let view = BackendView {
            state: Availability::In,
            versions: vec!["m@1".into()],
            services: Vec::new(),
        };
        let state = BackendState {
            owner: "p".into(),
            site: BackendSite {
                centre: "c".into(),
                agent: format!("e{i}").into(),
                fencing: true,
            },
            views: BTreeMap::from([("p".into(), view)]),
        };
        (Name::from(format!("e{i}")), state)
    });
    Snapshot::compile(&Config {
        index: Index(1),
        partners: BTreeMap::from([("p".into(), partner)]),
        centres: BTreeMap::from([("c".into(), centre)]),
        backends: backends.collect(),
        ..Config::default()
    })
}

impl Simulation {
    fn new(policy: Policy) -> Self {
        let snapshot = snapshot();
        let trackers = (0..ENTRIES).map(|i| {
            let mut tracker =
                BackendTracker::new(&format!("entry-{i}"), "c", RoutingSettings::default());
            tracker.apply_snapshot(&snapshot);
            tracker
        });
        let engine = |i: usize| Engine {
            speed: [1.0, 1.0, 0.6, 1.5][i % 4],
            ..Engine::default()
        };
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(11),
            policy,
            engines: (0..ENGINES).map(engine).collect(),
            trackers: trackers.collect(),
            reports: vec![0; ENGINES],
            jobs: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            delays: Histogram::new(3).expect("a histogram of three significant digits is valid"),
        };
        simulation.schedule(0, EventKind::Arrival);
        simulation.schedule(0, EventKind::Report);
        for engine in 0..ENGINES / 5 {
            simulation.schedule(
                BURST_INTERVAL_US * (engine as u64 + 1) / 2,
                EventKind::Burst(engine),
            );
        }
        simulation
    }

    fn schedule(&mut self, time: u64, what: EventKind) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, what)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn run(mut self) -> f64 {
        let mut left = REQUESTS;
        while let Some(Reverse((now, _, what))) = self.events.pop() {
            match what {
                EventKind::Arrival => {
                    left -= 1;
                    if left == 0 {
                        break;
                    }
                    let gap = self.exponential(MEAN_GAP_US) as u64;
                    self.schedule(now + gap, EventKind::Arrival);
                    self.arrive(now);
                }
                EventKind::Report => {
                    self.reports = self
                        .engines
                        .iter()
                        .map(|e| e.running + e.queue.len())
                        .collect();
                    self.schedule(now + REPORT_INTERVAL_US, EventKind::Report);
                }
                EventKind::Burst(engine) => {
                    for _ in 0..SLOTS_PER_ENGINE {
                        self.send(now, engine, ENTRIES, None);
                    }
                    self.schedule(now + BURST_INTERVAL_US, EventKind::Burst(engine));
                }
                EventKind::FirstToken { job, .. } => self.first_token(now, job),
                EventKind::End { engine, job } => self.end(now, engine, job),
            }
        }
        self.delays.value_at_quantile(0.99) as f64 / 1_000.0
    }

    fn arrive(&mut self, now: u64) {
        let entry = self.rng.random_range(0..ENTRIES);
        let (engine, record) = match self.policy {
            Policy::Random => (self.rng.random_range(0..ENGINES), None),
            Policy::LeastLoad => (self.least_load(), None),
            Policy::Tracker => self.choose_by_tracker(now, entry),
        };
        self.send(now, engine, entry, record);
    }

    fn least_load(&mut self) -> usize {
        let least = self.reports.iter().min().copied().unwrap_or_default();
        let ties: Vec<usize> = (0..ENGINES).filter(|i| self.reports[*i] == least).collect();
        ties[self.rng.random_range(0..ties.len())]
    }

    fn choose_by_tracker(&mut self, now: u64, entry: usize) -> (usize, Option<RecordKey>) {
        let target = target();
        let rate = RoutingSettings::default().probe_rate;
        if self.rng.random_bool(rate) {
            let engine = self.trackers[entry]
                .probe_target(&target, &mut self.rng)
                .and_then(|agent| agent[1..].parse().ok())
                .unwrap_or_default();
            let probe = self.probe(engine);
            self.trackers[entry].record_probe(&probe, Mono(now));
        }
        let criteria = Criteria {
            target: &target,
            affinity: None,
            tried: &[],
            isolate: false,
        };
        let pick = self.trackers[entry]
            .choose(&criteria, Mono(now), &mut self.rng)
            .expect("some engine serves the version");
        self.trackers[entry].begin(pick.record);
        (
            pick.name[1..].parse().unwrap_or_default(),
            Some(pick.record),
        )
    }

    fn load(&self, engine: usize) -> Load {
        let state = &self.engines[engine];
        let prefill =
            PREFILL_US / state.speed * (1.0 + state.running as f64 / SLOTS_PER_ENGINE as f64);
        let wait =
            MEAN_SERVICE_US / state.speed / SLOTS_PER_ENGINE as f64 * state.queue.len() as f64;
        Load {
            running: state.running as u32,
            queued: state.queue.len() as u32,
            limit: SLOTS_PER_ENGINE as u32,
            delay_ms: ((prefill + wait) / 1_000.0) as u32,
            ..Load::default()
        }
    }

    fn probe(&self, engine: usize) -> Probe {
        Probe {
            backend: format!("e{engine}").into(),
            incarnation: Incarnation(1),
            load: self.load(engine),
            ready: true,
            prefixes: Vec::new(),
        }
    }

    fn send(&mut self, now: u64, engine: usize, entry: usize, record: Option<RecordKey>) {
        let work_us = self.exponential(MEAN_SERVICE_US);
        let job = Job {
            entry,
            record,
            arrived: now,
            work_us,
        };
        if self.engines[engine].running < SLOTS_PER_ENGINE {
            self.start(now, engine, job);
        } else {
            self.engines[engine].queue.push_back(job);
        }
    }

    fn start(&mut self, now: u64, engine: usize, job: Job) {
        let number = self.jobs.len();
        self.jobs.push(job);
        let state = &mut self.engines[engine];
        state.running += 1;
        let slowdown = 1.0 + state.running as f64 / SLOTS_PER_ENGINE as f64;
        let prefill = PREFILL_US / state.speed * slowdown;
        let end = now + (prefill + job.work_us / state.speed) as u64;
        let first = now + prefill as u64;
        let job = number;
        self.schedule(first, EventKind::FirstToken { engine, job });
        self.schedule(end, EventKind::End { engine, job });
    }

    fn first_token(&mut self, now: u64, job: usize) {
        let job = self.jobs[job];
        if job.entry == ENTRIES {
            return;
        }
        let delay = now - job.arrived;
        // An automatically resizing histogram rejects no value of this model.
        self.delays
            .record(delay)
            .expect("the histogram resizes itself");
        if let Some(record) = job.record {
            let took = Duration::from_micros(delay);
            self.trackers[job.entry].record_outcome(
                record,
                &target(),
                Outcome::Success(took),
                Mono(now),
            );
        }
    }

    fn end(&mut self, now: u64, engine: usize, job: usize) {
        self.engines[engine].running -= 1;
        if let Some(next) = self.engines[engine].queue.pop_front() {
            self.start(now, engine, next);
        }
        let job = self.jobs[job];
        if let Some(record) = job.record {
            self.trackers[job.entry].end(record);
            let load = self.load(engine);
            self.trackers[job.entry].record_load(record, load, None, Mono(now));
        }
    }
}

/// Runs one simulation for each policy, all with the same seed.
pub fn compare() -> Delays {
    Delays {
        tracker: Simulation::new(Policy::Tracker).run(),
        random: Simulation::new(Policy::Random).run(),
        least_load: Simulation::new(Policy::LeastLoad).run(),
    }
}
