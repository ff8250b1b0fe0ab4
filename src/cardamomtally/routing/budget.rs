//! The retry budget: retries as a share of requests.
//!
//! When backend servers fail, retries of every request would multiply the load
//! just when it hurts. Each request earns a share of a retry; what may have run
//! costs a whole one, an agent's quick rejection a quarter, since it costs no
//! backend server anything, and a connection that was refused nothing.
//!
//! Several processes may share one budget: each takes its part of what may be
//! saved up, and more of it the more requests it has had of late.

use crate::core::clock::Mono;
use std::time::Duration;

/// Time over which requests are counted that widen a shared budget.
const REQUEST_DECAY: Duration = Duration::from_secs(10);

/// Retries that are saved up while all is well.
const BURST_RETRIES: f64 = 32.0;

/// Price of a retry after an agent's rejection.
const REJECTION_COST: f64 = 0.25;

/// Why a request is tried again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Nothing was sent.
    NotSent,
    /// The agent or backend server rejected it.
    Rejected,
    /// It failed, or may have run.
    Failed,
}

/// A budget of retries.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    ratio: f64,
    tokens: f64,
    burst: f64,
    rejection_cost: f64,
}

impl Budget {
    /// Builds a full budget that each request adds `share` retries to.
    #[must_use]
    pub const fn new(ratio: f64) -> Self {
        Self {
            ratio,
            tokens: BURST_RETRIES,
            burst: BURST_RETRIES,
            rejection_cost: REJECTION_COST,
        }
    }

    /// Builds a full budget that saves up at most `burst` retries, where a
    /// rejection costs a backend server as much as a failure.
    #[must_use]
    pub const fn with_burst(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            tokens: burst,
            burst,
            rejection_cost: 1.0,
        }
    }

    /// Changes how many retries may be saved up.
    fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
    }

    /// Counts a new request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Pays for an attempt that nothing calls for, if a part of the burst is left
    /// after it.
    pub fn spend_above(&mut self, reserve: f64) -> bool {
        let enough = self.tokens >= self.burst * reserve + 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Pays for a retry, if the budget allows it.
    pub fn spend(&mut self, cause: Cause) -> bool {
        let cost = match cause {
            Cause::NotSent => 0.0,
            Cause::Rejected => self.rejection_cost,
            Cause::Failed => 1.0,
        };
        if self.tokens < cost {
            return false;
        }
        self.tokens -= cost;
        true
    }
}

/// How much several processes together may repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetShare {
    /// Retries that each request earns.
    pub share: f64,
    /// Retries that may be saved up for each request of the last while.
    pub spare: f64,
    /// Retries that all processes together may save up beside that.
    pub slack: f64,
}

impl Default for BudgetShare {
    fn default() -> Self {
        Self {
            share: 0.8,
            spare: 0.07,
            slack: 56.0,
        }
    }
}

/// One process's part of a budget that several share.
#[derive(Clone, Copy, Debug)]
pub struct SharedBudget {
    budget: Budget,
    terms: BudgetShare,
    recent: f64,
    updated: Mono,
}

impl SharedBudget {
    /// Builds the full part of one of `processes`.
    #[must_use]
    pub fn new(terms: BudgetShare, processes: u32, now: Mono) -> Self {
        let burst = terms.slack / f64::from(processes.max(1));
        Self {
            budget: Budget::with_burst(terms.share, burst),
            terms,
            recent: 0.0,
            updated: now,
        }
    }

    /// Counts a new request.
    pub fn earn(&mut self, processes: u32, now: Mono) {
        let passed = now.since(self.updated).as_secs_f64() / REQUEST_DECAY.as_secs_f64();
        self.recent = self.recent * (-passed).exp() + 1.0;
        self.updated = now;
        let base = self.terms.slack / f64::from(processes.max(1));
        self.budget.set_burst(base + self.terms.spare * self.recent);
        self.budget.earn();
    }

    /// Pays for an attempt that nothing calls for, see [`Budget::spend_above`].
    pub fn spend_above(&mut self, reserve: f64) -> bool {
        self.budget.spend_above(reserve)
    }

    /// Pays for a retry, if the budget allows it.
    pub fn spend(&mut self, cause: Cause) -> bool {
        self.budget.spend(cause)
    }
}
