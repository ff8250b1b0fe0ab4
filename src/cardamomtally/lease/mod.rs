//! What a process holds: the configuration and the lease to use it.
//!
//! A control thread polls the members and publishes each confirmed
//! configuration as a [`Held`]. Traffic threads load it without a lock and
//! check its lease at the moment of use.

pub mod poller;
pub mod reports;
pub mod rotation;
pub mod state;

pub use poller::{Identity, Poller};

use crate::{
    core::{clock::Mono, config::ConfigRef, digest::Digest, snapshot::Snapshot},
    net::wire::{CrashReport, HealthReport},
};
use std::{fmt::Debug, sync::Arc};

/// A configuration and the lease to use it.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// The configuration, compiled.
    pub snapshot: Arc<Snapshot>,
    /// The configuration as control sent it.
    pub config: ConfigRef,
    /// End of the lease, on this process's monotonic clock.
    pub until: Mono,
}

impl Held {
    /// Tells whether the lease is valid. Before the first poll it is not.
    pub fn is_valid(&self, now: Mono) -> bool {
        now < self.until
    }
}

/// What a process holds, and what it tells control.
pub trait Lease: Debug + Send + Sync {
    /// Returns what the process holds now.
    fn held(&self) -> Arc<Held>;

    /// Adds outcomes of a version to the next poll.
    fn report(&self, health: HealthReport);

    /// Adds a crash of a backend server to the next poll, and polls at once.
    fn crash(&self, crash: CrashReport);

    /// Tells that a suspected request has ended without a crash.
    fn cleared(&self, _digest: Digest) {}

    /// Polls at once, if the process polls at all.
    fn poll_now(&self) {}
}

/// A lease that is set by hand, for tests and benches.
#[derive(Debug, Default)]
pub struct FixedLease {
    held: arc_swap::ArcSwap<Held>,
    reports: std::sync::Mutex<Vec<HealthReport>>,
    crashes: std::sync::Mutex<Vec<CrashReport>>,
}

impl FixedLease {
    /// Replaces what is held.
    pub fn set(&self, held: Held) {
        self.held.store(Arc::new(held));
    }

    /// Takes the outcomes reported so far.
    ///
    /// # Panics
    ///
    /// Panics if a reporting thread panicked.
    pub fn take_reports(&self) -> Vec<HealthReport> {
        std::mem::take(&mut *self.reports.lock().expect("no reporter panics"))
    }

    /// Takes the crashes reported so far.
    ///
    /// # Panics
    ///
    /// Panics if a reporting thread panicked.
    pub fn take_crashes(&self) -> Vec<CrashReport> {
        std::mem::take(&mut *self.crashes.lock().expect("no reporter panics"))
    }
}

impl Lease for FixedLease {
    fn held(&self) -> Arc<Held> {
        self.held.load_full()
    }

    fn report(&self, health: HealthReport) {
        self.reports
            .lock()
            .expect("no reporter panics")
            .push(health);
    }

    fn crash(&self, crash: CrashReport) {
        self.crashes.lock().expect("no reporter panics").push(crash);
    }
}
