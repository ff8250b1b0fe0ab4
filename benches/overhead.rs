//! Measures the overhead of the entry and the agents. Prints one JSON object as
//! its last line.
//!
//! A run compares requests through an entry and an agent with requests sent
//! directly to the engines, with and without streaming. Both use the same engines
//! and the same links to them. All processes share the cores of this machine.

#[path = "load/mod.rs"]
mod load;
#[path = "../tests/testsuite/support/mod.rs"]
#[expect(
    dead_code,
    unused_imports,
    reason = "a bench uses only some items of the test fixtures"
)]
mod support;

use cardamomtally_standin::EngineOptions;
use load::{Generator, Load, Outcome, cpu_secs, quantile, rss_bytes};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::{
    Site, Ticket,
    site::{PARTNER, site},
    small::{SMALL, WORKSPACE, engine_options},
};

/// Number of engines, all of which serve the same version.
const ENGINES: usize = 8;

/// Number of concurrent callers in the closed loop that finds the highest rate.
const CLOSED_LOOP_CALLERS: u32 = 64;

/// Duration of each load.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Requests per second at the planned peak.
const PEAK_RPS: f64 = 1_600.0;

/// Tokens of an answer at the planned peak. With [`PEAK_RPS`] these are 490,000
/// tokens per second.
const PEAK_TOKENS: u32 = 306;

/// Shares of the planned peak at which streams are measured.
const PEAK_SHARES: [f64; 4] = [0.125, 0.25, 0.5, 1.0];

/// Number of tokens that an engine sends in one write.
const TOKENS_PER_WRITE: u32 = 16;

/// Share of the due requests that must be answered for a load to count as
/// sustained.
const SUSTAINED_SHARE: f64 = 0.999;

const MIB: f64 = 1024.0 * 1024.0;

/// Agent settings with admission limits too high to be reached by the load.
const ADMISSION_SETTINGS: &str =
    "[admission]\ncold_limit = 2048\nwarm_limit = 2048\ntarget = \"5s\"\n";

fn main() {
    let mut site = start_site();
    let (entry, agents) = pids(&mut site);
    let idle_rss = (
        rss_bytes(entry),
        agents.iter().map(|pid| rss_bytes(*pid)).fold(0.0, f64::max),
    );
    let direct: Vec<_> = engine_names()
        .map(|name| site.backend_link(&name).addr().to_string())
        .collect();
    let via_entry = vec![site.http("entry-1")];
    let generator = Generator::new();
    let mut report = json!({
        "entry_rss_mb": idle_rss.0 / MIB,
        "agent_rss_mb": idle_rss.1 / MIB,
    });
    measure_plain(&generator, &direct, &via_entry, &mut report);
    measure_streams(&generator, &direct, &via_entry, entry, &mut report);
    if report["failed"] != 0 {
        eprintln!("{}", site.process("entry-1").log_tail());
    }
    println!("{report}");
}

fn engine_names() -> impl Iterator<Item = String> {
    (1..=ENGINES).map(|n| format!("gla-e{n}"))
}

fn start_site() -> Site {
    let options = EngineOptions {
        batch: 1_024,
        slow_at: 100_000,
        prefill: 100_000,
        step: Duration::from_millis(3),
        burst: TOKENS_PER_WRITE,
        ..engine_options(&[SMALL])
    };
    let begun = engine_names().fold(site(), |site, name| {
        site.engine(&name, "glasgow", options.clone())
    });
    let site = begun
        .entry("entry-1", "glasgow")
        .agent_settings(ADMISSION_SETTINGS)
        .build();
    let ticket = Ticket::new(PARTNER, 1)
        .centre("glasgow", "in")
        .version(SMALL, 0.2, "in-service")
        .workspace(WORKSPACE, &[SMALL], &[]);
    let ticket = engine_names().fold(ticket, |ticket, name| {
        let agent = site.http(&name);
        ticket.backend(&name, Some(("glasgow", &agent)), &[SMALL], &[])
    });
    site.submit(&ticket);
    site.wait_in_force(PARTNER, 1);
    site.wait_served("entry-1", WORKSPACE, SMALL);
    site
}

fn pids(site: &mut Site) -> (u32, Vec<u32>) {
    let agents = engine_names()
        .map(|name| site.process(&name).id())
        .collect();
    (site.process("entry-1").id(), agents)
}

