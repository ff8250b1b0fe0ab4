//! What the parts of an entry share.

use super::{
    agents::{Agents, CallError, Opened, RunCall},
    breach::Breach,
    health::{Health, Sign},
    life::Life,
    rating::RATINGS_LIMIT,
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
        tracker::{BackendTracker, Criteria, Outcome, Pick, SlotKey},
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

/// An entry's parts, shared by all requests.
pub struct App {
    /// Its settings.
    pub settings: EntrySettings,
    /// Log, clock, gate, events.
    pub context: Context,
    /// The rule that a test breaks.
    pub breach: Breach,
    /// The configuration and its lease.
    pub lease: Arc<dyn Lease>,
    /// The ledger.
    pub ledger: Arc<dyn ClaimStore>,
    /// The agents.
    pub agents: Arc<dyn Agents>,
    /// This run of the entry.
    pub incarnation: Incarnation,
    /// The rating service, if there is one.
    pub rater: Option<Arc<dyn Rater>>,
    /// Bounds the ratings under way.
    pub ratings: Semaphore,
    /// Outcomes by version.
    pub health: Health,
    /// Sessions served lately.
    pub sessions: Sessions,
    /// The chart of submissions that may not be repeated.
    pub life: Life,
    sequence: AtomicU64,
    router: Mutex<Router>,
}

/// State of the routing decisions, behind one short lock.
#[derive(Debug)]
pub struct Router {
    /// The backend servers.
    pub board: BackendTracker,
    /// The retry budget.
    pub budget: Budget,
    /// Versions that fail at this entry.
    pub guards: Ejections,
    /// The learned quality.
    pub cascades: Cascades,
    /// Random numbers.
    pub rng: SmallRng,
}

impl fmt::Debug for App {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("App")
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

/// The borders that an entry is built on.
#[derive(Clone, Debug)]
pub struct Borders {
    /// The rule that a test breaks.
    pub breach: Breach,
    /// This run of the entry.
    pub incarnation: Incarnation,
    /// The configuration and its lease.
    pub lease: Arc<dyn Lease>,
    /// The ledger.
    pub ledger: Arc<dyn ClaimStore>,
    /// The agents.
    pub agents: Arc<dyn Agents>,
    /// The rating service, if there is one.
    pub rater: Option<Arc<dyn Rater>>,
}

impl App {
    /// Builds the parts. `seed` fixes the random numbers of decisions.
    #[must_use]
    pub fn new(settings: EntrySettings, context: Context, borders: Borders, seed: u64) -> Self {
        let process = &settings.process;
        let board = BackendTracker::new(
            &process.name,
            &process.data_centre,
            settings.routing.clone(),
        );
        let router = Router {
            board,
            budget: Budget::new(settings.retry.budget),
            guards: Ejections::default(),
            cascades: Cascades::default(),
            rng: SmallRng::seed_from_u64(seed),
        };
        Self {
            settings,
            context,
            breach: borders.breach,
            lease: borders.lease,
            ledger: borders.ledger,
            agents: borders.agents,
            rater: borders.rater,
            ratings: Semaphore::new(RATINGS_LIMIT),
            health: Health::default(),
            sessions: Sessions::default(),
            incarnation: borders.incarnation,
            life: Life::default(),
            sequence: AtomicU64::new(0),
            router: Mutex::new(router),
        }
    }

    /// Returns the time.
    pub fn now(&self) -> Mono {
        self.context.clock.now()
    }

    /// Draws a new request id.
    pub fn next_request(&self) -> RequestId {
        RequestId {
            entry: self.incarnation,
            seq: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Returns what is held, if its lease is valid now.
    pub fn held(&self) -> Option<Arc<LeasedConfig>> {
        let held = self.lease.held();
        held.is_valid(self.now()).then_some(held)
    }

    /// Locks the routing state.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses a backend server by a configuration.
    pub fn choose(&self, snapshot: &Snapshot, ask: &Criteria<'_>) -> Option<Pick> {
        let now = self.now();
        let mut router = self.router();
        let Router { board, rng, .. } = &mut *router;
        board.apply_snapshot(snapshot);
        board.choose(ask, now, rng)
    }

    /// Applies an operation to the ledger, again until it answers or a bounded
    /// wait has passed.
    ///
    /// # Errors
    ///
    /// Returns the last error. The operation may still be committed.
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

    /// Plans a cascade.
    pub fn plan(&self, workspace: &WorkspaceId, target: f64, steps: &[Step], class: u8) -> Plan {
        let mut router = self.router();
        let Router { cascades, rng, .. } = &mut *router;
        cascades.plan(workspace, target, steps, class, rng)
    }

    /// Learns a rating.
    pub fn rated(&self, workspace: &WorkspaceId, version: &VersionId, class: u8, score: f64) {
        self.router()
            .cascades
            .record_rating(workspace, version, class, score);
    }

    /// Leaves out versions that fail at this entry, as long as others are left.
    pub fn healthy(&self, snapshot: &Snapshot, keys: Vec<VersionKey>) -> Vec<VersionKey> {
        let now = self.now();
        let router = self.router();
        let good = |key: &VersionKey| router.guards.allows(&snapshot.versions[*key].id, now);
        if !keys.iter().any(good) {
            return keys;
        }
        keys.into_iter().filter(good).collect()
    }

    /// Counts an outcome of a version, for control and for this entry's own
    /// quicker reaction.
    pub fn count(&self, version: &VersionId, sign: Sign) {
        self.health.count(version, sign);
        let bad = matches!(sign, Sign::Bad | Sign::RatedBad);
        let now = self.now();
        self.router().guards.record(version, bad, now);
    }

    /// Pays for a retry, if the budget allows it.
    pub fn pay(&self, cause: Cause) -> bool {
        self.router().budget.spend(cause)
    }

    /// Returns the wait before a retry.
    pub fn backoff(&self, retry: u32) -> Duration {
        let settings = &self.settings.retry;
        let rng = &mut self.router().rng;
        crate::routing::backoff::delay(settings.backoff.0, settings.backoff_limit.0, retry, rng)
    }

    /// Returns true with a probability.
    pub fn chance(&self, share: f64) -> bool {
        self.router().rng.random_bool(share.clamp(0.0, 1.0))
    }

    /// Learns a load that came along with an answer or a rejection.
    pub fn loaded(&self, slot: SlotKey, load: Option<Load>, incarnation: Option<Incarnation>) {
        if let Some(load) = load {
            let now = self.now();
            self.router()
                .board
                .record_load(slot, load, incarnation, now);
        }
    }

    /// Learns how an attempt fared.
    pub fn outcome(&self, slot: SlotKey, target: &Target, outcome: Outcome) {
        let now = self.now();
        self.router()
            .board
            .record_outcome(slot, target, outcome, now);
    }

    /// Learns a probe's answer.
    pub fn probed(&self, probe: &Probe) {
        let now = self.now();
        self.router().board.record_probe(probe, now);
    }

    /// Probes backend servers of a target at the set rate, without waiting.
    pub fn probe_some(self: &Arc<Self>, target: &Target) {
        let rate = self.settings.routing.probe_rate;
        let count = rate as u32 + u32::from(self.chance(rate.fract()));
        for _ in 0..count {
            let Some(agent) = self.draw_probe(target) else {
                return;
            };
            let app = Arc::clone(self);
            tokio::spawn(async move {
                if let Ok(probe) = app.agents.probe(agent).await {
                    app.probed(&probe);
                }
            });
        }
    }

    fn draw_probe(&self, target: &Target) -> Option<Name> {
        let mut router = self.router();
        let Router { board, rng, .. } = &mut *router;
        board.probe_target(target, rng)
    }

    /// Sends an attempt and learns from its answer's head.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn send(
        self: &Arc<Self>,
        slot: SlotKey,
        call: RunCall,
    ) -> Result<(Opened, InFlight), CallError> {
        let flight = InFlight::new(self, slot, call.attempt, &call.agent, &call.head.target);
        match self.agents.run(call).await {
            Ok(opened) => {
                self.loaded(slot, opened.load, opened.incarnation);
                Ok((opened, flight))
            }
            Err(error) => {
                flight.failed(&error);
                Err(error)
            }
        }
    }
}

/// Stands for one attempt in flight; its drop takes it off the board.
#[derive(Debug)]
pub struct InFlight {
    app: Arc<App>,
    /// The attempt.
    pub attempt: AttemptId,
    /// Address of its agent.
    pub agent: Name,
    slot: SlotKey,
    target: Target,
    sent: Mono,
}

impl InFlight {
    fn new(
        app: &Arc<App>,
        slot: SlotKey,
        attempt: AttemptId,
        agent: &Name,
        target: &Target,
    ) -> Self {
        app.router().board.begin(slot);
        Self {
            app: Arc::clone(app),
            attempt,
            agent: Arc::clone(agent),
            slot,
            target: target.clone(),
            sent: app.now(),
        }
    }

    /// Reports that the first byte came.
    pub fn first_byte(&self) {
        let time = self.app.now().since(self.sent);
        self.report(Outcome::Success(time));
    }

    /// Reports how the attempt fared.
    pub fn report(&self, outcome: Outcome) {
        self.app.outcome(self.slot, &self.target, outcome);
    }

    fn failed(&self, error: &CallError) {
        match error {
            CallError::Rejected(rejection) => {
                self.app
                    .loaded(self.slot, rejection.load, rejection.incarnation);
                self.report(Outcome::Neutral);
            }
            CallError::NotSent(_) | CallError::Ambiguous(_) => self.report(Outcome::Failure),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.app.router().board.end(self.slot);
    }
}
