//! How much a client has sent of late.

use crate::prelude::*;

/// Time after which bytes count half as much.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// The bytes that have arrived, each of which counts less the longer ago it came.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    bytes: f64,
    at: Mono,
}

impl Progress {
    /// Adds bytes that have arrived now.
    pub fn note(&mut self, now: Mono, bytes: usize) {
        self.bytes = self.recent(now) + bytes as f64;
        self.at = now;
    }

    /// Returns the bytes that have arrived, each weighted by its age.
    #[must_use]
    pub fn recent(&self, now: Mono) -> f64 {
        let halvings = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.bytes * 0.5_f64.powf(halvings)
    }
}
