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
    /// The agent rejected it.
    Rejected,
    /// It failed, or may have run.
    Failed,
}

impl Cause {
    const fn price(self) -> f64 {
        match self {
            Self::NotSent => 0.0,
            Self::Rejected => REJECTION_PRICE,
            Self::Failed => 1.0,
        }
    }
}

/// A budget of retries.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    share: f64,
    saved: f64,
}

impl Budget {
    /// Builds a full budget that each request adds `share` retries to.
    #[must_use]
    pub const fn new(share: f64) -> Self {
        Self {
            share,
            saved: BURST_RETRIES,
        }
    }

    /// Counts a new request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(BURST_RETRIES);
    }

    /// Pays for a retry, if the budget allows it.
    pub fn spend(&mut self, cause: Cause) -> bool {
        let price = cause.price();
        if self.saved < price {
            return false;
        }
        self.saved -= price;
        true
    }
}
