//! State and operations that all requests of an entry share.

use super::{
    agents::{Agents, AnswerStream, AttemptRequest, CallError},
    fault::InjectedFault,
    health::{Health, VersionOutcome},
    lifecycle::Lifecycle,
    rating::CONCURRENT_RATINGS_LIMIT,
    session::Sessions,
};
use crate::{
    core::{
        claim::{ClaimError, ClaimOp, ClaimReply, ClaimStore},
        clock::Mono,
        config::VersionId,
        id::{AttemptId, Incarnation, Name, RequestId},
        rater::Rater,
        snapshot::{Snapshot, VersionKey},
    },
    daemon::Context,
    lease::{Lease, LeasedConfig},
    net::run::{Load, Probe, Target},
    routing::{
        budget::{Budget, Cause},
        cascade::{Cascades, Plan, Step, WorkspaceId},
        ejection::Ejections,
        tracker::{BackendTracker, Criteria, Outcome, Pick, RecordKey},
    },
    settings::EntrySettings,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::{
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::Semaphore;

/// The state of an entry, shared by all requests.
pub struct App {
    /// Settings of the entry.
    pub settings: EntrySettings,
    /// Log, clock, request tracker and time line of the process.
    pub context: Context,
    /// The fault that a test injects; none in daemons.
    pub fault: InjectedFault,
    /// The configuration and the lease on it.
    pub lease: Arc<dyn Lease>,
    /// The ledger of claims, sessions and bills.
    pub ledger: Arc<dyn ClaimStore>,
    /// Interface to the agents.
    pub agents: Arc<dyn Agents>,
    /// Identifies this run of the process; part of each request id.
    pub incarnation: Incarnation,
    /// The rating service, if the settings name one.
    pub rater: Option<Arc<dyn Rater>>,
    /// Limits concurrent ratings to [`CONCURRENT_RATINGS_LIMIT`].
    pub ratings: Semaphore,
    /// Counts of outcomes by version, for control.
    pub health: Health,
    /// Cache of the versions of sessions.
    pub sessions: Sessions,
    /// State machine of submissions that must not be repeated.
    pub lifecycle: Lifecycle,
    sequence: AtomicU64,
    router: Mutex<Router>,
}

/// State of the routing decisions, behind a lock that is only held for short
/// computations.
#[derive(Debug)]
pub struct Router {
    /// Load, health and attempts in flight of the backend servers.
    pub tracker: BackendTracker,
    /// Limits retries to a share of the requests.
    pub budget: Budget,
    /// Versions that fail at this entry and are left out for a time.
    pub ejections: Ejections,
    /// Quality of the versions, learned from ratings.
    pub cascades: Cascades,
    /// Random numbers for the routing decisions.
    pub rng: SmallRng,
}

impl fmt::Debug for App {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("App")
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

/// External services that an entry uses, which tests replace.
#[derive(Clone, Debug)]
pub struct Dependencies {
    /// The fault that a test injects; none in daemons.
    pub fault: InjectedFault,
    /// Identifies this run of the process; part of each request id.
    pub incarnation: Incarnation,
    /// The configuration and the lease on it.
    pub lease: Arc<dyn Lease>,
    /// The ledger of claims, sessions and bills.
    pub ledger: Arc<dyn ClaimStore>,
    /// Interface to the agents.
    pub agents: Arc<dyn Agents>,
    /// The rating service, if the settings name one.
    pub rater: Option<Arc<dyn Rater>>,
}

impl App {
    /// Builds the state of an entry. `seed` fixes the random numbers of its
    /// decisions.
    #[must_use]
    pub fn new(
        settings: EntrySettings,
        context: Context,
        dependencies: Dependencies,
        seed: u64,
    ) -> Self {
        let process = &settings.process;
        let tracker = BackendTracker::new(
            &process.name,
            &process.data_centre,
            settings.routing.clone(),
        );
        let router = Router {
            tracker,
            budget: Budget::new(settings.retry.budget),
            ejections: Ejections::default(),
            cascades: Cascades::default(),
            rng: SmallRng::seed_from_u64(seed),
        };
        Self {
            settings,
            context,
            fault: dependencies.fault,
            lease: dependencies.lease,
            ledger: dependencies.ledger,
            agents: dependencies.agents,
            rater: dependencies.rater,
            ratings: Semaphore::new(CONCURRENT_RATINGS_LIMIT),
            health: Health::default(),
            sessions: Sessions::default(),
            incarnation: dependencies.incarnation,
            lifecycle: Lifecycle::default(),
            sequence: AtomicU64::new(0),
            router: Mutex::new(router),
        }
    }

    /// Returns the current time of the process's monotonic clock.
    pub fn now(&self) -> Mono {
        self.context.clock.now()
    }

    /// Returns a new request id.
    pub fn next_request(&self) -> RequestId {
        RequestId {
            entry: self.incarnation,
            seq: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Returns the configuration if its lease is valid now.
    pub fn valid_config(&self) -> Option<Arc<LeasedConfig>> {
        let leased = self.lease.held();
        leased.is_valid(self.now()).then_some(leased)
    }

    /// Locks the routing state. The lock must not be held across an await
    /// point.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses a backend server under a configuration; `None` if none can take
    /// the request.
    pub fn choose(&self, snapshot: &Snapshot, criteria: &Criteria<'_>) -> Option<Pick> {
        let now = self.now();
        let mut router = self.router();
        let Router { tracker, rng, .. } = &mut *router;
        tracker.apply_snapshot(snapshot);
        tracker.choose(criteria, now, rng)
    }

    /// Applies an operation to the ledger, and repeats it until the ledger
    /// answers, `ledger_wait` has passed or the deadline is reached.
    ///
    /// # Errors
    ///
    /// Returns the last error. The operation may still be committed later.
    pub async fn apply(&self, op: ClaimOp, deadline: Mono) -> Result<ClaimReply, ClaimError> {
        let until = deadline.min(self.now() + self.settings.retry.ledger_wait.0);
        let mut retry = 0;
        loop {
            let left = until.since(self.now());
            let error = match tokio::time::timeout(left, self.ledger.apply(op.clone())).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(error)) => error,
                Err(_elapsed) => ClaimError {
                    reason: "the ledger gave no answer in time".to_owned(),
                    refused: false,
                },
            };
            let wait = self.backoff(retry);
            if self.now() + wait >= until {
                return Err(error);
            }
            tokio::time::sleep(wait).await;
            retry += 1;
        }
    }

    /// Chooses the cascade step that a request starts with.
    pub fn plan(&self, workspace: &WorkspaceId, target: f64, steps: &[Step], class: u8) -> Plan {
        let mut router = self.router();
        let Router { cascades, rng, .. } = &mut *router;
        cascades.plan(workspace, target, steps, class, rng)
    }

    /// Records the rating of an answer for later plans.
    pub fn record_rating(
        &self,
        workspace: &WorkspaceId,
        version: &VersionId,
        class: u8,
        score: f64,
    ) {
        self.router()
            .cascades
            .record_rating(workspace, version, class, score);
    }

    /// Returns `keys` without the versions that fail at this entry. If all of
    /// them fail, returns all.
    pub fn without_ejected(&self, snapshot: &Snapshot, keys: Vec<VersionKey>) -> Vec<VersionKey> {
        let now = self.now();
        let router = self.router();
        let good = |key: &VersionKey| router.ejections.allows(&snapshot.versions[*key].id, now);
        if !keys.iter().any(good) {
            return keys;
        }
        keys.into_iter().filter(good).collect()
    }

    /// Counts an outcome of a version. The control members get the count with the
    /// next poll. The ejections of this entry get it as well, so that the entry
    /// can leave out a failing version before the control members suspend it.
    pub fn count_outcome(&self, version: &VersionId, outcome: VersionOutcome) {
        self.health.count(version, outcome);
        let bad = matches!(outcome, VersionOutcome::Bad | VersionOutcome::RatedBad);
        let now = self.now();
        self.router().ejections.record(version, bad, now);
    }

    /// Takes a retry from the retry budget; returns false if the budget does
    /// not allow it.
    pub fn spend_retry_budget(&self, cause: Cause) -> bool {
        self.router().budget.spend(cause)
    }

    /// Returns the wait before a retry, with exponential backoff and jitter.
    pub fn backoff(&self, retry: u32) -> Duration {
        let settings = &self.settings.retry;
        let rng = &mut self.router().rng;
        crate::routing::backoff::delay(settings.backoff.0, settings.backoff_limit.0, retry, rng)
    }

    /// Returns true with probability `share`.
    pub fn random_bool(&self, share: f64) -> bool {
        self.router().rng.random_bool(share.clamp(0.0, 1.0))
    }

    /// Records a load that came with an answer or a refusal.
    pub fn record_load(
        &self,
        record: RecordKey,
        load: Option<Load>,
        incarnation: Option<Incarnation>,
    ) {
        if let Some(load) = load {
            let now = self.now();
            self.router()
                .tracker
                .record_load(record, load, incarnation, now);
        }
    }

    /// Records the outcome of an attempt for its backend server.
    pub fn record_outcome(&self, record: RecordKey, target: &Target, outcome: Outcome) {
        let now = self.now();
        self.router()
            .tracker
            .record_outcome(record, target, outcome, now);
    }

    /// Records the load that a probe returned.
    pub fn record_probe(&self, probe: &Probe) {
        let now = self.now();
        self.router().tracker.record_probe(probe, now);
    }

    /// Starts probes of a target's backend servers, `probe_rate` of them on
    /// average, without waiting for their answers.
    pub fn start_probes(self: &Arc<Self>, target: &Target) {
        let rate = self.settings.routing.probe_rate;
        let count = rate as u32 + u32::from(self.random_bool(rate.fract()));
        for _ in 0..count {
            let Some(agent) = self.probe_target(target) else {
                return;
            };
            let app = Arc::clone(self);
            tokio::spawn(async move {
                if let Ok(probe) = app.agents.probe(agent).await {
                    app.record_probe(&probe);
                }
            });
        }
    }

    fn probe_target(&self, target: &Target) -> Option<Name> {
        let mut router = self.router();
        let Router { tracker, rng, .. } = &mut *router;
        tracker.probe_target(target, rng)
    }

    /// Sends an attempt, and records the load that its answer or refusal
    /// states.
    ///
    /// # Errors
    ///
    /// Returns why the answer has not started.
    pub async fn send(
        self: &Arc<Self>,
        record: RecordKey,
        call: AttemptRequest,
    ) -> Result<(AnswerStream, InFlight), CallError> {
        let flight = InFlight::new(self, record, call.attempt, &call.agent, &call.head.target);
        match self.agents.run(call).await {
            Ok(stream) => {
                self.record_load(record, stream.load, stream.incarnation);
                Ok((stream, flight))
            }
            Err(error) => {
                flight.report_error(&error);
                Err(error)
            }
        }
    }
}

/// An attempt in flight, which counts towards the load of its backend server
/// until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    app: Arc<App>,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Address of the agent that runs the attempt.
    pub agent: Name,
    record: RecordKey,
    target: Target,
    sent_at: Mono,
}

impl InFlight {
    fn new(
        app: &Arc<App>,
        record: RecordKey,
        attempt: AttemptId,
        agent: &Name,
        target: &Target,
    ) -> Self {
        app.router().tracker.begin(record);
        Self {
            app: Arc::clone(app),
            attempt,
            agent: Arc::clone(agent),
            record,
            target: target.clone(),
            sent_at: app.now(),
        }
    }

    /// Reports that the first byte arrived now, and with it the time since the
    /// attempt was sent.
    pub fn first_byte(&self) {
        let time = self.app.now().since(self.sent_at);
        self.report(Outcome::Success(time));
    }

    /// Reports the outcome of the attempt.
    pub fn report(&self, outcome: Outcome) {
        self.app.record_outcome(self.record, &self.target, outcome);
    }

    fn report_error(&self, error: &CallError) {
        match error {
            CallError::Rejected(rejection) => {
                self.app
                    .record_load(self.record, rejection.load, rejection.incarnation);
                self.report(Outcome::Neutral);
            }
            CallError::NotSent(_) | CallError::Ambiguous(_) => self.report(Outcome::Failure),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.app.router().tracker.end(self.record);
    }
}
