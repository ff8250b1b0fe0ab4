//! A model engine.
//!
//! An [`Engine`] accepts completions over HTTP ([`routes`]) and feeds them to a
//! [`batch::Batch`], the model of continuous batching, prefix cache and warmth,
//! which a task steps. When the batch says that the engine dies (overload while
//! cold, or a poison request), its [`Host`] breaks all connections and brings it
//! back cold, with a new incarnation.

mod batch;
mod cache;
mod orders;
mod routes;

use crate::host::{Host, Killer};
use batch::{Batch, Fate};
use orders::Orders;
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

/// A prompt with this word kills the engine that runs it.
pub const POISON_WORD: &str = "!poison";

/// The word that fills bad answers.
pub const BAD_WORD: &str = "zzz";

/// Bytes of a prompt that make its prefix.
pub const PREFIX_BYTES: usize = 256;

/// How an engine behaves for its whole life.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Versions loaded at the start; none accepts any version.
    pub versions: Vec<String>,
    /// Time of one step of an almost empty batch.
    pub step: Duration,
    /// Requests in the batch at which a step takes twice as long.
    pub slow_at: u32,
    /// Most requests in the batch.
    pub batch: u32,
    /// Prompt tokens read in one step.
    pub prefill: u64,
    /// Tokens of an answer, unless the request says `max_tokens`.
    pub tokens: u32,
    /// Tokens in one write, after the first.
    pub burst: u32,
    /// Requests at once that it bears when cold.
    pub cold_limit: u32,
    /// Completions after which it is warm; 0 for always.
    pub warm_after: u32,
    /// Factor on a step's time when it is quite cold.
    pub cold_factor: f64,
    /// How long it bears an overload after it has turned cold without a restart.
    pub patience: Duration,
    /// How long it stays away when it dies.
    pub down: Duration,
    /// Prefixes that the cache holds.
    pub cache: usize,
    /// Age of the load report.
    pub load_lag: Duration,
    /// Age at which cache events are shown.
    pub event_lag: Duration,
    /// Each so many-th cache event is lost; 0 for none.
    pub event_gap: u64,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Time to load a version.
    pub load_time: Duration,
    /// Worker threads.
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
            patience: Duration::ZERO,
            down: Duration::from_millis(500),
            cache: 256,
            load_lag: Duration::from_millis(100),
            event_lag: Duration::from_millis(50),
            event_gap: 0,
            checks_fencing: true,
            load_time: Duration::from_millis(50),
            threads: 2,
        }
    }
}

/// How a version misbehaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct BadVersion {
    /// Share of requests that get a 500.
    pub errors: f64,
    /// Share of requests that get a worthless answer.
    pub garbage: f64,
}

/// How the engine misbehaves now.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Versions that have turned bad.
    pub bad: FxHashMap<String, BadVersion>,
    /// The next so many answers carry another request's id.
    pub crossed: u32,
    /// The next so many answers end before their terminal marker.
    pub truncated: u32,
    /// Answers stop after their first token until this is unset.
    pub held: bool,
}

/// One request that the engine took.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Served {
    /// The request id.
    pub request: String,
    /// The version.
    pub model: String,
    /// First word of the prompt.
    pub tag: String,
    /// When it came.
    pub at: Instant,
}

/// What has happened at the engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Requests taken.
    pub accepted: u64,
    /// Requests answered.
    pub completed: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Requests resumed.
    pub resumed: u64,
    /// Deaths by overload while cold.
    pub overloads: u64,
    /// Deaths by poison.
    pub poisoned: u64,
    /// Orders obeyed although a higher fencing number had been seen.
    pub fence_breaks: u64,
    /// Prompts whose prefix was in the cache.
    pub cache_hits: u64,
}

/// State behind one lock.
#[derive(Debug)]
struct State {
    batch: Batch,
    orders: Orders,
    faults: EngineFaults,
    counters: Counters,
    served: Vec<Served>,
    /// Whether this life is over; its connections break in a moment.
    dying: bool,
}

/// What all parts of an engine share.
#[derive(Debug)]
struct Shared {
    options: EngineOptions,
    state: Mutex<State>,
    work: Notify,
    killer: Killer,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a life, cold and without requests.
    fn begin_life(&self) {
        let mut state = self.lock();
        state.batch.reset(&self.options);
        state.dying = false;
    }

    /// Ends this life; the next one starts cold.
    fn die(&self, state: &mut State, down: Duration) {
        self.killer.kill(down);
        state.dying = true;
        state.batch.reset(&self.options);
        state.orders.reset();
    }
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    host: Host,
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
        let mut kept = None;
        let host = Host::start(listen, threads, |killer| {
            let shared = Arc::new(Shared {
                state: Mutex::new(State {
                    batch: Batch::new(&options),
                    orders: Orders::new(&options),
                    faults: EngineFaults::default(),
                    counters: Counters::default(),
                    served: Vec::new(),
                    dying: false,
                }),
                options,
                work: Notify::new(),
                killer,
            });
            kept = Some(Arc::clone(&shared));
            Arc::new(move |config| routes::build(config, &shared))
        })?;
        let shared = kept.ok_or_else(|| io::Error::other("the engine was not built"))?;
        Ok(Self { host, shared })
    }

    /// Returns its address.
    pub const fn addr(&self) -> SocketAddr {
        self.host.addr()
    }

    /// Changes how it misbehaves.
    pub fn faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Returns what has happened.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Returns the requests that it took, oldest first.
    pub fn served(&self) -> Vec<Served> {
        self.shared.lock().served.clone()
    }

    /// Returns the orders that it obeyed, as fencing number and text.
    pub fn orders(&self) -> Vec<(u64, String)> {
        self.shared.lock().orders.obeyed.clone()
    }

    /// Returns the requests running and queued.
    pub fn load(&self) -> (u32, u32) {
        self.shared.lock().batch.load()
    }

    /// Returns its incarnation.
    pub fn incarnation(&self) -> u64 {
        self.shared.lock().batch.incarnation
    }

    /// Makes it cold without a restart: caches are gone, little load is borne.
    pub fn chill(&self) {
        self.shared.lock().batch.chill();
    }

    /// Kills it; it comes back cold after `down`.
    pub fn kill(&self, down: Duration) {
        self.shared.die(&mut self.shared.lock(), down);
    }
}

/// Steps the batch while it has work.
async fn run_batch(shared: Arc<Shared>) {
    loop {
        let step = {
            let mut guard = shared.lock();
            let state = &mut *guard;
            let fate = state
                .batch
                .step(&shared.options, &state.faults, &mut state.counters);
            match fate {
                Fate::Idle => None,
                Fate::Step(time) => Some(time),
                Fate::Death => {
                    state.counters.poisoned += 1;
                    shared.die(state, shared.options.down);
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

/// Returns the number of a prompt's prefix in cache events.
pub fn prefix_of(prompt: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(&prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)]);
    hasher.finish()
}
