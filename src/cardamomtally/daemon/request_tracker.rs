//! Counts requests in flight, so that a daemon can drain before it stops.
//!
//! The tracker also enforces the limit on concurrent requests. Once closed, it
//! refuses new requests, and the daemon waits until the count is zero.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::sync::Notify;

/// Counts requests in flight. A closed tracker refuses new requests.
#[derive(Debug, Default)]
pub struct RequestTracker {
    closed: AtomicBool,
    running: AtomicU32,
    ended: Notify,
}

/// Keeps one request counted as in flight until dropped.
#[derive(Debug)]
pub struct RequestGuard {
    tracker: Arc<RequestTracker>,
}

impl RequestTracker {
    /// Counts a new request and returns its guard. Returns `None` if the tracker is
    /// closed or `limit` requests are in flight already.
    #[must_use]
    pub fn try_start(self: &Arc<Self>, limit: u32) -> Option<RequestGuard> {
        let before = self.running.fetch_add(1, Ordering::AcqRel);
        let guard = RequestGuard {
            tracker: Arc::clone(self),
        };
        (before < limit && !self.is_closed()).then_some(guard)
    }

    /// Returns whether new requests are refused because the process is stopping.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Refuses all new requests from now on. Requests in flight are not affected.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Waits until no request is in flight. Returns false if requests are still in
    /// flight after `timeout`.
    pub async fn wait_drained(&self, timeout: Duration) -> bool {
        let wait = async {
            loop {
                let ended = self.ended.notified();
                if self.running() == 0 {
                    return;
                }
                ended.await;
            }
        };
        tokio::time::timeout(timeout, wait).await.is_ok()
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.tracker.running.fetch_sub(1, Ordering::AcqRel);
        self.tracker.ended.notify_waiters();
    }
}
