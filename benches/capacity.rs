//! Measurement of capacity; prints one JSON object as its last line.
//!
//! Each slope is the least-squares line through figures taken at three sizes or
//! more on one small site, whose processes share this machine's cores. The error
//! is the slope's standard error over the slope. Bytes are those of the links
//! between processes and control, counted by the fault proxies on them.

mod fit {
    //! Least-squares lines.

    /// A slope and its relative standard error.
    pub fn slope(points: &[(f64, f64)]) -> Option<(f64, f64)> {
        let n = points.len() as f64;
        if points.len() < 3 {
            return None;
        }
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
        let miss = |p: &(f64, f64)| (p.1 - y - slope * (p.0 - x)).powi(2);
        let misses: f64 = points.iter().map(miss).sum();
        let error = (misses / (n - 2.0) / spread).sqrt();
        slope.is_finite().then_some((slope, error / slope.abs()))
    }
}

#[path = "load/mod.rs"]
#[expect(dead_code, reason = "a bench uses a part of the generator")]
mod load;
#[path = "../tests/testsuite/support/mod.rs"]
#[expect(
    dead_code,
    unused_imports,
    reason = "a bench uses a part of the fixtures"
)]
mod support;

use cardamomtally_standin::EngineOptions;
use load::{Generator, Load, Outcome, cpu_secs, rss_bytes};
use serde_json::{Value, json};
use std::{
    ops::Range,
    time::{Duration, Instant},
};
use support::{
    Site, Ticket,
    link::Kind,
    site::{PARTNER, site},
    small::{SMALL, WORKSPACE, engine_options},
};

/// The engine, the plain service and the entry of the site.
const ENGINE: &str = "gla-e1";
const SERVICE: &str = "gla-q1";
const ENTRY: &str = "entry-1";

/// Requests a second at which plain requests are measured.
const RATES: [f64; 4] = [50.0, 100.0, 200.0, 400.0];

/// Tokens of an answer at which streams are measured.
const TOKENS: [u32; 4] = [50, 100, 200, 400];

/// Requests a second while streams are measured.
const STREAM_RATE: f64 = 50.0;

/// Sessions begun in each step.
const SESSIONS: [f64; 4] = [500.0, 500.0, 1_000.0, 1_000.0];

/// Claims made in each step.
const CLAIMS: [f64; 4] = [500.0, 500.0, 1_000.0, 1_000.0];

/// Tickets submitted in each step.
const TICKETS: [u64; 3] = [4, 8, 12];

/// Time of rest in each step.
const RESTS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(8),
];

/// Time between the polls of an entry or agent in this site.
const POLL_SECS: f64 = 0.5;

/// How long each load lasts.
const TIME: Duration = Duration::from_secs(3);

const KIB: f64 = 1024.0;

/// One reading of a role.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    cpu_us: f64,
    rss: f64,
    bytes: f64,
}

/// The roles and what was read of them.
const ROLES: [&str; 3] = ["entry", "agent", "control"];

/// The slopes of each role; one that is not measured is null.
const KEYS: [&str; 7] = [
    "bytes_per_request",
    "core_us_per_request",
    "core_us_per_token",
    "rss_kb_per_session",
    "rss_bytes_per_claim",
    "bytes_per_ticket",
    "bytes_per_poll",
];

type Readings = [Reading; 3];

fn main() {
    let mut bench = Bench::start();
    for role in ROLES {
        for key in KEYS {
            bench.report[role][key] = Value::Null;
            bench.report[role][format!("{key}_err")] = Value::Null;
        }
    }
    bench.bytes_per_poll();
    bench.bytes_per_ticket();
    bench.requests();
    bench.tokens();
    bench.sessions();
    bench.claims();
    println!("{}", bench.report);
}

struct Bench {
    site: Site,
    generator: Generator,
    pids: [Vec<u32>; 3],
    report: Value,
}

