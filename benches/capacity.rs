//! Measures what each request, token, session, claim, ticket and poll costs an
//! entry, an agent and the control members. Prints one JSON object as its last
//! line.
//!
//! A cost is the slope of the least-squares line through measurements at three or
//! more sizes, on one small site whose processes share the cores of this machine.
//! The error of a slope is its standard error divided by the slope. Bytes are
//! those on the links to and between the control members, as counted by the fault
//! proxies on these links.

mod fit {
    //! Least-squares fit of a line.

    /// Returns the slope of the line through the points and its relative standard
    /// error. Returns none for fewer than three points, or if the slope is not a
    /// finite number.
    pub fn slope(points: &[(f64, f64)]) -> Option<(f64, f64)> {
        let n = points.len() as f64;
        if points.len() < 3 {
            return None;
        }
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
        let squared_error = |p: &(f64, f64)| (p.1 - y - slope * (p.0 - x)).powi(2);
        let error_sum: f64 = points.iter().map(squared_error).sum();
        let error = (error_sum / (n - 2.0) / spread).sqrt();
        slope.is_finite().then_some((slope, error / slope.abs()))
    }
}

#[path = "load/mod.rs"]
#[expect(dead_code, reason = "a bench uses only some items of the generator")]
mod load;
#[path = "../tests/testsuite/support/mod.rs"]
#[expect(
    dead_code,
    unused_imports,
    reason = "a bench uses only some items of the test fixtures"
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
    link::LinkKind,
    site::{PARTNER, site},
    small::{SMALL, WORKSPACE, engine_options},
};

/// Name of the site's engine.
const ENGINE: &str = "gla-e1";

/// Name of the site's plain service.
const SERVICE: &str = "gla-q1";

/// Name of the site's entry.
const ENTRY: &str = "entry-1";

/// Rates of requests without streaming, in requests per second.
const PLAIN_RATES_RPS: [f64; 4] = [50.0, 100.0, 200.0, 400.0];

/// Numbers of tokens of a streamed answer.
const STREAM_TOKENS: [u32; 4] = [50, 100, 200, 400];

/// Rate of streamed requests, in requests per second.
const STREAM_RATE_RPS: f64 = 50.0;

/// Number of sessions begun in each step; memory is read after each step.
const SESSIONS_PER_STEP: [f64; 4] = [500.0, 500.0, 1_000.0, 1_000.0];

/// Number of claims made in each step; memory is read after each step.
const CLAIMS_PER_STEP: [f64; 4] = [500.0, 500.0, 1_000.0, 1_000.0];

/// Number of tickets submitted in each step.
const TICKETS_PER_STEP: [u64; 3] = [4, 8, 12];

/// Duration of each step without load, in which only polls use the links.
const IDLE_TIMES: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(8),
];

/// Interval at which an entry or an agent of this site polls control, in seconds.
const POLL_SECS: f64 = 0.5;

/// Duration of each load.
const LOAD_TIME: Duration = Duration::from_secs(3);

const KIB: f64 = 1024.0;

/// Resource use of all processes of a role.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    /// Processor time in microseconds.
    cpu_us: f64,
    /// Resident memory in bytes.
    rss: f64,
    /// Bytes on the links to control and, for control, between its members.
    bytes: f64,
}

/// The measured roles, in the order of [`RoleUsage`].
const ROLES: [&str; 3] = ["entry", "agent", "control"];

/// Keys of each role's slopes in the report. A slope that is not measured for a
/// role stays null.
const SLOPE_KEYS: [&str; 7] = [
    "bytes_per_request",
    "core_us_per_request",
    "core_us_per_token",
    "rss_kb_per_session",
    "rss_bytes_per_claim",
    "bytes_per_ticket",
    "bytes_per_poll",
];

/// Resource use of each role, in the order of [`ROLES`].
type RoleUsage = [Usage; 3];

