//! The agent: the process beside each backend server that handles admission,
//! attempts, fencing and usage records.
//!
//! An entry's call arrives in [`routes`] and is checked against the configuration
//! in [`guard`]. The control thread ([`coordinator`]) records the attempt in
//! [`attempts`] and starts it when admission control ([`admission`]) allows. A
//! [`pump`] then copies the backend server's answer, which [`validation`] checks,
//! into an [`answer`] that the entry reads as frames. Usage is kept in
//! [`records`] until it is billed. Background [`tasks`] request load reports from
//! the backend server and send it its [`orders`].

pub mod admission;
pub mod answer;
pub mod attempts;
pub mod coordinator;
pub mod crashes;
pub mod engine_link;
pub mod external;
pub mod guard;
pub mod http_engine;
pub mod orders;
pub mod phase;
pub mod problem;
pub mod pump;
pub mod records;
pub mod routes;
pub mod tasks;
pub mod usage;
pub mod validation;

use crate::{
    core::{
        claim::ClaimStore,
        clock::Clock,
        engine::Engine,
        id::{AttemptId, Incarnation},
        map::FastMap,
        platform::Platform,
        weights::WeightStore,
    },
    daemon::{Context, http, request_tracker::RequestTracker},
    lease::{Identity, Lease, Poller},
    ledger::client::Client,
    net::{list::SkippedLog, nng, transport::Transport, wire::Role},
    settings::AgentSettings,
    timeline::Recorder,
};
use coordinator::{CoordinatorHandle, CoordinatorParts};
use external::{HttpPlatform, HttpWeights, UnlimitedWeights};
use http_engine::HttpEngine;
use records::{RecordParts, Records};
use slog::Logger;
use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
    time::Duration,
};
use tokio::sync::Notify;

/// Maximum time to wait for one confirmed poll, in milliseconds.
const POLL_TIMEOUT_MS: u64 = 750;

/// Interval at which the wait for a confirmed poll checks the lease, in
/// milliseconds.
const POLL_CHECK_INTERVAL_MS: u64 = 5;

/// Maximum time to bill the remaining usage records at a stop, in seconds.
const BILLING_FLUSH_SECS: u64 = 10;

/// State that the agent's tasks share.
pub struct Parts {
    /// Settings of the agent.
    pub settings: AgentSettings,
    /// Identifies this run of the agent. An attempt that names another run is
    /// rejected.
    pub incarnation: Incarnation,
    /// Clock for deadlines and leases.
    pub clock: Arc<dyn Clock>,
    /// Handle to the control thread.
    pub coordinator: CoordinatorHandle,
    /// Adapter for the backend server.
    pub engine: Arc<dyn Engine>,
    /// The configuration and the lease to use it.
    pub lease: Arc<dyn Lease>,
    /// Usage records that are not billed yet.
    pub records: Arc<Records>,
    /// Signals that cancel running attempts.
    pub cancels: CancelSignals,
    /// Counts requests in flight, and takes no new ones once the agent is
    /// stopping.
    pub requests: Arc<RequestTracker>,
    /// Whether the agent takes work, as `/health/ready` reports.
    pub ready: Arc<AtomicBool>,
    /// Recorder of time line events.
    pub events: Arc<Recorder>,
    /// Logger.
    pub log: Logger,
}

impl fmt::Debug for Parts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Parts")
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

impl Parts {
    /// Returns whether the agent takes work: its lease is valid, it is not
    /// stopping, and the backend server has sent a load report.
    pub fn is_ready(&self) -> bool {
        let leased = self.lease.held().is_valid(self.clock.now());
        leased && !self.requests.is_closed() && self.coordinator.view().incarnation.is_some()
    }

    /// Waits for a poll that was sent after this call and that control confirmed.
    /// Returns false if there is none in time.
    pub async fn refresh_config(&self) -> bool {
        // The first confirmed poll may have been sent before this call.
        self.next_poll().await && self.next_poll().await
    }

    async fn next_poll(&self) -> bool {
        let before = self.lease.held().until;
        let end = self.clock.now() + Duration::from_millis(POLL_TIMEOUT_MS);
        self.lease.poll_now();
        while self.lease.held().until == before {
            if self.clock.now() >= end {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(POLL_CHECK_INTERVAL_MS)).await;
        }
        true
    }
}

/// Signals that cancel running attempts. The pump of each attempt waits on its
/// signal.
#[derive(Debug, Default)]
pub struct CancelSignals {
    map: Mutex<FastMap<AttemptId, Arc<Notify>>>,
}

impl CancelSignals {
    /// Adds the signal of an attempt that starts, and returns it.
    pub fn register(&self, attempt: AttemptId) -> Arc<Notify> {
        let notify = Arc::new(Notify::new());
        self.lock().insert(attempt, Arc::clone(&notify));
        notify
    }

    /// Signals an attempt to cancel. Does nothing if the attempt is not running.
    pub fn notify(&self, attempt: AttemptId) {
        if let Some(notify) = self.lock().get(&attempt) {
            notify.notify_one();
        }
    }