impl Bench {
    fn start() -> Self {
        let options = EngineOptions {
            batch: 1_024,
            slow_at: 100_000,
            prefill: 100_000,
            burst: 16,
            ..engine_options(&[SMALL])
        };
        let admission = "[admission]\ncold_limit = 512\nwarm_limit = 512\ntarget = \"5s\"\n";
        let mut site = site()
            .engine(ENGINE, "glasgow", options)
            .service(SERVICE, "glasgow")
            .entry(ENTRY, "glasgow")
            .agent_settings(admission)
            .build();
        site.submit(&opening(&site));
        site.wait_in_force(PARTNER, 1);
        site.wait_served(ENTRY, WORKSPACE, SMALL);
        let members = site.members().to_vec();
        let pids = [
            vec![site.process(ENTRY).id()],
            vec![site.process(ENGINE).id()],
            members.iter().map(|name| site.process(name).id()).collect(),
        ];
        Self {
            site,
            generator: Generator::new(),
            pids,
            report: json!({}),
        }
    }

    fn read(&self) -> Readings {
        let members = self.site.members();
        let polls = |from: &str| {
            let links = members
                .iter()
                .map(|to| self.site.links.get(Kind::Poll, from, to));
            links.map(|link| sum(link.bytes())).sum::<f64>()
        };
        let peers = members.iter().flat_map(|from| {
            let others = members.iter().filter(move |to| *to != from);
            others.map(move |to| sum(self.site.links.get(Kind::Peer, from, to).bytes()))
        });
        let pollers = polls(ENTRY) + polls(ENGINE) + polls(SERVICE);
        let bytes = [polls(ENTRY), polls(ENGINE), pollers + peers.sum::<f64>()];
        let mut readings = Readings::default();
        for ((reading, pids), bytes) in readings.iter_mut().zip(&self.pids).zip(bytes) {
            *reading = Reading {
                cpu_us: pids.iter().map(|pid| cpu_secs(*pid) * 1e6).sum(),
                rss: pids.iter().map(|pid| rss_bytes(*pid)).sum(),
                bytes,
            };
        }
        readings
    }

    /// Adds the slope of a figure over sizes to the report of each named role.
    fn add(&mut self, key: &str, roles: Range<usize>, points: &[(f64, Readings)], figure: Figure) {
        for role in roles {
            let points: Vec<_> = points.iter().map(|(x, r)| (*x, figure(&r[role]))).collect();
            let slope = fit::slope(&points);
            self.report[ROLES[role]][key] = json!(slope.map(|(slope, _)| slope));
            self.report[ROLES[role]][format!("{key}_err")] = json!(slope.map(|(_, error)| error));
            eprintln!("{} {key}: {slope:?} through {points:?}", ROLES[role]);
        }
    }

    /// Does some work and returns by how much the readings grew.
    fn grown(&self, work: impl FnOnce(&Self) -> f64) -> (f64, Readings) {
        let before = self.read();
        let size = work(self);
        let mut after = self.read();
        for (after, before) in after.iter_mut().zip(before) {
            after.cpu_us -= before.cpu_us;
            after.bytes -= before.bytes;
        }
        (size, after)
    }

    fn bytes_per_poll(&mut self) {
        let rest = |time: Duration| {
            self.grown(|_bench| {
                std::thread::sleep(time);
                time.as_secs_f64() / POLL_SECS
            })
        };
        let points = RESTS.map(rest);
        self.add("bytes_per_poll", 0..3, &points, |r| r.bytes);
    }

