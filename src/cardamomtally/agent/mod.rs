//! The process beside each backend server: admission, attempts, fencing, usage.
//!
//! An entry's call arrives in [`routes`], is checked against the configuration
//! ([`guard`]) and handed to the control thread ([`desk`]), which records the
//! attempt ([`attempts`]) and lets it start when admission ([`admission`])
//! allows. A [`pump`] then carries the backend server's answer, checked by
//! [`whole`], into an [`answer`] that the entry reads as frames. What was used
//! is kept in [`records`] until it is billed. Meanwhile [`watch`] reads the
//! backend server and gives it its [`orders`].

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

/// Longest wait for one confirmed poll.
const REPOLL_MS: u64 = 750;

/// Time between two looks during that wait.
const REPOLL_LOOK_MS: u64 = 5;

/// Longest time to bill what is left at a stop.
const FLUSH_SECS: u64 = 10;

/// What the agent's tasks share.
pub struct Parts {
    /// Settings.
    pub settings: AgentSettings,
    /// This run of the agent.
    pub incarnation: Incarnation,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The control thread.
    pub desk: Desk,
    /// The backend server.
    pub engine: Arc<dyn Engine>,
    /// The configuration and its lease.
    pub lease: Arc<dyn Lease>,
    /// Usage records.
    pub records: Arc<Records>,
    /// Cancels on their way to pumps.
    pub cancels: Cancels,
    /// Requests in flight.
    pub gate: Arc<Gate>,
    /// Whether the agent takes work.
    pub ready: Arc<AtomicBool>,
    /// The time line.
    pub events: Arc<Recorder>,
    /// The log.
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
    /// Tells whether the agent takes work.
    pub fn is_ready(&self) -> bool {
        let leased = self.lease.held().is_valid(self.clock.now());
        leased && !self.gate.is_closed() && self.desk.view().incarnation.is_some()
    }

    /// Waits for a poll that was sent after this call and confirmed. Returns
    /// false if there is none in time.
    pub async fn repoll(&self) -> bool {
        // The first may have been on its way already.
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

/// How cancels reach the pumps of running attempts.
#[derive(Debug, Default)]
pub struct Cancels {
    map: Mutex<FastMap<AttemptId, Arc<Notify>>>,
}

impl Cancels {
    /// Adds an attempt that runs.
    pub fn add(&self, attempt: AttemptId) -> Arc<Notify> {
        let notify = Arc::new(Notify::new());
        self.lock().insert(attempt, Arc::clone(&notify));
        notify
    }

    /// Cancels an attempt.
    pub fn notify(&self, attempt: AttemptId) {
        if let Some(notify) = self.lock().get(&attempt) {
            notify.notify_one();
        }
    }

    /// Removes an attempt that has ended.
    pub fn remove(&self, attempt: AttemptId) {
        self.lock().remove(&attempt);
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<AttemptId, Arc<Notify>>> {
        self.map.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What an agent meets through trait objects.
pub struct Outside {
    /// The backend server.
    pub engine: Arc<dyn Engine>,
    /// The configuration and its lease.
    pub lease: Arc<dyn Lease>,
    /// The ledger.
    pub claims: Arc<dyn ClaimStore>,
    /// The weight store.
    pub weights: Arc<dyn WeightStore>,
    /// The platform's list, if there is one.
    pub platform: Option<Arc<dyn Platform>>,
    /// This run of the agent.
    pub incarnation: Incarnation,
}

impl fmt::Debug for Outside {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Outside").finish_non_exhaustive()
    }
}

/// Runs the agent on what it meets outside until a signal stops it.
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
