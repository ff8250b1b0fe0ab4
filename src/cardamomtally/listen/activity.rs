//! What a connection is doing, for the checks of its limits.

use super::progress::Progress;
use crate::prelude::*;
use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};
use tokio::sync::Notify;

/// Least time that a client is left to send before it gives way to another one. A sound one
/// has sent the rest of a packet by then, also one that was lost once.
const GRACE: Duration = Duration::from_secs(1);

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
    /// Since when a request's body is being received; 0 if none is.
    body: AtomicU64,
    /// Whether the last request has a body of which the end was not read.
    unfinished: AtomicBool,
    /// What the client has sent of late.
    progress: Mutex<Progress>,
    /// Whether the body that is being received is to be given up.
    gives_way: AtomicBool,
    /// Notified when `gives_way` is set.
    given_way: Notify,
    /// Notified when the connection is to be closed for another one.
    dismissed: Notify,
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

    /// Records whether the last request has a body of which the end was not read.
    pub fn set_unfinished(&self, unfinished: bool) {
        self.unfinished.store(unfinished, Ordering::Release);
    }

    /// Tells whether the last request has a body of which the end was not read.
    pub fn is_unfinished(&self) -> bool {
        self.unfinished.load(Ordering::Acquire)
    }

    /// Records that a request's body is being received.
    pub fn begin_body(&self, now: Mono) {
        self.gives_way.store(false, Ordering::Release);
        self.body.store(now.0.max(1), Ordering::Release);
    }

    /// Records that no body is being received any more.
    pub fn end_body(&self) {
        self.body.store(0, Ordering::Release);
    }

    /// Tells whether a body has been received for so long that it may be given up.
    pub fn may_give_way(&self, now: Mono) -> bool {
        let since = self.body.load(Ordering::Acquire);
        since > 0 && now.since(Mono(since)) >= GRACE
    }

    /// Returns since when the connection waits for its client to send; `None` while a request
    /// that was received is in flight.
    pub fn unsent_since(&self) -> Option<Mono> {
        match self.waiting() {
            Some(Waiting::Request(since) | Waiting::Head(since)) => Some(since),
            None => {
                let since = Mono(self.body.load(Ordering::Acquire));
                (since > Mono::default()).then_some(since)
            }
        }
    }

    /// Returns the same if the client had its grace.
    pub fn idle_since(&self, now: Mono) -> Option<Mono> {
        let since = self.unsent_since();
        since.filter(|since| now.since(*since) >= GRACE)
    }

    /// Closes the connection for another one.
    pub fn dismiss(&self) {
        self.dismissed.notify_one();
    }

    /// Waits until the connection is to be closed for another one.
    pub async fn is_dismissed(&self) {
        self.dismissed.notified().await;
    }

    /// Lets the client whose body is being received give way to others.
    pub fn give_way(&self) {
        self.end_body();
        self.gives_way.store(true, Ordering::Release);
        self.given_way.notify_one();
    }

    /// Waits until the body that is being received is to be given up.
    pub async fn gives_way(&self) {
        // A notification can be left from an earlier body.
        while !self.gives_way.load(Ordering::Acquire) {
            self.given_way.notified().await;
        }
    }

    /// Returns the bytes that have arrived, each weighted by its age.
    pub fn recent(&self, now: Mono) -> f64 {
        self.lock_progress().recent(now)
    }

    fn lock_progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that bytes have arrived. Only the first bytes of a request set the time.
    pub fn note_bytes(&self, clock: &dyn Clock, count: usize) {
        self.lock_progress().note(clock.now(), count);
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