fn main() {
    let mut bench = Bench::start();
    for role in ROLES {
        for key in SLOPE_KEYS {
            bench.report[role][key] = Value::Null;
            bench.report[role][format!("{key}_err")] = Value::Null;
        }
    }
    bench.measure_polls();
    bench.measure_tickets();
    bench.measure_requests();
    bench.measure_tokens();
    bench.measure_sessions();
    bench.measure_claims();
    println!("{}", bench.report);
}

struct Bench {
    site: Site,
    generator: Generator,
    /// Process ids of each role, in the order of [`ROLES`].
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
        site.submit(&first_ticket(&site));
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

    fn read_usage(&self) -> RoleUsage {
        let members = self.site.members();
        let polls = |from: &str| {
            let links = members
                .iter()
                .map(|to| self.site.links.get(LinkKind::Poll, from, to));
            links.map(|link| total(link.bytes())).sum::<f64>()
        };
        let peers = members.iter().flat_map(|from| {
            let others = members.iter().filter(move |to| *to != from);
            others.map(move |to| total(self.site.links.get(LinkKind::Peer, from, to).bytes()))
        });
        let pollers = polls(ENTRY) + polls(ENGINE) + polls(SERVICE);
        let bytes = [polls(ENTRY), polls(ENGINE), pollers + peers.sum::<f64>()];
        let mut readings = RoleUsage::default();
        for ((reading, pids), bytes) in readings.iter_mut().zip(&self.pids).zip(bytes) {
            *reading = Usage {
                cpu_us: pids.iter().map(|pid| cpu_secs(*pid) * 1e6).sum(),
                rss: pids.iter().map(|pid| rss_bytes(*pid)).sum(),
                bytes,
            };
        }
        readings
    }

    /// Fits the line of a figure over the sizes, for each role in the range, and
    /// writes its slope and error into the report.
    fn report_slope(
        &mut self,
        key: &str,
        roles: Range<usize>,
        points: &[(f64, RoleUsage)],
        figure: UsageFigure,
    ) {
        for role in roles {
            let points: Vec<_> = points.iter().map(|(x, r)| (*x, figure(&r[role]))).collect();
            let slope = fit::slope(&points);
            self.report[ROLES[role]][key] = json!(slope.map(|(slope, _)| slope));
            self.report[ROLES[role]][format!("{key}_err")] = json!(slope.map(|(_, error)| error));
            eprintln!("{} {key}: {slope:?} through {points:?}", ROLES[role]);
        }
    }

    /// Runs some work, which returns its size. Returns this size and, for each role,
    /// the processor time and bytes that the work used and the memory after the work.
    fn measure_growth(&self, work: impl FnOnce(&Self) -> f64) -> (f64, RoleUsage) {
        let before = self.read_usage();
        let size = work(self);
        let mut after = self.read_usage();
        for (after, before) in after.iter_mut().zip(before) {
            after.cpu_us -= before.cpu_us;
            after.bytes -= before.bytes;
        }
        (size, after)
    }

    fn measure_polls(&mut self) {
        let idle = |time: Duration| {
            self.measure_growth(|_bench| {
                std::thread::sleep(time);
                time.as_secs_f64() / POLL_SECS
            })
        };
        let points = IDLE_TIMES.map(idle);
        self.report_slope("bytes_per_poll", 0..3, &points, |r| r.bytes);
    }

    fn measure_tickets(&mut self) {
        let mut number = 2;
        let mut points: Vec<(f64, RoleUsage)> = Vec::new();
        for count in TICKETS_PER_STEP {
            let first = number;
            number += count;
            let begin = Instant::now();
            points.push(self.measure_growth(|bench| {
                // Each ticket is submitted after the one before is in force, so
                // that every poller receives each of them as a separate change.
                for number in first..first + count {
                    bench.site.submit_many(PARTNER, SMALL, number..number + 1);
                    bench.site.wait_in_force(PARTNER, number);
                }
                count as f64
            }));
            let polls = begin.elapsed().as_secs_f64() / POLL_SECS;
            let (_, readings) = points.last_mut().expect("a point was just added");
            for (reading, role) in readings.iter_mut().zip(ROLES) {
                let idle_bytes = self.report[role]["bytes_per_poll"].as_f64();
                reading.bytes -= idle_bytes.unwrap_or(0.0) * polls;
            }
        }
        self.report_slope("bytes_per_ticket", 0..3, &points, |r| r.bytes);
    }