fn chat_load(addrs: &[String], rate: f64, tokens: u32, stream: bool) -> Load {
    let url = |addr: &String| format!("http://{addr}/v1/chat/completions");
    Load {
        urls: addrs.iter().map(url).collect(),
        key: format!("{WORKSPACE}-key"),
        body: support::caller::chat_body(SMALL, "TAG tidy this brief", tokens, stream).to_string(),
        rate,
        duration: LOAD_TIME,
        unique_header: None,
    }
}

/// Returns by how much a quantile of the times through the entry exceeds that of
/// the direct requests, in ms.
fn added_time(via_entry: &[f64], direct: &[f64], share: f64) -> Option<f64> {
    Some(quantile(via_entry, share)? - quantile(direct, share)?)
}

/// Measures requests without streaming: the highest rate in a closed loop, and the
/// added time in an open loop at the rate of the planned peak.
fn measure_plain(
    generator: &Generator,
    direct: &[String],
    via_entry: &[String],
    report: &mut Value,
) {
    let at_capacity =
        |addrs| generator.run_closed_loop(&chat_load(addrs, 0.0, 1, false), CLOSED_LOOP_CALLERS);
    let (max_direct, max_via_entry) = (at_capacity(direct), at_capacity(via_entry));
    report["plain_rps_direct"] = json!(max_direct.rps());
    report["plain_rps"] = json!(max_via_entry.rps());
    report["plain_rps_ratio"] = json!(max_via_entry.rps() / max_direct.rps());
    report["plain_failed"] = json!(max_via_entry.failed);
    let at_peak = |addrs| generator.run_open_loop(&chat_load(addrs, PEAK_RPS, 1, false));
    let (peak_direct, peak_via_entry) = (at_peak(direct), at_peak(via_entry));
    let added = |share| added_time(&peak_via_entry.total_ms, &peak_direct.total_ms, share);
    report["plain_peak_failed"] = json!(peak_via_entry.failed);
    report["plain_added_p50_ms"] = json!(added(0.5));
    report["plain_added_p99_ms"] = json!(added(0.99));
    eprintln!("plain {report}");
}

/// Measures streams at growing shares of the planned peak. The reported token rate
/// is that of the highest share that was sustained. The reported added time is that
/// at the full peak, and stays null if the peak was not sustained.
fn measure_streams(
    generator: &Generator,
    direct: &[String],
    via_entry: &[String],
    entry: u32,
    report: &mut Value,
) {
    for key in ["ttft_added_p99_ms", "stream_tokens_per_s", "entry_cores"] {
        report[key] = Value::Null;
    }
    report["failed"] = json!(0);
    for share in PEAK_SHARES {
        let at_share =
            |addrs| generator.run_open_loop(&chat_load(addrs, PEAK_RPS * share, PEAK_TOKENS, true));
        let base = at_share(direct);
        let (begin, cpu) = (Instant::now(), cpu_secs(entry));
        let streams = at_share(via_entry);
        let cores = (cpu_secs(entry) - cpu) / begin.elapsed().as_secs_f64();
        let ttft = added_time(&streams.first_ms, &base.first_ms, 0.99);
        let rate = streams.rps() * f64::from(PEAK_TOKENS);
        eprintln!(
            "share {share}: {rate:.0} tokens/s, entry {cores:.2} cores, added first token p99 {ttft:?} ms, \
             failed {} (direct {})",
            streams.failed, base.failed
        );
        report[format!("share_{share}")] = json!({
            "tokens_per_s": rate,
            "entry_cores": cores,
            "ttft_added_p99_ms": ttft,
            "failed": streams.failed,
            "direct_failed": base.failed,
        });
        report["failed"] = json!(report["failed"].as_u64().unwrap_or(0) + streams.failed);
        if !is_sustained(&streams, share) {
            continue;
        }
        report["stream_tokens_per_s"] = json!(rate);
        report["entry_cores"] = json!(cores);
        if share >= 1.0 {
            report["ttft_added_p99_ms"] = json!(ttft);
        }
    }
}

fn is_sustained(outcome: &Outcome, share: f64) -> bool {
    let due = PEAK_RPS * share * LOAD_TIME.as_secs_f64();
    outcome.answered as f64 >= due * SUSTAINED_SHARE
}
