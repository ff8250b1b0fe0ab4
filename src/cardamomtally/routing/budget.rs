//! The retry budget: retries as a share of requests.
//!
//! When backend servers fail, retries of every request would multiply the load
//! just when it hurts. Each request earns a share of a retry; what may have run
//! costs a whole one, an agent's quick rejection a quarter, since it costs no
//! backend server anything, and a connection that was refused nothing.

/// Retries that are saved up while all is well.
const BURST_RETRIES: f64 = 32.0;

/// Price of a retry after an agent's rejection.
const REJECTION_PRICE: f64 = 0.25;

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
    share: f64,
    saved: f64,
    burst: f64,
    rejection: f64,
}

impl Budget {
    /// Builds a full budget that each request adds `share` retries to.
    #[must_use]
    pub const fn new(share: f64) -> Self {
        Self {
            share,
            saved: BURST_RETRIES,
            burst: BURST_RETRIES,
            rejection: REJECTION_PRICE,
        }
    }

    /// Builds a full budget that saves up at most `burst` retries, where a
    /// rejection costs a backend server as much as a failure.
    #[must_use]
    pub const fn with_burst(share: f64, burst: f64) -> Self {
        Self {
            share,
            saved: burst,
            burst,
            rejection: 1.0,
        }
    }

    /// Counts a new request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(self.burst);
    }

    /// Pays for an attempt that nothing calls for, if a part of the burst is left
    /// after it.
    pub fn spend_above(&mut self, part: f64) -> bool {
        let enough = self.saved >= self.burst * part + 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }

    /// Pays for a retry, if the budget allows it.
    pub fn spend(&mut self, cause: Cause) -> bool {
        let price = match cause {
            Cause::NotSent => 0.0,
            Cause::Rejected => self.rejection,
            Cause::Failed => 1.0,
        };
        if self.saved < price {
            return false;
        }
        self.saved -= price;
        true
    }
}
