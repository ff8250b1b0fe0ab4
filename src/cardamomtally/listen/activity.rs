//! What a connection is doing, for the checks of its limits.

use crate::prelude::*;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

/// What a connection is doing.
#[derive(Debug, Default)]
pub struct Activity {
    /// Requests in flight.
    busy: AtomicU32,
    /// When the last request ended or the connection was opened, in
    /// microseconds.
    ended: AtomicU64,
    /// When the first bytes of the next request arrived; 0 if none have.
    bytes: AtomicU64,
    /// Since when the caller's socket has taken nothing; 0 if it takes bytes.
    blocked: AtomicU64,
    /// Whether the end of the connection is that of the answer, as in HTTP/1.0.
    unframed: AtomicBool,
    /// Whether the connection is reset when it is dropped.
    reset: AtomicBool,
}

/// What a connection without a request in flight waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Waiting {
    /// The first byte of a request, since this time.
    Request(Mono),
    /// The end of a request's head, since this time.
    Head(Mono),
}

impl Activity {
    /// Builds the state of a connection that was opened at this time.
    #[must_use]
    pub fn opened(now: Mono) -> Self {
        Self {
            ended: AtomicU64::new(now.0),
            ..Self::default()
        }
    }

    /// Returns what the connection waits for; `None` while a request is in flight.
    pub fn waiting(&self) -> Option<Waiting> {
        if self.busy.load(Ordering::Acquire) > 0 {
            return None;
        }
        let bytes = Mono(self.bytes.load(Ordering::Acquire));
        if bytes > Mono::default() {
            return Some(Waiting::Head(bytes));
        }
        Some(Waiting::Request(Mono(self.ended.load(Ordering::Acquire))))
    }

    /// Returns since when the client's socket has taken nothing; zero if it takes bytes.
    pub fn blocked(&self) -> Mono {
        Mono(self.blocked.load(Ordering::Acquire))
    }

    /// Makes the end of the connection visible as that of a broken answer. Where answers are
    /// framed, the missing end shows it, and a reset could cost the caller events.
    pub fn break_off(&self) {
        let unframed = self.unframed.load(Ordering::Acquire);
        self.reset.store(unframed, Ordering::Release);
    }

    /// Tells whether the connection is to be reset when it is dropped.
    pub fn resets(&self) -> bool {
        self.reset.load(Ordering::Acquire)
    }

    /// Counts a request as in flight. `unframed` tells whether the end of the connection is
    /// that of its answer.
    pub fn begin(&self, unframed: bool) {
        self.busy.fetch_add(1, Ordering::AcqRel);
        self.unframed.store(unframed, Ordering::Release);
    }

    /// Records that the answer to a request has been written or given up.
    pub fn end(&self, now: Mono) {
        self.ended.store(now.0, Ordering::Release);
        self.bytes.store(0, Ordering::Release);
        self.busy.fetch_sub(1, Ordering::AcqRel);
    }

    /// Records that bytes have arrived. Only the first bytes of a request set the time.
    pub fn note_bytes(&self, clock: &dyn Clock) {
        if self.busy.load(Ordering::Acquire) == 0 && self.bytes.load(Ordering::Acquire) == 0 {
            self.bytes.store(clock.now().0, Ordering::Release);
        }
    }

    /// Records what came of writing to the caller's socket.
    pub fn note_write(&self, clock: &dyn Clock, taken: bool) {
        let blocked = self.blocked.load(Ordering::Acquire) > 0;
        if taken && blocked {
            self.blocked.store(0, Ordering::Release);
        } else if !taken && !blocked {
            self.blocked.store(clock.now().0, Ordering::Release);
        }
    }
}
