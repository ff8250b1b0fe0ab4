//! The configuration of a process and the lease that limits its use.
//!
//! An entry or agent may use a configuration only while its lease is valid. This
//! bounds how long a process that is cut off from the control group goes on with an
//! outdated configuration. The [`Poller`] thread polls the control members and
//! publishes each confirmed configuration as a [`LeasedConfig`]. Traffic threads load
//! it without a lock and check the lease at the moment of use.

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

/// A configuration with the end of its lease.
#[derive(Clone, Debug, Default)]
pub struct LeasedConfig {
    /// The configuration, compiled for look-ups.
    pub snapshot: Arc<Snapshot>,
    /// The configuration as the control member sent it.
    pub config: ConfigRef,
    /// End of the lease on this process's monotonic clock. The process takes no new
    /// work from then on.
    pub until: Mono,
}

impl LeasedConfig {
    /// Tells whether the lease is valid. Before the first successful poll it is not.
    pub fn is_valid(&self, now: Mono) -> bool {
        now < self.until
    }
}

/// Access to the leased configuration, and to the reports that the process sends to
/// the control group with its polls.
pub trait Lease: Debug + Send + Sync {
    /// Returns the current configuration and its lease.
    fn held(&self) -> Arc<LeasedConfig>;

    /// Adds outcomes of a version to the next poll. Many failures cause a poll at once.
    fn report_health(&self, health: HealthReport);

    /// Adds a crash of a backend server to the reports, and polls at once.
    fn report_crash(&self, report: CrashReport);

    /// Adds to the next poll that a request suspected of causing crashes has ended
    /// without one.
    fn report_cleared(&self, _digest: Digest) {}

    /// Polls at once, if the implementation polls at all.
    fn poll_now(&self) {}
}

/// A lease without a poller, for tests and benchmarks: the caller sets the
/// configuration and reads the reports back.
#[derive(Debug, Default)]
pub struct FixedLease {
    held: arc_swap::ArcSwap<LeasedConfig>,
    reports: std::sync::Mutex<Vec<HealthReport>>,
    crashes: std::sync::Mutex<Vec<CrashReport>>,
}

impl FixedLease {
    /// Replaces the configuration and its lease.
    pub fn set(&self, held: LeasedConfig) {
        self.held.store(Arc::new(held));
    }

    /// Removes and returns the outcomes reported so far.
    ///
    /// # Panics
    ///
    /// Panics if a reporting thread panicked.
    pub fn take_reports(&self) -> Vec<HealthReport> {
        std::mem::take(&mut *self.reports.lock().expect("no reporter panics"))
    }

    /// Removes and returns the crashes reported so far.
    ///
    /// # Panics
    ///
    /// Panics if a reporting thread panicked.
    pub fn take_crashes(&self) -> Vec<CrashReport> {
        std::mem::take(&mut *self.crashes.lock().expect("no reporter panics"))
    }
}

impl Lease for FixedLease {
    fn held(&self) -> Arc<LeasedConfig> {
        self.held.load_full()
    }

    fn report_health(&self, health: HealthReport) {
        self.reports
            .lock()
            .expect("no reporter panics")
            .push(health);
    }

    fn report_crash(&self, report: CrashReport) {
        self.crashes
            .lock()
            .expect("no reporter panics")
            .push(report);
    }
}