    fn bytes_per_ticket(&mut self) {
        let mut number = 2;
        let mut points: Vec<(f64, Readings)> = Vec::new();
        for count in TICKETS {
            let first = number;
            number += count;
            let begin = Instant::now();
            points.push(self.grown(|bench| {
                // One by one, so that each is a change of its own to every poller.
                for number in first..first + count {
                    bench.site.submit_many(PARTNER, SMALL, number..number + 1);
                    bench.site.wait_in_force(PARTNER, number);
                }
                count as f64
            }));
            let polls = begin.elapsed().as_secs_f64() / POLL_SECS;
            let (_, readings) = points.last_mut().expect("it was just added");
            for (reading, role) in readings.iter_mut().zip(ROLES) {
                let idle = self.report[role]["bytes_per_poll"].as_f64();
                reading.bytes -= idle.unwrap_or(0.0) * polls;
            }
        }
        self.add("bytes_per_ticket", 0..3, &points, |r| r.bytes);
    }

    fn requests(&mut self) {
        let points = RATES.map(|rate| self.grown(|bench| done(&bench.chats(rate, 1, false, None))));
        self.add("core_us_per_request", 0..3, &points, |r| r.cpu_us);
        self.add("bytes_per_request", 0..3, &points, |r| r.bytes);
    }

    fn tokens(&mut self) {
        let points = TOKENS.map(|tokens| {
            self.grown(|bench| {
                done(&bench.chats(STREAM_RATE, tokens, true, None)) * f64::from(tokens)
            })
        });
        self.add("core_us_per_token", 0..2, &points, |r| r.cpu_us);
    }

    fn sessions(&mut self) {
        let points = self.steps(&SESSIONS, |bench, count| {
            let rate = count / TIME.as_secs_f64();
            done(&bench.chats(rate, 1, false, Some("x-session-id")))
        });
        self.add("rss_kb_per_session", 0..3, &points, |r| r.rss / KIB);
    }

    fn claims(&mut self) {
        let points = self.steps(&CLAIMS, |bench, count| {
            let load = Load {
                urls: vec![format!("http://{}/queue/jobs", bench.site.http(ENTRY))],
                key: format!("{WORKSPACE}-key"),
                body: "{\"order\":TAG}".to_owned(),
                rate: count / TIME.as_secs_f64(),
                time: TIME,
                keyed: Some("idempotency-key"),
            };
            done(&bench.generator.open(&load))
        });
        self.add("rss_bytes_per_claim", 2..3, &points, |r| r.rss);
    }

    /// Reads memory at growing totals.
    fn steps(&self, sizes: &[f64], work: impl Fn(&Self, f64) -> f64) -> Vec<(f64, Readings)> {
        let mut total = 0.0;
        let step = |count: &f64| {
            total += work(self, *count);
            (total, self.read())
        };
        sizes.iter().map(step).collect()
    }

    fn chats(&self, rate: f64, tokens: u32, stream: bool, keyed: Option<&'static str>) -> Outcome {
        let body = support::caller::chat_body(SMALL, "TAG tidy this", tokens, stream);
        self.generator.open(&Load {
            urls: vec![format!(
                "http://{}/v1/chat/completions",
                self.site.http(ENTRY)
            )],
            key: format!("{WORKSPACE}-key"),
            body: body.to_string(),
            rate,
            time: TIME,
            keyed,
        })
    }
}

/// Takes a figure out of a reading.
type Figure = fn(&Reading) -> f64;

fn sum((to, from): (u64, u64)) -> f64 {
    (to + from) as f64
}

fn done(outcome: &Outcome) -> f64 {
    if outcome.failed > 0 {
        eprintln!("{} requests failed", outcome.failed);
    }
    outcome.answered as f64
}

fn opening(site: &Site) -> Ticket {
    let agent = |name| site.http(name);
    Ticket::new(PARTNER, 1)
        .centre("glasgow", "in")
        .version(SMALL, 0.2, "in-service")
        .service("queue", "/queue")
        .workspace(WORKSPACE, &[SMALL], &["queue"])
        .backend(ENGINE, Some(("glasgow", &agent(ENGINE))), &[SMALL], &[])
        .backend(SERVICE, Some(("glasgow", &agent(SERVICE))), &[], &["queue"])
}