    fn measure_requests(&mut self) {
        let points = PLAIN_RATES_RPS.map(|rate| {
            self.measure_growth(|bench| answered(&bench.send_chats(rate, 1, false, None)))
        });
        self.report_slope("core_us_per_request", 0..3, &points, |r| r.cpu_us);
        self.report_slope("bytes_per_request", 0..3, &points, |r| r.bytes);
    }

    fn measure_tokens(&mut self) {
        let points = STREAM_TOKENS.map(|tokens| {
            self.measure_growth(|bench| {
                answered(&bench.send_chats(STREAM_RATE_RPS, tokens, true, None)) * f64::from(tokens)
            })
        });
        self.report_slope("core_us_per_token", 0..2, &points, |r| r.cpu_us);
    }

    fn measure_sessions(&mut self) {
        let points = self.read_after_steps(&SESSIONS_PER_STEP, |bench, count| {
            let rate = count / LOAD_TIME.as_secs_f64();
            answered(&bench.send_chats(rate, 1, false, Some("x-session-id")))
        });
        self.report_slope("rss_kb_per_session", 0..3, &points, |r| r.rss / KIB);
    }

    fn measure_claims(&mut self) {
        let points = self.read_after_steps(&CLAIMS_PER_STEP, |bench, count| {
            let load = Load {
                urls: vec![format!("http://{}/queue/jobs", bench.site.http(ENTRY))],
                key: format!("{WORKSPACE}-key"),
                body: "{\"order\":TAG}".to_owned(),
                rate: count / LOAD_TIME.as_secs_f64(),
                duration: LOAD_TIME,
                unique_header: Some("idempotency-key"),
            };
            answered(&bench.generator.run_open_loop(&load))
        });
        self.report_slope("rss_bytes_per_claim", 2..3, &points, |r| r.rss);
    }

    /// Runs the work once for each size. Returns the total size so far and the
    /// resource use after each step.
    fn read_after_steps(
        &self,
        sizes: &[f64],
        work: impl Fn(&Self, f64) -> f64,
    ) -> Vec<(f64, RoleUsage)> {
        let mut total = 0.0;
        let step = |count: &f64| {
            total += work(self, *count);
            (total, self.read_usage())
        };
        sizes.iter().map(step).collect()
    }

    fn send_chats(
        &self,
        rate: f64,
        tokens: u32,
        stream: bool,
        unique_header: Option<&'static str>,
    ) -> Outcome {
        let body = support::caller::chat_body(SMALL, "TAG tidy this", tokens, stream);
        self.generator.run_open_loop(&Load {
            urls: vec![format!(
                "http://{}/v1/chat/completions",
                self.site.http(ENTRY)
            )],
            key: format!("{WORKSPACE}-key"),
            body: body.to_string(),
            rate,
            duration: LOAD_TIME,
            unique_header,
        })
    }
}

/// Selects one figure of a role's resource use.
type UsageFigure = fn(&Usage) -> f64;

fn total((to, from): (u64, u64)) -> f64 {
    (to + from) as f64
}

/// Returns the number of answered requests and prints the number of failed ones.
fn answered(outcome: &Outcome) -> f64 {
    if outcome.failed > 0 {
        eprintln!(
            "{} requests failed and are not counted as load",
            outcome.failed
        );
    }
    outcome.answered as f64
}

/// Returns the ticket that sets up the site's version, service, workspace and
/// backend servers.
fn first_ticket(site: &Site) -> Ticket {
    let agent = |name| site.http(name);
    Ticket::new(PARTNER, 1)
        .centre("glasgow", "in")
        .version(SMALL, 0.2, "in-service")
        .service("queue", "/queue")
        .workspace(WORKSPACE, &[SMALL], &["queue"])
        .backend(ENGINE, Some(("glasgow", &agent(ENGINE))), &[SMALL], &[])
        .backend(SERVICE, Some(("glasgow", &agent(SERVICE))), &[], &["queue"])
}
