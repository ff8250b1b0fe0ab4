//! The open connections of a listener, of which there is a largest number.
//!
//! When all are taken, a newcomer is not left to wait behind clients that send nothing: the
//! connection without a request in flight whose client has sent least of late is closed for
//! it. Each client has a grace before that. If no connection can be closed, the newcomer
//! waits.

use super::activity::Activity;
use crate::prelude::*;
use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};
use tokio::sync::Notify;

/// The open connections of a listener.
#[derive(Debug)]
pub struct Crowd {
    most: usize,
    open: Mutex<FastMap<u64, Arc<Activity>>>,
    last_key: AtomicU64,
    /// Notified when a connection has ended.
    left: Notify,
}

/// The place of an open connection, which is free again when this is dropped.
#[derive(Debug)]
pub struct Place {
    /// Whether another connection was closed for it.
    pub closed_another: bool,
    crowd: Arc<Crowd>,
    key: u64,
}

impl Crowd {
    /// Builds a listener's connections, of which at most `most` are open.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            most,
            open: Mutex::default(),
            last_key: AtomicU64::new(0),
            left: Notify::new(),
        }
    }

    /// Takes a place for a connection. Closes another one if all places are taken. Returns
    /// `None` if none can be closed now.
    pub fn enter(self: &Arc<Self>, activity: &Arc<Activity>, now: Mono) -> Option<Place> {
        let mut open = self.lock();
        let closed_another = open.len() >= self.most;
        if closed_another {
            let key = least_active(&open, now)?;
            if let Some(closed) = open.remove(&key) {
                closed.dismiss();
            }
        }
        let key = self.last_key.fetch_add(1, Ordering::Relaxed);
        open.insert(key, Arc::clone(activity));
        Some(Place {
            closed_another,
            crowd: Arc::clone(self),
            key,
        })
    }

    /// Tells whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Waits until a connection ends.
    pub async fn wait_left(&self) {
        self.left.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<u64, Arc<Activity>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        // A connection that was closed for another one has lost its place already.
        if self.crowd.lock().remove(&self.key).is_some() {
            self.crowd.left.notify_one();
        }
    }
}

/// Returns the connection that may be closed and whose client has sent least of late; of
/// several, the one that has waited longest.
fn least_active(open: &FastMap<u64, Arc<Activity>>, now: Mono) -> Option<u64> {
    let idle = open
        .iter()
        .filter_map(|(key, activity)| Some((*key, activity.idle_since(now)?, activity)));
    let rank =
        |(key, since, activity): (u64, Mono, &Arc<Activity>)| (activity.recent(now), since, key);
    let least = idle
        .map(rank)
        .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    least.map(|(_, _, key)| key)
}
