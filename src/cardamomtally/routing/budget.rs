//! A retry budget, which limits retries to a share of the requests.
//!
//! If every failed request were retried, the retries would multiply the load on
//! backend servers while these are already failing. The budget is a token bucket:
//! each request adds a fraction of a token, and a retry takes tokens according to
//! what the failed attempt may have cost. A retry of an attempt that may have run
//! takes one token. A retry after a rejection by an agent takes a quarter, as the
//! rejection used no time of a backend server; in a shared budget, where backend
//! servers themselves reject requests, it takes one. A retry of an attempt that was
//! not sent takes none.
//!
//! Several processes may share one budget. Each process then holds an equal part
//! of the tokens that may be saved up, and more while it receives more requests.
//!
//! While a budget is short, part of its tokens is reserved for retries with a higher
//! [`Standing`]. Each process reserves within its own part, so this needs no messages, and
//! all processes together never spend more than without it.

use crate::core::clock::Mono;
use std::time::Duration;

/// Time constant of the decaying count of requests, in proportion to which a
/// process may save up more tokens of a shared budget.
const REQUEST_DECAY: Duration = Duration::from_secs(10);

/// Number of tokens that a budget of one process starts with and saves up at most.
const BURST_RETRIES: f64 = 32.0;

/// Share of its equal part of a shared budget that a process holds when it has started.
const START_SHARE: f64 = 0.05;

/// Number of tokens of a full budget that optional attempts may use whatever is reserved.
const UNRESERVED_RETRIES: f64 = 2.5;

/// Share of the tokens that a budget can save up which the retry with the lowest standing
/// must leave for others. Below the share that escalations must leave, since retries go
/// before them.
const MAX_RETRY_RESERVE: f64 = 0.48;

/// Score of an answer that has just begun and has the least value, where 1 reserves nothing
/// and 0 reserves [`MAX_RETRY_RESERVE`]. A lower score breaks streams off while tokens
/// are left that no other request takes.
const BEGUN_SCORE: f64 = 0.9;

/// Score of an answer that has not begun and has the greatest value.
const UNBEGUN_SCORE: f64 = 0.2;

/// Number of tokens of a full budget that a retry may use whatever its standing. Where many
/// processes share a budget, the part of one is hardly more than this.
const UNRESERVED_BY_STANDING: f64 = 1.0;

/// Share of its expected length from which on an answer counts as near its end in metrics.
const NEAR_END: f64 = 0.5;

/// Tokens taken by a retry after a rejection by an agent. It is less than 1 because
/// a rejected attempt used no time of a backend server.
const REJECTION_COST: f64 = 0.25;

/// Why a request is retried, which decides what the retry costs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The attempt was not sent, so the retry is free.
    NotSent,
    /// The agent or the backend server rejected the attempt without running it.
    Rejected,
    /// The attempt failed, or may have run.
    Failed,
}

/// How much is lost if a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Share of the answer's expected length that the caller has; `None` if it has nothing
    /// yet.
    pub progress: Option<f64>,
    /// Value of the request by its priority, from 0 to 1.
    pub weight: f64,
}

impl Standing {
    /// Returns the share of the tokens that a budget can save up which a retry of this
    /// request must leave for others. Each answer that has begun goes before each one that
    /// has not, since the caller loses what it has and the remaining work is the least.
    #[must_use]
    pub fn reserve(&self) -> f64 {
        let share = |value: f64| {
            if value.is_nan() {
                0.0
            } else {
                value.clamp(0.0, 1.0)
            }
        };
        let weight = share(self.weight);
        let score = match self.progress {
            Some(progress) => BEGUN_SCORE + (1.0 - BEGUN_SCORE) * 0.5 * (share(progress) + weight),
            None => UNBEGUN_SCORE * weight,
        };
        MAX_RETRY_RESERVE * (1.0 - score)
    }

    /// Returns the rank for metrics: `near_end`, `begun`, `urgent` or `other`.
    #[must_use]
    pub fn rank(&self) -> &'static str {
        match self.progress {
            Some(progress) if progress >= NEAR_END => "near_end",
            Some(_) => "begun",
            None if self.weight >= 1.0 => "urgent",
            None => "other",
        }
    }
}

/// The retry budget of one process, as a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    ratio: f64,
    tokens: f64,
    burst: f64,
    rejection_cost: f64,
}

impl Budget {
    /// Builds a full budget to which each request adds `ratio` retries.
    #[must_use]
    pub const fn new(ratio: f64) -> Self {
        Self {
            ratio,
            tokens: BURST_RETRIES,
            burst: BURST_RETRIES,
            rejection_cost: REJECTION_COST,
        }
    }

