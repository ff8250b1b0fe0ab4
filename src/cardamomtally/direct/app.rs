//! The state that all requests of an entry share, and what they record in it.

use super::{
    config::{outcomes::OutcomeCounts, poller::ConfigPoller},
    content::guard::ContentGuard,
    exchange::{
        backlog::{BacklogSums, ServerKey},
        peers::{Knowledge, Peers},
    },
    fleet::{
        pacing::sharing_entries,
        registry::{Choice, Registry},
        statement::Statement,
    },
    link::{
        memory::AnswerMemory,
        pool::{Answer, Pool, SendError},
    },
    request::{call::Call, names::HeaderNames},
};
use crate::{
    prelude::*,
    quarantine::report::Report,
    routing::budget::{BudgetTerms, Cause, SharedBudget},
    scheduling::settings::SchedulingSettings,
};
use slog::Logger;
use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

/// Upper limit of a single answer's lateness, in percent of the expected time.
/// It keeps one very late answer from dominating the average of a version.
const MAX_LATENESS_PERCENT: f64 = 800.0;
/// Share of the tokens that a retry budget can save up which escalations to a
/// larger model must leave for retries after failures.
const RETRY_RESERVE: f64 = 0.5;

/// The state that all requests of an entry share.
#[derive(Debug)]
pub struct App {
    /// Names of the headers that the entry reads and sets.
    pub names: HeaderNames,
    /// The configuration and its lease.
    pub config: Arc<ConfigPoller>,
    /// Load and health of the backend servers.
    pub registry: Arc<Registry>,
    /// Connections to the backend servers.
    pub pool: Pool,
    /// Memory for answers that are being read.
    pub memory: AnswerMemory,
    /// Exchange of backlog sums with the other entries.
    pub peers: Arc<Peers>,
    /// Keeps content that ends backend servers from being sent.
    pub content: Arc<ContentGuard>,
    /// Counts of answers since the last poll.
    pub counts: Arc<OutcomeCounts>,
    /// Clock that goes on while the VM is suspended.
    pub clock: Arc<dyn Clock>,
    /// The root logger.
    pub log: Logger,
    /// When the process started.
    pub started: Mono,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    /// Number of requests in flight.
    pub running: AtomicU64,
    /// Terms of the retry budget that all entries together share for each
    /// service.
    pub retries: BudgetTerms,
    /// Settings of overload control; `None` if the deployment does not ask for it.
    pub scheduling: Option<SchedulingSettings>,
    /// This entry's part of the retry budgets, by service.
    pub budgets: Mutex<FastMap<Name, SharedBudget>>,
    /// When the next ignored value of a backend server's answer may be logged.
    pub ignored_log: Mutex<Mono>,
}

impl App {
    /// Tells whether the entry accepts new requests: its lease is valid and no
    /// planned stop has begun.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let valid = self.config.current().is_valid(self.clock.now());
        valid && !self.stopping.load(Ordering::Acquire)
    }

    /// Records what a backend server says of itself in its answer.
    pub fn record_statement(
        &self,
        call: &Call,
        choice: &Choice,
        sent: Result<&Answer, &SendError>,
    ) {
        let Ok(answer) = sent else { return };
        let (status, headers) = (answer.response.status(), answer.response.headers());
        let Some(statement) = Statement::read(&self.names, &call.id, status, headers) else {
            return;
        };
        let entries = sharing_entries(&self.config.current());
        let leaves = self.registry.record_statement(choice, statement, entries);
        self.log_statement(choice, &statement, leaves);
    }

    /// Takes a retry from the budget of a service. Returns whether the budget
    /// allowed it.
    pub fn spend_retry(&self, service: &Name, cause: Cause) -> bool {
        let now = self.clock.now();
        self.budget(service, |budget| budget.spend(cause, now))
    }

    /// Takes an escalation to a larger model from the budget of a service.
    /// Returns whether enough was left for retries after failures.
    pub fn spend_escalation(&self, service: &Name) -> bool {
        let now = self.clock.now();
        self.budget(service, |budget| budget.spend_optional(RETRY_RESERVE, now))
    }

    /// Adds a new request's share to the retry budget of its service.
    pub fn count_request(&self, service: &Name) {
        let entries = sharing_entries(&self.config.current());
        let now = self.clock.now();
        self.budget(service, |budget| budget.earn(entries, now));
    }

    fn budget<T>(&self, service: &Name, act: impl FnOnce(&mut SharedBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(budget) = budgets.get_mut(service) {
            return act(budget);
        }
        let entries = sharing_entries(&self.config.current());
        let now = self.clock.now();
        let budget = SharedBudget::new(self.retries, entries, self.started, now);
        act(budgets.entry(Arc::clone(service)).or_insert(budget))
    }

    /// Counts the beginning of an answer for the comparison of versions during a
    /// roll-out. `first` is the time to its first byte.
    pub fn count_start(&self, call: &Call, choice: &Choice, first: Duration) {
        let backend = &choice.backend;
        let lateness = lateness(first, choice.idle_ttft());
        let route = &call.route.name;
        self.counts
            .add_start(route, &backend.service, &backend.version, lateness);
    }

    /// Counts the end of an answer for the comparison of versions, good or bad.
    pub fn count_end(&self, call: &Call, choice: &Choice, good: bool) {
        let backend = &choice.backend;
        let route = &call.route.name;
        self.counts
            .add_end(route, &backend.service, &backend.version, good);
    }
}

impl Knowledge for App {
    fn apply_peer_sums(&self, entry: &Name, sums: BacklogSums) {
        self.registry.apply_peer_sums(entry, sums);
    }

    fn own_sums(&self, max: usize) -> BacklogSums {
        self.registry.own_sums(max)
    }

    fn record_replaced(&self, servers: &[ServerKey]) {
        self.registry.record_replaced(servers);
    }

    fn replaced(&self, max: usize) -> Vec<ServerKey> {
        self.registry.replaced(max)
    }

    fn uses_account(&self) -> bool {
        self.registry.uses_account()
    }

    fn merge(&self, report: &Report) {
        self.content.merge(report);
    }

    fn news(&self) -> Report {
        self.content.news()
    }
}

/// Returns the time to the first byte in percent of the expected time.
fn lateness(first: Duration, expected: Duration) -> u32 {
    let expected = expected.as_secs_f64().max(0.001);
    let ratio = first.as_secs_f64() / expected;
    (ratio * 100.0).min(MAX_LATENESS_PERCENT) as u32
}
