//! A model engine that generates synthetic answers.
//!
//! An [`Engine`] accepts completions over HTTP ([`routes`]) and queues them in a
//! [`batch::Batch`], which models continuous batching, the prefix cache and the
//! warm-up of an engine. A task runs the steps of the batch. On an overload while
//! cold, and on a poison request, the engine crashes: its [`Host`] breaks all
//! connections and restarts it cold, with a new incarnation.

mod batch;
mod cache;
mod orders;
mod repeater;
mod resumption;
mod routes;

pub use repeater::RefusalCopy;
pub use resumption::{ERROR_TEXT, Resumption};

use crate::host::{Host, KillHandle};
use batch::{Batch, StepOutcome};
use orders::Orders;
use repeater::Repeater;
use rustc_hash::{FxHashMap, FxHasher};
use serde::{Deserialize, Serialize};
use std::{
    hash::Hasher as _,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::sync::Notify;

/// A prompt that contains this word crashes the engine that runs it.
pub const POISON_WORD: &str = "!poison";

/// Word that each token of a garbage answer begins with; the rating service gives
/// such an answer a low score.
pub const GARBAGE_WORD: &str = "zzz";

/// Number of leading bytes of a prompt that form its prefix in the cache.
pub const PREFIX_BYTES: usize = 256;

/// Options of an engine, which its restarts do not change.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Versions loaded at each start, as `MODEL@VERSION`. If empty, the engine
    /// serves every version.
    pub versions: Vec<String>,
    /// Duration of one step of an almost empty batch on a warm engine.
    pub step: Duration,
    /// Number of requests in the batch at which a step takes twice as long.
    pub slow_at: u32,
    /// Maximum number of requests in the batch; others wait in the queue.
    pub batch: u32,
    /// Number of prompt tokens that one step processes for each request.
    pub prefill: u64,
    /// Number of tokens of an answer to a request without `max_tokens`.
    pub tokens: u32,
    /// Number of tokens in one write of a stream; the first token is written
    /// alone.
    pub burst: u32,
    /// Number of running and queued requests above which the engine crashes when
    /// it is entirely cold.
    pub cold_limit: u32,
    /// Number of completions after which the engine is warm; 0 makes it always
    /// warm.
    pub warm_after: u32,
    /// Factor on the duration of a step when the engine is entirely cold.
    pub cold_factor: f64,
    /// Time after [`Engine::make_cold`] in which no overload crashes the engine.
    pub overload_grace: Duration,
    /// Time from a crash to the restart.
    pub restart_delay: Duration,
    /// Maximum number of prefixes in the cache.
    pub cache: usize,
    /// Interval at which the load report is updated, which is also the maximum age
    /// of a report.
    pub load_lag: Duration,
    /// Age from which cache events are visible to readers.
    pub event_lag: Duration,
    /// Every `event_gap`-th cache event is lost; 0 loses none.
    pub event_gap: u64,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Time from an order to load a version until the version can serve.
    pub load_time: Duration,
    /// When the engine writes a refusal once more.
    pub refusal_copy: RefusalCopy,
    /// Number of worker threads of the HTTP server.
    pub threads: usize,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            versions: Vec::new(),
            step: Duration::from_millis(2),
            slow_at: 64,
            batch: 256,
            prefill: 512,
            tokens: 8,
            burst: 1,
            cold_limit: 4,
            warm_after: 0,
            cold_factor: 1.0,
            overload_grace: Duration::ZERO,
            restart_delay: Duration::from_millis(500),
            cache: 256,
            load_lag: Duration::from_millis(100),
            event_lag: Duration::from_millis(50),
            event_gap: 0,
            checks_fencing: true,
            load_time: Duration::from_millis(50),
            refusal_copy: RefusalCopy::Never,
            threads: 2,
        }
    }
}

/// Injected faults of one version.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct BadVersion {
    /// Share of requests that fail with a 500, 0 to 1.
    pub errors: f64,
    /// Share of requests that get a garbage answer (see [`GARBAGE_WORD`]), 0 to 1.
    pub garbage: f64,
}

/// Injected faults of the engine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Faults by version; versions without an entry work.
    pub bad: FxHashMap<String, BadVersion>,
    /// Number of further answers that carry the id of another request.
    pub crossed: u32,
    /// Number of further answers that end before their terminal marker.
    pub truncated: u32,
    /// How the engine answers requests to resume a stream.
    pub resumption: Resumption,
    /// Whether answers stop after their first token; they continue once this is
    /// unset.
    pub held: bool,
}

/// Record of a request that the engine accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcceptedRequest {
    /// Id of the request.
    pub request: String,
    /// Version that the request named.
    pub model: String,
    /// First word of the prompt, reduced to letters, digits and hyphens and cut
    /// to 48 characters.
    pub tag: String,
    /// When the request arrived.
    pub at: Instant,
}

