//! Model of continuous batching: each step generates one token for each request
//! in the batch.
//!
//! Requests wait in a queue by priority and enter the batch as it has room. The
//! engine first processes a request's prompt (prefill) and then generates one
//! token per step. A step takes longer the more requests are in the batch. A cold
//! engine accepts only a few requests at once and crashes above that limit.

use super::{Counters, EngineFaults, EngineOptions, cache::Cache};
use rand::Rng as _;
use rustc_hash::FxHashMap;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};
use tokio::sync::mpsc;

/// Maximum number of completed requests that can still be resumed; above that the
/// oldest are forgotten.
const ENDED_LIMIT: usize = 4_096;

/// Result of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepOutcome {
    /// The engine crashes, because the batch has a poison request.
    Crash,
    /// The batch and the queue are empty.
    Idle,
    /// Tokens were generated; the next step starts after this time.
    Continue(Duration),
}

/// Progress of a request, as sent to the writer of its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Number of tokens generated so far.
    pub generated: u32,
    /// Whether the answer is complete.
    pub ended: bool,
}

/// The properties from which the text of an answer is built.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Request id in the answer; another than the request's if the `crossed`
    /// fault is injected.
    pub id: String,
    /// Version that answers, as `MODEL@VERSION`.
    pub model: String,
    /// Word that each token of the answer begins with. It is the first word of
    /// the prompt, so that tests can match an answer with its request.
    pub tag: String,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens of the answer.
    pub total: u32,
    /// Whether the answer is cut off before its terminal marker.
    pub truncated: bool,
}

/// One request in the batch or the queue.
#[derive(Debug)]
pub struct Job {
    /// Id of the request.
    pub request: String,
    /// Priority in the queue; 0 goes first.
    pub priority: u8,
    /// The answer to generate.
    pub answer: Answer,
    /// Hash of the prompt's prefix, its key in the prefix cache.
    pub prefix: u64,
    /// Whether the request crashes the engine once it has its first token.
    pub poison: bool,
    /// Channel to the writer of the answer.
    pub progress: mpsc::UnboundedSender<Progress>,
    /// Number of prompt tokens that are not processed yet.
    pub prefill_left: u64,
    /// Number of tokens generated so far.
    pub generated: u32,
}

/// The running and queued requests of one engine, and its warmth.
#[derive(Debug)]
pub struct Batch {
    /// Random number of this run of the engine; a restart changes it.
    pub incarnation: u64,
    /// The engine's prefix cache.
    pub cache: Cache,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    /// Number of requests completed since the engine was last cold.
    completed: u32,
    /// When the engine turned cold without a restart.
    turned_cold: Option<Instant>,
    /// Completed requests by id, which can be resumed.
    ended: FxHashMap<String, Answer>,
    /// Ids of `ended`, the oldest first.
    ended_order: VecDeque<String>,
}

impl Batch {
    /// Builds an empty batch.
    pub fn new(_options: &EngineOptions) -> Self {
        Self {
            incarnation: rand::rng().random(),
            cache: Cache::default(),
            running: Vec::new(),
            queue: VecDeque::new(),
            completed: 0,
            turned_cold: None,
            ended: FxHashMap::default(),
            ended_order: VecDeque::new(),
        }
    }

    /// Drops all requests and begins a new, cold incarnation.
    pub fn reset(&mut self, options: &EngineOptions) {
        *self = Self::new(options);
    }

    /// Makes the engine cold without a restart: requests keep running, and the
    /// prefix cache is emptied.
    pub fn make_cold(&mut self) {
        self.completed = 0;
        self.turned_cold = Some(Instant::now());
        self.cache = Cache::default();
    }

    /// Returns the numbers of running and queued requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }

    /// Returns the number of running and queued requests above which the engine
    /// crashes. The limit grows from `cold_limit` towards `batch` with each
    /// completed request. There is no limit on a warm engine, or within
    /// `overload_grace` after [`Self::make_cold`].
    pub fn crash_limit(&self, options: &EngineOptions) -> u32 {
        let in_grace = self
            .turned_cold
            .is_some_and(|at| at.elapsed() < options.overload_grace);
        if in_grace || self.completed >= options.warm_after {
            return u32::MAX;
        }
        let gained = options.batch.saturating_sub(options.cold_limit) * self.completed;
        options.cold_limit + gained / options.warm_after.max(1)
    }