    /// Builds a full budget that saves up at most `burst` retries. A retry after a
    /// rejection takes a whole token here, because a rejection costs the backend
    /// server as much as a failure.
    #[must_use]
    pub const fn with_burst(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            tokens: burst,
            burst,
            rejection_cost: 1.0,
        }
    }

    /// Sets how many retries may be saved up.
    fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Adds the tokens that a new request earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one token for an optional attempt, such as an escalation, and tells
    /// whether it may be made. It may not if fewer than the share `reserve` of the
    /// burst would remain, so that tokens are left for retries after failures. A part
    /// of the burst is never reserved: where many processes share a budget, the part
    /// of one is hardly more than a token, and would be reserved as a whole.
    pub fn spend_optional(&mut self, reserve: f64) -> bool {
        let free = (self.burst - UNRESERVED_RETRIES).max(0.0);
        let reserved = (self.burst * reserve).min(free);
        let enough = self.tokens >= reserved + 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Takes the tokens for a retry, and tells whether the retry may be made.
    pub fn spend(&mut self, cause: Cause) -> bool {
        self.spend_above(cause, 0.0)
    }

    /// Takes the tokens for a retry, and tells whether the retry may be made. It may not if
    /// fewer than the share `reserve` of the burst would remain. A retry that is free may
    /// always be made.
    pub fn spend_above(&mut self, cause: Cause, reserve: f64) -> bool {
        let cost = match cause {
            Cause::NotSent => return true,
            Cause::Rejected => self.rejection_cost,
            Cause::Failed => 1.0,
        };
        let free = (self.burst - UNRESERVED_BY_STANDING).max(0.0);
        let reserved = (self.burst * reserve).min(free);
        if self.tokens < reserved + cost {
            return false;
        }
        self.tokens -= cost;
        true
    }
}

/// Limits on the retries of several processes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetTerms {
    /// Number of retries that each request earns.
    pub ratio: f64,
    /// Number of retries that a process may save up for each of its recent requests
    /// (a count that decays over 10 s).
    pub burst_ratio: f64,
    /// Number of retries that all processes together may save up regardless of their
    /// requests, in equal parts.
    pub base_burst: f64,
    /// Time after a process has started for which it holds few retries, since it does not
    /// know how many it has spent before. At least as long as the window in which the
    /// retries of all processes are limited.
    pub settle_time: Duration,
}

impl Default for BudgetTerms {
    fn default() -> Self {
        Self {
            ratio: 0.8,
            burst_ratio: 0.07,
            base_burst: 56.0,
            settle_time: Duration::from_secs(10),
        }
    }
}

/// One process's part of a budget that several processes share.
#[derive(Clone, Copy, Debug)]
pub struct SharedBudget {
    budget: Budget,
    terms: BudgetTerms,
    processes: u32,
    /// When the process holds its whole part, if it does not yet.
    settles: Option<Mono>,
    recent: f64,
    updated: Mono,
}

impl SharedBudget {
    /// Builds the part of one of `processes` processes, which has started at `started`.
    #[must_use]
    pub fn new(terms: BudgetTerms, processes: u32, started: Mono, now: Mono) -> Self {
        let base = terms.base_burst / f64::from(processes.max(1));
        Self {
            budget: Budget::with_burst(terms.ratio, base * START_SHARE),
            terms,
            processes,
            settles: Some(started + terms.settle_time),
            recent: 0.0,
            updated: now,
        }
    }

    /// Adds the tokens that a new request earns, and adjusts how many may be saved up
    /// to the number of processes and to the recent requests of this one.
    pub fn earn(&mut self, processes: u32, now: Mono) {
        self.processes = processes;
        self.decay(now);
        self.recent += 1.0;
        self.limit();
        self.budget.earn();
    }

    /// Takes one token for an optional attempt; see [`Budget::spend_optional`].
    pub fn spend_optional(&mut self, reserve: f64, now: Mono) -> bool {
        self.decay(now);
        self.limit();
        self.budget.spend_optional(reserve)
    }

    /// Takes the tokens for a retry, and tells whether the retry may be made.
    pub fn spend(&mut self, cause: Cause, now: Mono) -> bool {
        self.spend_above(cause, 0.0, now)
    }

    /// Takes the tokens for a retry that leaves the share `reserve` for others; see
    /// [`Budget::spend_above`].
    pub fn spend_above(&mut self, cause: Cause, reserve: f64, now: Mono) -> bool {
        self.decay(now);
        self.limit();
        self.budget.spend_above(cause, reserve)
    }

    /// Lets the count of recent requests decay until now.
    fn decay(&mut self, now: Mono) {
        let passed = now.since(self.updated).as_secs_f64() / REQUEST_DECAY.as_secs_f64();
        self.recent *= (-passed).exp();
        self.updated = now;
    }

    /// Lowers the number of tokens to what may be saved up now.
    fn limit(&mut self) {
        let mut base = self.terms.base_burst / f64::from(self.processes.max(1));
        if self.settles.is_some_and(|at| self.updated >= at) {
            self.settles = None;
            self.budget.tokens += base * (1.0 - START_SHARE);
        }
        if self.settles.is_some() {
            base *= START_SHARE;
        }
        self.budget
            .set_burst(base + self.terms.burst_ratio * self.recent);
    }
}