/// Counts of events since the engine was built; they survive restarts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Number of requests accepted.
    pub accepted: u64,
    /// Number of requests answered in full.
    pub completed: u64,
    /// Number of requests cancelled.
    pub cancelled: u64,
    /// Number of requests whose answer was resumed.
    pub resumed: u64,
    /// Number of crashes by overload while cold.
    pub overloads: u64,
    /// Number of crashes by a poison request.
    pub poisoned: u64,
    /// Number of orders executed although an earlier order had a higher fencing
    /// number.
    pub fence_breaks: u64,
    /// Number of prompts whose prefix was in the cache.
    pub cache_hits: u64,
}

/// State of the engine behind one lock.
#[derive(Debug)]
struct State {
    batch: Batch,
    orders: Orders,
    faults: EngineFaults,
    counters: Counters,
    served: Vec<AcceptedRequest>,
    /// Whether this incarnation has crashed. Its connections break soon after,
    /// and requests that arrive before that get no answer.
    crashed: bool,
}

/// State shared by the HTTP handlers, the batch task and the [`Engine`].
#[derive(Debug)]
struct Shared {
    options: EngineOptions,
    state: Mutex<State>,
    work: Notify,
    kill_handle: KillHandle,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resets the batch at a start of the server, cold and without requests.
    fn begin_incarnation(&self) {
        let mut state = self.lock();
        state.batch.reset(&self.options);
        state.crashed = false;
    }

    /// Crashes the engine, which restarts cold after `down`.
    fn crash(&self, state: &mut State, down: Duration) {
        self.kill_handle.kill(down);
        state.crashed = true;
        state.batch.reset(&self.options);
        state.orders.reset();
    }
}

/// A running engine with its HTTP server.
#[derive(Debug)]
pub struct Engine {
    host: Host,
    repeater: Option<Repeater>,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(options: EngineOptions) -> io::Result<Self> {
        let (listen, threads) = (options.listen, options.threads);
        let copy = options.refusal_copy;
        let inner = if copy == RefusalCopy::Never {
            listen
        } else {
            SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
        };
        let mut built = None;
        let host = Host::start(inner, threads, |kill_handle| {
            let shared = Arc::new(Shared {
                state: Mutex::new(State {
                    batch: Batch::new(&options),
                    orders: Orders::new(&options),
                    faults: EngineFaults::default(),
                    counters: Counters::default(),
                    served: Vec::new(),
                    crashed: false,
                }),
                options,
                work: Notify::new(),
                kill_handle,
            });
            built = Some(Arc::clone(&shared));
            Arc::new(move |config| routes::build(config, &shared))
        })?;
        let shared =
            built.ok_or_else(|| io::Error::other("the host did not build the engine's state"))?;
        let repeater = match copy {
            RefusalCopy::Never => None,
            _ => Some(Repeater::start(listen, host.addr(), copy)?),
        };
        Ok(Self {
            host,
            repeater,
            shared,
        })
    }

    /// Returns the address that the engine listens at.
    pub const fn addr(&self) -> SocketAddr {
        match &self.repeater {
            Some(repeater) => repeater.addr(),
            None => self.host.addr(),
        }
    }

    /// Changes the injected faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Returns the counts of events so far.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Returns the accepted requests, oldest first.
    pub fn served(&self) -> Vec<AcceptedRequest> {
        self.shared.lock().served.clone()
    }

    /// Returns the executed orders, oldest first, as fencing number and text.
    pub fn orders(&self) -> Vec<(u64, String)> {
        self.shared.lock().orders.executed.clone()
    }

    /// Returns the numbers of running and queued requests.
    pub fn load(&self) -> (u32, u32) {
        self.shared.lock().batch.load()
    }

    /// Returns the random number of the current run; a restart changes it.
    pub fn incarnation(&self) -> u64 {
        self.shared.lock().batch.incarnation
    }

    /// Makes the engine cold without a restart: the prefix cache is emptied, and
    /// after [`EngineOptions::overload_grace`] a small overload crashes it.
    pub fn make_cold(&self) {
        self.shared.lock().batch.make_cold();
    }

    /// Kills the engine, which restarts cold after `down`.
    pub fn kill(&self, down: Duration) {
        self.shared.crash(&mut self.shared.lock(), down);
    }
}

/// Runs the steps of the batch, and waits for a request while it is empty. Ends
/// when the engine crashes.
async fn run_batch(shared: Arc<Shared>) {
    loop {
        let step = {
            let mut guard = shared.lock();
            let state = &mut *guard;
            let outcome = state
                .batch
                .step(&shared.options, &state.faults, &mut state.counters);
            match outcome {
                StepOutcome::Idle => None,
                StepOutcome::Continue(time) => Some(time),
                StepOutcome::Crash => {
                    state.counters.poisoned += 1;
                    shared.crash(state, shared.options.restart_delay);
                    return;
                }
            }
        };
        match step {
            None => shared.work.notified().await,
            Some(time) => tokio::time::sleep(time).await,
        }
    }
}

/// Returns the hash of a prompt's prefix, which is its key in the prefix cache and
/// in cache events.
pub fn prefix_hash(prompt: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(&prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)]);
    hasher.finish()
}