    /// Adds a request to the queue. Returns whether the engine survives it.
    pub fn enqueue(
        &mut self,
        mut job: Job,
        options: &EngineOptions,
        counters: &mut Counters,
    ) -> bool {
        if self.cache.touch(job.prefix, options) {
            counters.cache_hits += 1;
            job.prefill_left = 0;
        }
        let place = self
            .queue
            .partition_point(|other| other.priority <= job.priority);
        self.queue.insert(place, job);
        self.running.len() + self.queue.len() <= self.crash_limit(options) as usize
    }

    /// Runs one step of the batch.
    pub fn step(
        &mut self,
        options: &EngineOptions,
        faults: &EngineFaults,
        counters: &mut Counters,
    ) -> StepOutcome {
        self.admit(options);
        if self.running.is_empty() {
            return StepOutcome::Idle;
        }
        if self
            .running
            .iter()
            .any(|job| job.poison && job.prefill_left == 0 && job.generated > 0)
        {
            return StepOutcome::Crash;
        }
        for job in &mut self.running {
            advance(job, options, faults);
        }
        self.remove_ended(counters);
        let fullness = self.running.len() as f64 / f64::from(options.slow_at.max(1));
        StepOutcome::Continue(
            options
                .step
                .mul_f64((1.0 + fullness) * self.slowdown(options)),
        )
    }

    /// Returns the factor by which a step is slower than on a warm engine. The
    /// factor falls from `cold_factor` to 1 with each completed request.
    fn slowdown(&self, options: &EngineOptions) -> f64 {
        if self.completed >= options.warm_after {
            return 1.0;
        }
        let coldness = 1.0 - f64::from(self.completed) / f64::from(options.warm_after);
        1.0 + (options.cold_factor - 1.0) * coldness
    }

    /// Cancels a running or queued request. Returns whether there was one.
    pub fn cancel(&mut self, request: &str) -> bool {
        let before = self.running.len() + self.queue.len();
        self.running.retain(|job| job.request != request);
        self.queue.retain(|job| job.request != request);
        before != self.running.len() + self.queue.len()
    }

    /// Attaches a new writer to a running, queued or completed request. Returns
    /// none if the request is not known.
    pub fn resume(&mut self, request: &str) -> Option<(Answer, mpsc::UnboundedReceiver<Progress>)> {
        let (sender, progress) = mpsc::unbounded_channel();
        let mut jobs = self.running.iter_mut().chain(self.queue.iter_mut());
        if let Some(job) = jobs.find(|job| job.request == request) {
            let now = Progress {
                generated: job.generated,
                ended: false,
            };
            // The receiver is still in scope, so sending cannot fail.
            let _ignored = sender.send(now);
            job.progress = sender;
            return Some((job.answer.clone(), progress));
        }
        let answer = self.ended.get(request)?.clone();
        let all = Progress {
            generated: answer.total,
            ended: true,
        };
        let _ignored = sender.send(all);
        Some((answer, progress))
    }

    /// Moves requests from the queue into the batch while it has room.
    fn admit(&mut self, options: &EngineOptions) {
        while self.running.len() < options.batch as usize {
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            self.running.push(job);
        }
    }

    /// Removes the completed requests from the batch and keeps the latest of them
    /// for resumption.
    fn remove_ended(&mut self, counters: &mut Counters) {
        let ended = self
            .running
            .extract_if(.., |job| job.generated >= job.answer.total);
        for job in ended {
            counters.completed += 1;
            self.completed = self.completed.saturating_add(1);
            self.ended_order.push_back(job.request.clone());
            self.ended.insert(job.request, job.answer);
        }
        while self.ended_order.len() > ENDED_LIMIT {
            if let Some(old) = self.ended_order.pop_front() {
                self.ended.remove(&old);
            }
        }
    }
}

/// Advances one request by a step: its prefill first, then one token.
fn advance(job: &mut Job, options: &EngineOptions, faults: &EngineFaults) {
    if job.prefill_left > 0 {
        job.prefill_left = job.prefill_left.saturating_sub(options.prefill);
        return;
    }
    if faults.held && job.generated > 0 {
        return;
    }
    job.generated += 1;
    let ended = job.generated >= job.answer.total;
    let first = job.generated == 1;
    if ended || first || job.generated.is_multiple_of(options.burst.max(1)) {
        // Sending fails if the caller has disconnected. That does not end the
        // request; only a cancellation does.
        let _ignored = job.progress.send(Progress {
            generated: job.generated,
            ended,
        });
    }
}
