//! Start, HTTP listener, drain and stop, as shared by the three daemons.
//!
//! A daemon's `main.rs` calls [`launch::run`], which loads the settings, creates
//! a [`Context`] and passes both to the daemon. The daemon adds its routes to the
//! listener of [`http::build`] and runs the listener with [`http::serve`]. This
//! function prints the ready line and waits for a signal. It then closes the
//! [`request_tracker::RequestTracker`], waits until the requests in flight have
//! ended, and stops the listener.

pub mod body;
pub mod gate;
pub mod http;
pub mod launch;
pub mod problem;
pub mod request_tracker;
pub mod stop;

use crate::{
    core::{
        clock::{Clock, SystemClock},
        id::Name,
    },
    settings::common::{LogSettings, ProcessSettings, TimelineSettings},
    timeline::Recorder,
    util::log,
};
use metrics_exporter_prometheus::PrometheusHandle;
use request_tracker::RequestTracker;
use slog::Logger;
use std::{
    fmt,
    sync::{Arc, OnceLock, atomic::AtomicBool},
};

/// Shared objects of a daemon, passed to its parts so that they need no globals.
#[derive(Clone)]
pub struct Context {
    /// Root logger.
    pub log: Logger,
    /// Source of monotonic and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Recorder of events for the time line.
    pub events: Arc<Recorder>,
    /// Requests in flight; closed when the process stops.
    pub requests: Arc<RequestTracker>,
    /// Whether the process accepts work, as reported by `/health/ready`.
    pub ready: Arc<AtomicBool>,
    /// HTTP address that other processes connect to; empty until the listener is
    /// bound.
    pub http_address: Arc<OnceLock<Name>>,
    /// Handle that renders the metrics for `/metrics`.
    pub metrics: PrometheusHandle,
}

impl Context {
    /// Creates a context from settings. The process is not ready yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the event file cannot be opened or its writer thread
    /// cannot be started.
    pub fn new(
        process: &ProcessSettings,
        log: &LogSettings,
        timeline: &TimelineSettings,
        metrics: PrometheusHandle,
    ) -> eyre::Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let mut events = Recorder::new(&process.name, Arc::clone(&clock), timeline.events);
        if let Some(path) = &timeline.file {
            events = events.with_file(path)?;
        }
        Ok(Self {
            log: log::root(log, &process.name),
            clock,
            events: Arc::new(events),
            requests: Arc::default(),
            ready: Arc::default(),
            http_address: Arc::default(),
            metrics,
        })
    }
}

impl fmt::Debug for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Context")
            .field("requests", &self.requests)
            .field("ready", &self.ready)
            .finish_non_exhaustive()
    }
}
