//! What a backend server has asked this entry for: no new requests any more, since it
//! leaves, or none for a time.
//!
//! Both hold from the answer on, without control, and whatever the list of backend servers
//! shows. They end with the instance: one that has left the list and comes back, or that is
//! ready again after the list has shown it as not ready, begins anew.

use crate::prelude::*;

/// Requests of one backend server for no new work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Withdrawal {
    leaving: bool,
    /// Whether the list has shown it as not ready since it said that it leaves.
    listed: bool,
    /// End of the time in which it wants no requests.
    until: Mono,
}

impl Withdrawal {
    /// Records that the backend server leaves. Returns whether that is news.
    pub const fn leave(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Records that the backend server wants no requests for a time. Answers can overtake
    /// each other, so that the latest end counts.
    pub fn pause(&mut self, now: Mono, time: Duration) {
        self.until = self.until.max(now + time);
    }

    /// Tells whether the backend server has said that it leaves.
    #[must_use]
    pub const fn leaves(&self) -> bool {
        self.leaving
    }

    /// Returns the time that is left of a pause, or none if there is no pause.
    #[must_use]
    pub fn pause_left(&self, now: Mono) -> Option<Duration> {
        let left = self.until.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Compares with the list of backend servers, which shows whether it is ready.
    pub const fn compare(&mut self, ready: bool) {
        if !ready {
            self.listed = self.leaving;
        } else if self.listed {
            self.leaving = false;
            self.listed = false;
        }
    }
}
