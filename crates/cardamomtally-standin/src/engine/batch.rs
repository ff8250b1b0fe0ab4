//! Continuous batching: one token a step for each request in the batch.
//!
//! Requests wait by priority, enter the batch, have their prompt read, and then
//! get a token a step. Steps take longer the fuller the batch is. A cold engine
//! bears only a few requests at once and dies above that.

use super::{Counters, EngineFaults, EngineOptions, cache::Cache};
use rand::Rng as _;
use rustc_hash::FxHashMap;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};
use tokio::sync::mpsc;

/// Ended requests that can still be resumed.
const ENDED_LIMIT: usize = 4_096;

/// What happens after a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// The engine dies.
    Death,
    /// There is nothing to do.
    Idle,
    /// The next step comes after this time.
    Step(Duration),
}

/// What an answer's writer is told: tokens up to this number are there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Tokens made so far.
    pub made: u32,
    /// Whether that is all.
    pub ended: bool,
}

/// What an answer is made of.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Id that the answer carries.
    pub id: String,
    /// The version.
    pub model: String,
    /// The word that each token carries.
    pub tag: String,
    /// Tokens read.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub total: u32,
    /// Whether it ends before its terminal marker.
    pub truncated: bool,
}

/// One request in the batch or the queue.
#[derive(Debug)]
pub struct Job {
    /// The request id.
    pub request: String,
    /// Its priority, 0 first.
    pub priority: u8,
    /// What its answer is made of.
    pub answer: Answer,
    /// Number of its prompt's prefix.
    pub prefix: u64,
    /// Whether it kills the engine.
    pub poison: bool,
    /// Where progress is told.
    pub out: mpsc::UnboundedSender<Progress>,
    /// Prompt tokens still to read.
    pub unread: u64,
    /// Tokens made.
    pub made: u32,
}

/// The requests of one engine.
#[derive(Debug)]
pub struct Batch {
    /// The engine's run.
    pub incarnation: u64,
    /// The prefix cache.
    pub cache: Cache,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    completed: u32,
    chilled: Option<Instant>,
    ended: FxHashMap<String, Answer>,
    order: VecDeque<String>,
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
            chilled: None,
            ended: FxHashMap::default(),
            order: VecDeque::new(),
        }
    }

    /// Forgets all and starts a new incarnation.
    pub fn reset(&mut self, options: &EngineOptions) {
        *self = Self::new(options);
    }

    /// Turns cold but keeps running.
    pub fn chill(&mut self) {
        self.completed = 0;
        self.chilled = Some(Instant::now());
        self.cache = Cache::default();
    }

    /// Returns the requests running and queued.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }

    /// Tells how many requests at once it bears; above that it dies.
    pub fn bears(&self, options: &EngineOptions) -> u32 {
        let spared = self
            .chilled
            .is_some_and(|at| at.elapsed() < options.patience);
        if spared || self.completed >= options.warm_after {
            return u32::MAX;
        }
        let gained = options.batch.saturating_sub(options.cold_limit) * self.completed;
        options.cold_limit + gained / options.warm_after.max(1)
    }

    /// Takes a request. Returns whether the engine bears it.
    pub fn take(&mut self, mut job: Job, options: &EngineOptions, counters: &mut Counters) -> bool {
        if self.cache.touch(job.prefix, options) {
            counters.cache_hits += 1;
            job.unread = 0;
        }
        let place = self
            .queue
            .partition_point(|other| other.priority <= job.priority);
        self.queue.insert(place, job);
        self.running.len() + self.queue.len() <= self.bears(options) as usize
    }

    /// Makes one step.
    pub fn step(
        &mut self,
        options: &EngineOptions,
        faults: &EngineFaults,
        counters: &mut Counters,
    ) -> Fate {
        self.admit(options);
        if self.running.is_empty() {
            return Fate::Idle;
        }
        if self
            .running
            .iter()
            .any(|job| job.poison && job.unread == 0 && job.made > 0)
        {
            return Fate::Death;
        }
        for job in &mut self.running {
            advance(job, options, faults);
        }
        self.retire(counters);
        let crowding = self.running.len() as f64 / f64::from(options.slow_at.max(1));
        Fate::Step(
            options
                .step
                .mul_f64((1.0 + crowding) * self.slowness(options)),
        )
    }

    /// Returns the factor by which a cold engine is slower than a warm one.
    fn slowness(&self, options: &EngineOptions) -> f64 {
        if self.completed >= options.warm_after {
            return 1.0;
        }
        let coldness = 1.0 - f64::from(self.completed) / f64::from(options.warm_after);
        1.0 + (options.cold_factor - 1.0) * coldness
    }

    /// Drops a request. Returns whether it was there.
    pub fn cancel(&mut self, request: &str) -> bool {
        let before = self.running.len() + self.queue.len();
        self.running.retain(|job| job.request != request);
        self.queue.retain(|job| job.request != request);
        before != self.running.len() + self.queue.len()
    }

    /// Attaches a new writer to a request that runs or has ended.
    pub fn resume(&mut self, request: &str) -> Option<(Answer, mpsc::UnboundedReceiver<Progress>)> {
        let (out, progress) = mpsc::unbounded_channel();
        let mut jobs = self.running.iter_mut().chain(self.queue.iter_mut());
        if let Some(job) = jobs.find(|job| job.request == request) {
            let now = Progress {
                made: job.made,
                ended: false,
            };
            // The receiver is at hand, so this cannot fail.
            let _ignored = out.send(now);
            job.out = out;
            return Some((job.answer.clone(), progress));
        }
        let answer = self.ended.get(request)?.clone();
        let all = Progress {
            made: answer.total,
            ended: true,
        };
        let _ignored = out.send(all);
        Some((answer, progress))
    }

    fn admit(&mut self, options: &EngineOptions) {
        while self.running.len() < options.batch as usize {
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            self.running.push(job);
        }
    }

    fn retire(&mut self, counters: &mut Counters) {
        let ended = self
            .running
            .extract_if(.., |job| job.made >= job.answer.total);
        for job in ended {
            counters.completed += 1;
            self.completed = self.completed.saturating_add(1);
            self.order.push_back(job.request.clone());
            self.ended.insert(job.request, job.answer);
        }
        while self.order.len() > ENDED_LIMIT {
            if let Some(old) = self.order.pop_front() {
                self.ended.remove(&old);
            }
        }
    }
}

fn advance(job: &mut Job, options: &EngineOptions, faults: &EngineFaults) {
    if job.unread > 0 {
        job.unread = job.unread.saturating_sub(options.prefill);
        return;
    }
    if faults.held && job.made > 0 {
        return;
    }
    job.made += 1;
    let ended = job.made >= job.answer.total;
    let first = job.made == 1;
    if ended || first || job.made.is_multiple_of(options.burst.max(1)) {
        // A caller that has gone does not stop the request; a cancel does.
        let _ignored = job.out.send(Progress {
            made: job.made,
            ended,
        });
    }
}
