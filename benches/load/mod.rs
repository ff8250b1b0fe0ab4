//! What the benches share: a load generator and readings of processes.
//!
//! The generator sends requests at a set rate, whether or not earlier ones have
//! ended, and measures from the moment at which each was due, so that a slow
//! system cannot hide its delays. Runs are bounded in time and number.

use futures::StreamExt as _;
use reqwest::Client;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{runtime::Runtime, task::JoinSet};

/// Worker threads of the generator.
const WORKER_THREADS: usize = 3;

/// Longest time for one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Most requests of one run.
const MAX_REQUESTS: u32 = 100_000;

/// Clock ticks a second in `/proc`.
const TICKS_PER_SEC: f64 = 100.0;

/// The end of a streamed answer.
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// Requests to send.
#[derive(Clone, Debug)]
pub struct Load {
    /// URLs, taken in turn.
    pub urls: Vec<String>,
    /// Bearer key.
    pub key: String,
    /// Body of each request; `TAG` in it is replaced by the request's number.
    pub body: String,
    /// Requests a second.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// Header that gets a value of its own at each request, if any.
    pub unique_header: Option<&'static str>,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests answered whole.
    pub answered: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Times to the first byte of the body in ms, sorted.
    pub first_ms: Vec<f64>,
    /// Times to the last byte in ms, sorted.
    pub total_ms: Vec<f64>,
    /// Time from the first request to the last answer, in seconds.
    pub secs: f64,
}

/// Sends requests.
#[derive(Debug)]
pub struct Generator {
    client: Client,
    runtime: Runtime,
}

impl Generator {
    /// Builds a generator.
    pub fn new() -> Self {
        let client = Client::builder()
            .no_proxy()
            .timeout(REQUEST_TIMEOUT)
            .pool_max_idle_per_host(usize::MAX)
            .build();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build();
        Self {
            client: client.expect("a client"),
            runtime: runtime.expect("a runtime"),
        }
    }

    /// Sends requests at a rate and waits for all answers.
    pub fn run_open_loop(&self, load: &Load) -> Outcome {
        let load = Arc::new(load.clone());
        let client = self.client.clone();
        self.runtime.block_on(async move {
            let begin = Instant::now();
            let mut tasks = JoinSet::new();
            let count = (load.rate * load.duration.as_secs_f64()) as u32;
            for n in 0..count.min(MAX_REQUESTS) {
                let due = begin + Duration::from_secs_f64(f64::from(n) / load.rate);
                tokio::time::sleep_until(due.into()).await;
                tasks.spawn(send_one(client.clone(), Arc::clone(&load), n, due));
            }
            collect_outcomes(tasks, begin).await
        })
    }

    /// Sends requests one after the other from each of so many callers.
    pub fn run_closed_loop(&self, load: &Load, callers: u32) -> Outcome {
        let load = Arc::new(load.clone());
        let client = self.client.clone();
        self.runtime.block_on(async move {
            let begin = Instant::now();
            let mut tasks = JoinSet::new();
            for caller in 0..callers {
                tasks.spawn(run_caller(client.clone(), Arc::clone(&load), caller, begin));
            }
            let mut sum = Outcome::default();
            while let Some(part) = tasks.join_next().await {
                sum.merge(part.expect("no caller panics"));
            }
            sum.finish(begin)
        })
    }
}

impl Outcome {
    fn merge(&mut self, other: Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.first_ms.extend(other.first_ms);
        self.total_ms.extend(other.total_ms);
    }

    fn finish(mut self, begin: Instant) -> Self {
        self.first_ms.sort_by(f64::total_cmp);
        self.total_ms.sort_by(f64::total_cmp);
        self.secs = begin.elapsed().as_secs_f64();
        self
    }

    /// Returns requests answered a second.
    pub fn rps(&self) -> f64 {
        self.answered as f64 / self.secs
    }
}

/// Returns a quantile of sorted values, 0 to 1.
pub fn quantile(sorted: &[f64], share: f64) -> Option<f64> {
    let last = sorted.len().checked_sub(1)?;
    Some(sorted[(last as f64 * share).round() as usize])
}

async fn run_caller(client: Client, load: Arc<Load>, caller: u32, begin: Instant) -> Outcome {
    let mut sum = Outcome::default();
    let mut n = caller << 20;
    while begin.elapsed() < load.duration {
        sum.merge(send_one(client.clone(), Arc::clone(&load), n, Instant::now()).await);
        n += 1;
    }
    sum
}

async fn collect_outcomes(mut tasks: JoinSet<Outcome>, begin: Instant) -> Outcome {
    let mut sum = Outcome::default();
    while let Some(part) = tasks.join_next().await {
        sum.merge(part.expect("no request panics"));
    }
    sum.finish(begin)
}

async fn send_one(client: Client, load: Arc<Load>, n: u32, due: Instant) -> Outcome {
    let url = &load.urls[n as usize % load.urls.len()];
    let body = load.body.replace("TAG", &n.to_string());
    let mut request = client.post(url).bearer_auth(&load.key).body(body);
    request = request.header("content-type", "application/json");
    if let Some(header) = load.unique_header {
        request = request.header(header, format!("{}-{n}", due.elapsed().as_nanos()));
    }
    match time_answer(request, due).await {
        Some((first, total)) => Outcome {
            answered: 1,
            first_ms: vec![first],
            total_ms: vec![total],
            ..Outcome::default()
        },
        None => Outcome {
            failed: 1,
            ..Outcome::default()
        },
    }
}

async fn time_answer(request: reqwest::RequestBuilder, due: Instant) -> Option<(f64, f64)> {
    let response = request.send().await.ok()?.error_for_status().ok()?;
    let stream = response.headers().get("content-type")?.as_bytes() == b"text/event-stream";
    let mut body = response.bytes_stream();
    let mut first = None;
    let mut tail = Vec::new();
    while let Some(bytes) = body.next().await {
        let bytes = bytes.ok()?;
        first.get_or_insert_with(|| due.elapsed());
        tail.extend_from_slice(&bytes[bytes.len().saturating_sub(STREAM_END.len())..]);
        let excess = tail.len().saturating_sub(STREAM_END.len());
        tail.drain(..excess);
    }
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    let complete = !stream || tail == STREAM_END;
    complete.then_some((ms(first?), ms(due.elapsed())))
}

/// Returns the processor time of a process in seconds.
pub fn cpu_secs(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |field: usize| fields.get(field).and_then(|f| f.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SEC
}

/// Returns the resident memory of a process in bytes.
pub fn rss_bytes(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}