    /// Removes the signal of an attempt that has ended.
    pub fn remove(&self, attempt: AttemptId) {
        self.lock().remove(&attempt);
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<AttemptId, Arc<Notify>>> {
        self.map.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// External systems that the agent uses, as trait objects so that tests can
/// replace them.
pub struct Dependencies {
    /// Adapter for the backend server.
    pub engine: Arc<dyn Engine>,
    /// The configuration and the lease to use it.
    pub lease: Arc<dyn Lease>,
    /// The ledger, where the agent commits bills.
    pub claims: Arc<dyn ClaimStore>,
    /// The weight store, which rate-limits the loading of weights.
    pub weights: Arc<dyn WeightStore>,
    /// The platform's list of VMs, if there is one.
    pub platform: Option<Arc<dyn Platform>>,
    /// Identifies this run of the agent.
    pub incarnation: Incarnation,
}

impl fmt::Debug for Dependencies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Dependencies").finish_non_exhaustive()
    }
}

/// Runs the agent with the given external systems until a signal stops it.
///
/// # Errors
///
/// Returns an error if the process cannot start.
pub async fn serve(
    settings: AgentSettings,
    context: Context,
    dependencies: Dependencies,
) -> eyre::Result<()> {
    let parts = Arc::new(build(settings, &context, &dependencies)?);
    spawn_tasks(&parts, dependencies);
    let rocket = http::build(&parts.settings.http, &context)?
        .manage(Arc::clone(&parts))
        .mount("/", routes::all());
    let line = http::ReadyLine {
        name: parts.settings.process.name.clone(),
        ..http::ReadyLine::default()
    };
    http::serve(rocket, &parts.settings.http, &context, line).await?;
    let timeout = Duration::from_secs(BILLING_FLUSH_SECS);
    if !parts.records.flush(timeout).await {
        slog::error!(parts.log, "stop: usage records are left unbilled";
            "records" => parts.records.len());
    }
    parts.coordinator.stop();
    Ok(())
}

fn build(
    settings: AgentSettings,
    context: &Context,
    dependencies: &Dependencies,
) -> eyre::Result<Parts> {
    let coordinator = CoordinatorHandle::start(CoordinatorParts {
        settings: settings.clone(),
        clock: Arc::clone(&context.clock),
        lease: Arc::clone(&dependencies.lease),
        log: context.log.clone(),
    })?;
    let records = Records::open(RecordParts {
        folder: settings.records.folder.clone(),
        grace: settings.records.bill_grace.0,
        clock: Arc::clone(&context.clock),
        claims: Arc::clone(&dependencies.claims),
        log: context.log.clone(),
    })?;
    Ok(Parts {
        settings,
        incarnation: dependencies.incarnation,
        clock: Arc::clone(&context.clock),
        coordinator,
        engine: Arc::clone(&dependencies.engine),
        lease: Arc::clone(&dependencies.lease),
        records: Arc::new(records),
        cancels: CancelSignals::default(),
        requests: Arc::clone(&context.requests),
        ready: Arc::clone(&context.ready),
        events: Arc::clone(&context.events),
        log: context.log.clone(),
    })
}

fn spawn_tasks(parts: &Arc<Parts>, dependencies: Dependencies) {
    tokio::spawn(tasks::poll_engine(Arc::clone(parts)));
    tokio::spawn(tasks::update_readiness(Arc::clone(parts)));
    tokio::spawn(tasks::send_orders(Arc::clone(parts), dependencies.weights));
    tokio::spawn(Arc::clone(&parts.records).sweep());
    if let Some(platform) = dependencies.platform {
        tokio::spawn(tasks::poll_platform(Arc::clone(parts), platform));
    }
}

/// Runs the daemon until a signal stops it.
///
/// # Errors
///
/// Returns an error if the process cannot start.
pub async fn run(settings: AgentSettings, context: Context) -> eyre::Result<()> {
    let incarnation = Incarnation::random();
    let transport: Arc<dyn Transport> = Arc::new(nng::Client::default());
    let poller = Poller::start(
        settings.control.clone(),
        identity(&settings, incarnation),
        Arc::clone(&transport),
        context.clone(),
    );
    let client = http_engine::client()?;
    let idle = settings.backend.idle_timeout.0;
    let dependencies = Dependencies {
        engine: Arc::new(HttpEngine::new(&settings.backend.url, idle)?),
        lease: poller,
        claims: Arc::new(Client::start(&settings.control, transport)),
        weights: weights(&settings, &client),
        platform: platform(&settings, client, &context),
        incarnation,
    };
    serve(settings, context, dependencies).await
}

fn identity(settings: &AgentSettings, incarnation: Incarnation) -> Identity {
    Identity {
        name: settings.process.name.as_str().into(),
        role: Role::Agent,
        incarnation,
        centre: settings.process.data_centre.as_str().into(),
        http: settings.http.listen.as_str().into(),
    }
}

fn weights(settings: &AgentSettings, client: &reqwest::Client) -> Arc<dyn WeightStore> {
    match &settings.weights.url {
        Some(url) => Arc::new(HttpWeights::new(client.clone(), url)),
        None => Arc::new(UnlimitedWeights),
    }
}

fn platform(
    settings: &AgentSettings,
    client: reqwest::Client,
    context: &Context,
) -> Option<Arc<dyn Platform>> {
    let url = settings.platform.url.as_ref()?;
    let skipped = SkippedLog::new("vms", context.log.clone(), Arc::clone(&context.clock));
    Some(Arc::new(HttpPlatform::new(client, url, skipped)))
}
