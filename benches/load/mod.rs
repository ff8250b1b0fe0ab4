//! The load generator and the process measurements that the benches share.
//!
//! In an open loop the generator sends requests at a fixed rate, whether or not
//! earlier ones have ended. It measures latency from the time at which each
//! request was due, so that a slow system cannot hide its delays by holding back
//! the generator (coordinated omission). Runs are bounded in time and in number
//! of requests.

use futures::StreamExt as _;
use reqwest::Client;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{runtime::Runtime, task::JoinSet};

/// Number of worker threads of the generator's runtime.
const WORKER_THREADS: usize = 3;

/// Timeout of one request with its answer; after that it counts as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of requests of one open-loop run; a higher number is cut to this.
const MAX_REQUESTS: u32 = 100_000;

/// Clock ticks per second, the unit of processor time in `/proc`.
const TICKS_PER_SEC: f64 = 100.0;

/// Last bytes of a complete streamed answer.
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// Description of the requests to send.
#[derive(Clone, Debug)]
pub struct Load {
    /// URLs, used in turn.
    pub urls: Vec<String>,
    /// API key, sent as a bearer token.
    pub key: String,
    /// Body of each request; `TAG` in it is replaced by the request's number.
    pub body: String,
    /// Requests per second in an open loop; a closed loop ignores it.
    pub rate: f64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Name of a header that gets a unique value for each request, if any.
    pub unique_header: Option<&'static str>,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of requests that were answered in full.
    pub answered: u64,
    /// Number of requests that failed, timed out or were answered in part.
    pub failed: u64,
    /// Times to the first byte of the body in ms, in ascending order.
    pub first_ms: Vec<f64>,
    /// Times to the last byte of the body in ms, in ascending order.
    pub total_ms: Vec<f64>,
    /// Time from the start of the run to the last answer, in seconds.
    pub secs: f64,
}

/// An HTTP client that sends load.
#[derive(Debug)]
pub struct Generator {
    client: Client,
    runtime: Runtime,
}

impl Generator {
    /// Builds a generator without a limit on idle connections, so that
    /// connections are reused at any rate.
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
            client: client.expect("the HTTP client builds"),
            runtime: runtime.expect("the runtime starts"),
        }
    }

    /// Sends requests at the load's rate and waits for all answers.
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

    /// Sends requests from `callers` tasks, each of which sends the next request
    /// when the last one is answered.
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

    /// Sorts the times and sets the duration of the run.
    fn finish(mut self, begin: Instant) -> Self {
        self.first_ms.sort_by(f64::total_cmp);
        self.total_ms.sort_by(f64::total_cmp);
        self.secs = begin.elapsed().as_secs_f64();
        self
    }

    /// Returns the number of requests answered per second.
    pub fn rps(&self) -> f64 {
        self.answered as f64 / self.secs
    }
}

/// Returns the quantile `share` (0 to 1) of values in ascending order, or none if
/// there are no values.
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

/// Sends a request and returns the times in ms from `due` to the first and to the
/// last byte of the body. Returns none if the request failed, or if a stream ended
/// without its terminal marker.
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

/// Returns the user and system processor time of a process in seconds, or 0 if the
/// process does not exist.
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

/// Returns the resident memory of a process in bytes, or 0 if the process does not
/// exist.
pub fn rss_bytes(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}
