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
pub mod crashes;
pub mod desk;
pub mod guard;
pub mod http_engine;
pub mod orders;
pub mod outside;
pub mod phase;
pub mod problem;
pub mod pump;
pub mod records;
pub mod routes;
pub mod usage;
pub mod watch;
pub mod whole;

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
    daemon::{Context, gate::Gate, http},
    lease::{Identity, Lease, Poller},
    ledger::client::Client,
    net::{nng, transport::Transport, wire::Role},
    settings::AgentSettings,
    timeline::Recorder,
};
use desk::{Desk, DeskParts};
use http_engine::HttpEngine;
use outside::{FreeWeights, HttpPlatform, HttpWeights};
use records::{RecordParts, Records};
use slog::Logger;
use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
    time::Duration,
};
use tokio::sync::Notify;

/// Maximum time to wait for one confirmed poll, in milliseconds.
const REPOLL_MS: u64 = 750;

/// Interval at which that wait checks for the poll's result, in milliseconds.
const REPOLL_LOOK_MS: u64 = 5;

/// Maximum time to bill the remaining usage records at a stop, in seconds.
const FLUSH_SECS: u64 = 10;

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
    pub desk: Desk,
    /// Adapter for the backend server.
    pub engine: Arc<dyn Engine>,
    /// The configuration and the lease to use it.
    pub lease: Arc<dyn Lease>,
    /// Usage records that are not billed yet.
    pub records: Arc<Records>,
    /// Signals that cancel running attempts.
    pub cancels: Cancels,
    /// Counts requests in flight, and takes no new ones once the agent is
    /// stopping.
    pub gate: Arc<Gate>,
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
        leased && !self.gate.is_closed() && self.desk.view().incarnation.is_some()
    }

    /// Waits for a poll that was sent after this call and that control confirmed.
    /// Returns false if there is none in time.
    pub async fn repoll(&self) -> bool {
        // The first confirmed poll may have been sent before this call.
        self.next_poll().await && self.next_poll().await
    }

    async fn next_poll(&self) -> bool {
        let before = self.lease.held().until;
        let end = self.clock.now() + Duration::from_millis(REPOLL_MS);
        self.lease.poll_now();
        while self.lease.held().until == before {
            if self.clock.now() >= end {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(REPOLL_LOOK_MS)).await;
        }
        true
    }
}

/// Signals that cancel running attempts. The pump of each attempt waits on its
/// signal.
#[derive(Debug, Default)]
pub struct Cancels {
    map: Mutex<FastMap<AttemptId, Arc<Notify>>>,
}

impl Cancels {
    /// Adds the signal of an attempt that starts, and returns it.
    pub fn add(&self, attempt: AttemptId) -> Arc<Notify> {
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
pub struct Outside {
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

impl fmt::Debug for Outside {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Outside").finish_non_exhaustive()
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
    outside: Outside,
) -> eyre::Result<()> {
    let parts = Arc::new(build(settings, &context, &outside)?);
    spawn_tasks(&parts, outside);
    let rocket = http::build(&parts.settings.http, &context)?
        .manage(Arc::clone(&parts))
        .mount("/", routes::all());
    let line = http::Bound {
        name: parts.settings.process.name.clone(),
        ..http::Bound::default()
    };
    http::serve(rocket, &parts.settings.http, &context, line).await?;
    let timeout = Duration::from_secs(FLUSH_SECS);
    if !parts.records.flush(timeout).await {
        slog::error!(parts.log, "stop: usage records are left unbilled";
            "records" => parts.records.len());
    }
    parts.desk.stop();
    Ok(())
}

fn build(settings: AgentSettings, context: &Context, outside: &Outside) -> eyre::Result<Parts> {
    let desk = Desk::start(DeskParts {
        settings: settings.clone(),
        clock: Arc::clone(&context.clock),
        lease: Arc::clone(&outside.lease),
        log: context.log.clone(),
    })?;
    let records = Records::open(RecordParts {
        folder: settings.records.folder.clone(),
        grace: settings.records.bill_grace.0,
        clock: Arc::clone(&context.clock),
        claims: Arc::clone(&outside.claims),
        log: context.log.clone(),
    })?;
    Ok(Parts {
        settings,
        incarnation: outside.incarnation,
        clock: Arc::clone(&context.clock),
        desk,
        engine: Arc::clone(&outside.engine),
        lease: Arc::clone(&outside.lease),
        records: Arc::new(records),
        cancels: Cancels::default(),
        gate: Arc::clone(&context.gate),
        ready: Arc::clone(&context.ready),
        events: Arc::clone(&context.events),
        log: context.log.clone(),
    })
}

fn spawn_tasks(parts: &Arc<Parts>, outside: Outside) {
    tokio::spawn(watch::read_engine(Arc::clone(parts)));
    tokio::spawn(watch::watch_ready(Arc::clone(parts)));
    tokio::spawn(watch::give_orders(Arc::clone(parts), outside.weights));
    tokio::spawn(Arc::clone(&parts.records).sweep());
    if let Some(platform) = outside.platform {
        tokio::spawn(watch::read_platform(Arc::clone(parts), platform));
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
    let outside = Outside {
        engine: Arc::new(HttpEngine::new(&settings.backend.url, idle)?),
        lease: poller,
        claims: Arc::new(Client::start(&settings.control, transport)),
        weights: weights(&settings, &client),
        platform: platform(&settings, client),
        incarnation,
    };
    serve(settings, context, outside).await
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
        None => Arc::new(FreeWeights),
    }
}

fn platform(settings: &AgentSettings, client: reqwest::Client) -> Option<Arc<dyn Platform>> {
    let url = settings.platform.url.as_ref()?;
    Some(Arc::new(HttpPlatform::new(client, url)))
}
