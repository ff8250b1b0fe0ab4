//! Simulates content that ends backend servers, and what entries and control do about it.
//!
//! Thirty entries send requests to twenty backend servers. A run of the culprit ends its
//! server 30 to 100 ms after it began, with all that runs there; the server is back after
//! 3 s. Entries tell each other evidence by datagrams, of which one in twenty is lost, and
//! control by polls. Beside it a server ends every minute for no request's sake.

use cardamomtally::{
    prelude::*,
    quarantine::{
        evidence::End,
        fingerprint::{CallerKey, Fingerprint, ServerKey},
        pool::{Admission, Pool, Run},
        report::Report,
        review::Review,
        verdict::Verdicts,
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

/// Number of entries.
const ENTRIES: usize = 30;
/// Number of backend servers.
const SERVERS: usize = 20;
/// Number of simulations of a culprit, each with its own seed.
const SEED_COUNT: u64 = 200;
/// Duration of most simulations with a culprit, in milliseconds.
const DURATION_MS: u64 = 40_000;
/// Number of simulations that last longer, to show what probes cost.
const LONG_SEED_COUNT: u64 = 10;
/// Duration of these, in milliseconds.
const LONG_DURATION_MS: u64 = 600_000;
/// Time from an end to the next start of a server, in milliseconds.
const RESTART_MS: u64 = 3_000;
/// Mean time between two sound requests, in milliseconds.
const SOUND_MS: f64 = 50.0;
/// Mean time between two requests with the culprit, in milliseconds.
const CULPRIT_MS: f64 = 350.0;
/// Time after which a client sends its request again, in milliseconds.
const REPEAT_MS: u64 = 400;
/// Time between two ends for no request's sake, in milliseconds.
const OWN_END_MS: u64 = 60_000;
/// Time between two polls of an entry, in milliseconds.
const POLL_MS: u64 = 350;
/// Time between two reviews of the leader, in milliseconds.
const REVIEW_MS: u64 = 200;
/// Time after which an entry tells news again, in milliseconds.
const RESEND_MS: u64 = 200;
/// Share of datagrams that are lost.
const LOSS_SHARE: f64 = 0.05;
/// Time after the fifth end from which runs with the culprit count, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Time from the first end before which no probe is granted, in milliseconds.
const PROBE_MS: u64 = 25_000;
/// Greatest number of backend servers that one request is sent to.
const ATTEMPTS: u32 = 3;
/// Number of requests without a culprit.
const GOOD_REQUESTS: u64 = 1_000_000;

/// Part that ends servers, and the first part of all prompts.
const CULPRIT_PART: u64 = 666;
const FIRST_PART: u64 = 1;

/// What the simulation is about.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
    /// Different requests with one culprit part.
    Part,
    /// One request that its client sends again and again.
    Request,
    /// No culprit; a fifth of the servers is lost each minute.
    None,
}

/// Something that happens at a time.
enum Event {
    Sound,
    Culprit,
    Repeat(u32, Request),
    Finish(usize),
    End(usize, usize),
    OwnEnd,
    Start(usize),
    News(usize, Report),
    Tell(usize),
    Poll(usize),
    Reply(usize, Verdicts),
    Review,
}

/// An event in the order of time.
struct Timed(u64, u64, Event);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

#[derive(Clone)]
struct Request {
    entry: usize,
    run: Run,
    culprit: bool,
}

struct Active {
    request: Request,
    server: usize,
    began: u64,
    attempt: u32,
    over: bool,
}

/// What one simulation shows.
#[derive(Default)]
struct Outcome {
    /// Times of the ends under the culprit.
    ends: Vec<u64>,
    late: u32,
    sound: u64,
    refused: u64,
    verdicts: usize,
    /// Time from the third end to the verdict at the last entry.
    spread: Option<u64>,
}

struct Simulation {
    kind: Kind,
    rng: SmallRng,
    events: BinaryHeap<Timed>,
    count: u64,
    now: u64,
    pools: Vec<Pool>,
    review: Review,
    verdicts: Verdicts,
    up: Vec<bool>,
    starts: Vec<u64>,
    active: Vec<Active>,
    running: Vec<Vec<usize>>,
    knows: Vec<bool>,
    outcome: Outcome,
}

fn mono(ms: u64) -> Mono {
    Mono(100_000_000 + ms * 1_000)
}

impl Simulation {
    fn new(kind: Kind, seed: u64) -> Self {
        let mut all = Self {
            kind,
            rng: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            count: 0,
            now: 0,
            pools: (0..ENTRIES).map(|_| Pool::default()).collect(),
            review: Review::default(),
            verdicts: Verdicts::default(),
            up: vec![true; SERVERS],
            starts: vec![0; SERVERS],
            active: Vec::new(),
            running: vec![Vec::new(); SERVERS],
            knows: vec![false; ENTRIES],
            outcome: Outcome::default(),
        };
        all.schedule(0, Event::Sound);
        if kind != Kind::None {
            all.schedule(5_000, Event::Culprit);
        }
        all.schedule(30_000, Event::OwnEnd);
        all.schedule(REVIEW_MS, Event::Review);
        for entry in 0..ENTRIES {
            let phase = all.rng.random_range(0..POLL_MS);
            all.schedule(phase, Event::Poll(entry));
            all.schedule(phase, Event::Tell(entry));
        }
        all
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.count += 1;
        self.events.push(Timed(self.now + delay, self.count, event));
    }

    fn pause(&mut self, mean: f64) -> u64 {
        (-mean * (1.0 - self.rng.random::<f64>()).ln()) as u64
    }

    /// Runs until a time or a number of sound requests.
    fn run(mut self, duration: u64, requests: u64) -> Outcome {
        while let Some(Timed(at, _, event)) = self.events.pop() {
            if at > duration || self.outcome.sound >= requests {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.outcome.verdicts += self.verdicts.in_force.len();
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Sound => self.sound(),
            Event::Culprit => self.culprit(),
            Event::Repeat(attempt, request) => self.send(request, attempt),
            Event::Finish(id) => self.finish(id),
            Event::End(server, by) => {
                if !self.active[by].over {
                    self.end(server);
                }
            }
            Event::OwnEnd => self.own_ends(),
            Event::Start(server) => {
                self.up[server] = true;
                self.starts[server] += 1;
            }
            Event::News(entry, report) => {
                self.pools[entry].merge(&report, mono(self.now));
                self.note_verdicts(entry);
            }
            Event::Tell(entry) => {
                self.tell(entry);
                self.schedule(RESEND_MS, Event::Tell(entry));
            }
            Event::Poll(entry) => self.poll(entry),
            Event::Reply(entry, verdicts) => {
                self.pools[entry].apply(&verdicts, mono(self.now));
                self.note_verdicts(entry);
            }
            Event::Review => self.review(),
        }
    }

    fn sound(&mut self) {
        let caller = CallerKey(self.rng.random_range(1..4));
        let body: u64 = self.rng.random();
        let middle = 10 + self.rng.random_range(0..40_u64);
        let request = self.request(caller, body, &[FIRST_PART, middle], false);
        self.outcome.sound += 1;
        self.send(request, 1);
        let pause = self.pause(SOUND_MS);
        self.schedule(pause, Event::Sound);
    }

    fn culprit(&mut self) {
        let caller = CallerKey(self.rng.random_range(1..4));
        let request = if self.kind == Kind::Part {
            let body: u64 = self.rng.random();
            self.request(caller, body, &[FIRST_PART, CULPRIT_PART], true)
        } else {
            self.request(CallerKey(1), 7, &[], true)
        };
        self.send(request, 1);
        // A client sends its request again only after an answer.
        let pause = match self.kind {
            Kind::Request => REPEAT_MS,
            Kind::Part | Kind::None => self.pause(CULPRIT_MS),
        };
        self.schedule(pause, Event::Culprit);
    }

    fn request(&mut self, caller: CallerKey, body: u64, parts: &[u64], culprit: bool) -> Request {
        let run = Run {
            caller,
            whole: Fingerprint::of_request("POST", "/", caller, &body.to_le_bytes()),
            parts: parts.iter().map(|id| Fingerprint::of_part(*id)).collect(),
        };
        Request {
            entry: self.rng.random_range(0..ENTRIES),
            run,
            culprit,
        }
    }

    fn send(&mut self, request: Request, attempt: u32) {
        let (now, pool) = (mono(self.now), &mut self.pools[request.entry]);
        let name = Name::from(format!("entry-{}", request.entry));
        let admission = pool.admit(&request.run, &name, self.now, now);
        let up: Vec<usize> = (0..SERVERS).filter(|server| self.up[*server]).collect();
        let held = matches!(admission, Admission::Busy(_) | Admission::Quarantined(_));
        if held {
            self.outcome.refused += u64::from(!request.culprit);
        }
        if held || up.is_empty() {
            return;
        }
        let server = up[self.rng.random_range(0..up.len())];
        let id = self.active.len();
        if request.culprit {
            let fifth = self.outcome.ends.get(4);
            let late = fifth.is_some_and(|at| self.now >= at + CONTACT_MS);
            self.outcome.late += u32::from(late);
            let delay = self.rng.random_range(30..100);
            self.schedule(delay, Event::End(server, id));
        } else {
            let delay = self.rng.random_range(50..2_000);
            self.schedule(delay, Event::Finish(id));
        }
        self.running[server].push(id);
        self.active.push(Active {
            request,
            server,
            began: self.now,
            attempt,
            over: false,
        });
    }

    fn finish(&mut self, id: usize) {
        let active = &mut self.active[id];
        if std::mem::replace(&mut active.over, true) {
            return;
        }
        let (server, entry) = (active.server, active.request.entry);
        self.running[server].retain(|running| *running != id);
        let run = self.active[id].request.run.clone();
        let pool = &mut self.pools[entry];
        if pool.record_good(&run, mono(self.now)) {
            self.tell(entry);
        }
    }

    fn end(&mut self, server: usize) {
        self.up[server] = false;
        self.schedule(RESTART_MS, Event::Start(server));
        let broken = std::mem::take(&mut self.running[server]);
        let key = ServerKey(server as u64 * 1_000_000 + self.starts[server]);
        let culprit = broken.iter().any(|id| self.active[*id].request.culprit);
        if culprit {
            self.outcome.ends.push(self.now);
        }
        for id in broken {
            let active = &mut self.active[id];
            active.over = true;
            let (request, attempt) = (active.request.clone(), active.attempt);
            let end = End {
                server: key,
                caller: request.run.caller,
                request: 0,
                depth: 0,
                began: mono(active.began),
                at: mono(self.now),
            };
            let entry = request.entry;
            self.pools[entry].record_end(&request.run, end, mono(self.now));
            self.note_verdicts(entry);
            self.tell(entry);
            if attempt < ATTEMPTS && self.pools[entry].may_repeat(&request.run) {
                self.schedule(3, Event::Repeat(attempt + 1, request));
            }
        }
    }

    fn own_ends(&mut self) {
        let lost = if self.kind == Kind::None {
            SERVERS / 5
        } else {
            1
        };
        for _ in 0..lost {
            let server = self.rng.random_range(0..SERVERS);
            if self.up[server] {
                self.end(server);
            }
        }
        self.schedule(OWN_END_MS, Event::OwnEnd);
    }

    fn tell(&mut self, entry: usize) {
        let news = self.pools[entry].news(48, mono(self.now));
        if news.is_empty() {
            return;
        }
        for other in (0..ENTRIES).filter(|other| *other != entry) {
            if !self.rng.random_bool(LOSS_SHARE) {
                let delay = self.rng.random_range(1..15);
                self.schedule(delay, Event::News(other, news.clone()));
            }
        }
    }

    fn poll(&mut self, entry: usize) {
        let now = mono(self.now);
        self.pools[entry].sweep(now);
        let (report, hits) = (
            self.pools[entry].report(48, now),
            self.pools[entry].take_hits(),
        );
        let name = Name::from(format!("entry-{entry}"));
        self.review.record_poll(&name, &report, &hits, now);
        self.schedule(5, Event::Reply(entry, self.verdicts.clone()));
        self.schedule(POLL_MS, Event::Poll(entry));
    }

    fn review(&mut self) {
        let now = mono(self.now);
        for change in self.review.changes(&self.verdicts, self.now, now) {
            self.verdicts.apply(change);
        }
        self.schedule(REVIEW_MS, Event::Review);
    }

    /// Notes when the last entry has the first verdict.
    fn note_verdicts(&mut self, entry: usize) {
        if self.knows[entry] || self.pools[entry].verdicts().next().is_none() {
            return;
        }
        self.knows[entry] = true;
        let third = self.outcome.ends.get(2).copied();
        if self.outcome.spread.is_none() && self.knows.iter().all(|knows| *knows) {
            self.outcome.spread = Some(self.now - third.unwrap_or(self.now));
        }
    }
}

/// Figures on content that ends backend servers.
#[derive(Debug, Default)]
pub struct Figures {
    pub part_ends_max: f64,
    pub part_ends_p50: f64,
    pub part_reached_max: f64,
    pub part_verdict_p99_ms: f64,
    pub sound_refused_share: f64,
    pub false_verdicts: f64,
    pub request_ends_max: f64,
}

/// Returns the number of ends before the fleet refuses the content: those before the first
/// probe may be granted.
fn first_ends(outcome: &Outcome) -> usize {
    let first = outcome.ends.first().copied().unwrap_or(0);
    let soon = |at: &&u64| **at < first + PROBE_MS;
    outcome.ends.iter().filter(soon).count()
}

/// Runs all simulations.
pub fn measure() -> Figures {
    let run = |seed| {
        let long = seed < LONG_SEED_COUNT;
        let duration = if long { LONG_DURATION_MS } else { DURATION_MS };
        Simulation::new(Kind::Part, seed).run(duration, u64::MAX)
    };
    let parts: Vec<Outcome> = (0..SEED_COUNT).map(run).collect();
    let mut ends: Vec<usize> = parts.iter().map(first_ends).collect();
    ends.sort_unstable();
    let mut spreads: Vec<u64> = parts.iter().map(|o| o.spread.unwrap_or(u64::MAX)).collect();
    spreads.sort_unstable_by_key(|spread| Reverse(*spread));
    let shares = parts.iter().map(|o| o.refused as f64 / o.sound as f64);
    let requests = (0..SEED_COUNT).map(|seed| {
        let outcome = Simulation::new(Kind::Request, seed).run(25_000, u64::MAX);
        outcome.ends.len()
    });
    let good = Simulation::new(Kind::None, 5).run(u64::MAX, GOOD_REQUESTS);
    Figures {
        part_ends_max: ends.last().copied().unwrap_or(0) as f64,
        part_ends_p50: ends[ends.len() / 2] as f64,
        part_reached_max: parts.iter().map(|o| o.late).max().map_or(0.0, f64::from),
        part_verdict_p99_ms: spreads[spreads.len() / 100] as f64,
        sound_refused_share: shares.fold(0.0, f64::max),
        false_verdicts: good.verdicts as f64 + good.refused as f64,
        request_ends_max: requests.max().unwrap_or(0) as f64,
    }
}
