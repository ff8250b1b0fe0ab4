//! A counter of requests in flight that closes for a planned stop.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::sync::Notify;

/// Counts requests in flight; once closed it lets no new one in.
#[derive(Debug, Default)]
pub struct Gate {
    closed: AtomicBool,
    running: AtomicU32,
    ended: Notify,
}

/// Stands for one request in flight.
#[derive(Debug)]
pub struct Pass {
    gate: Arc<Gate>,
}

impl Gate {
    /// Lets a request in, unless the gate is closed or holds `limit` already.
    #[must_use]
    pub fn enter(self: &Arc<Self>, limit: u32) -> Option<Pass> {
        let before = self.running.fetch_add(1, Ordering::AcqRel);
        let pass = Pass {
            gate: Arc::clone(self),
        };
        (before < limit && !self.is_closed()).then_some(pass)
    }

    /// Tells whether the process is stopping.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Lets no new request in.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Waits until no request is in flight. Returns false after the timeout.
    pub async fn drained(&self, timeout: Duration) -> bool {
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

impl Drop for Pass {
    fn drop(&mut self) {
        self.gate.running.fetch_sub(1, Ordering::AcqRel);
        self.gate.ended.notify_waiters();
    }
}
