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
    link::pool::{Answer, Pool, SendError},
    request::{call::Call, names::HeaderNames},
    serve::queue::HoldQueue,
    stop::PlannedStop,
};
use crate::{
    listen::memory::BufferMemory,
    prelude::*,
    quarantine::report::Report,
    routing::budget::{BudgetTerms, Cause, SharedBudget, Standing},
    scheduling::{
        escalation::{self, Escalation, EscalationPrice, Verdict},
        outlook::Outlook,
        settings::SchedulingSettings,
    },
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

/// This entry's part of the retry budget of a service, and the price of escalations there.
#[derive(Debug)]
pub struct ServiceBudget {
    retries: SharedBudget,
    price: EscalationPrice,
}

/// What an escalation costs while overload control is active, and whether it is worth that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quote {
    /// Price of a millisecond of work, in value of answers.
    pub price: f64,
    /// Work that the escalation displaces, in milliseconds.
    pub displaced: f64,
    /// Whether the escalation is worth its work.
    pub verdict: Verdict,
}

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
    /// Memory for messages and streams.
    pub memory: Arc<BufferMemory>,
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
    /// How far the planned stop has come.
    pub stop: PlannedStop,
    /// Number of requests in flight.
    pub running: AtomicU64,
    /// Terms of the retry budget that all entries together share for each
    /// service.
    pub retries: BudgetTerms,
    /// Settings of overload control; `None` if the deployment does not ask for it.
    pub scheduling: Option<SchedulingSettings>,
    /// Requests that are held while backend servers have too much work waiting.
    pub queue: HoldQueue,
    /// This entry's part of the retry budgets, by service.
    pub budgets: Mutex<FastMap<Name, ServiceBudget>>,
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
    /// allowed it. With a standing, the retry leaves tokens for those with a
    /// higher one.
    pub fn spend_retry(&self, service: &Name, cause: Cause, standing: Option<Standing>) -> bool {
        let now = self.clock.now();
        let reserve = standing.map_or(0.0, |standing| standing.reserve());
        let allowed = self.budget(service, |budget| {
            budget.retries.spend_above(cause, reserve, now)
        });
        if !allowed {
            let rank = standing.map_or("none", |standing| standing.rank());
            metrics::counter!("cardamomtally_direct_retries_denied_total", "rank" => rank)
                .increment(1);
        }
        allowed
    }

    /// Takes an escalation to a larger model from the budget of a service.
    /// Returns whether enough was left for retries after failures.
    pub fn spend_escalation(&self, service: &Name) -> bool {
        let now = self.clock.now();
        self.budget(service, |budget| {
            budget.retries.spend_optional(RETRY_RESERVE, now)
        })
    }

    /// Learns what the work on first answers is worth, from an answer that has begun. `work`
    /// is the time that the backend server has spent on the prompt, in milliseconds.
    pub fn record_first_answer(&self, call: &Call, confidence: Option<f64>, work: f64) {
        let Some(settings) = &self.scheduling else {
            return;
        };
        let weight = escalation::value_weight(call.priority, settings.priority_ratio);
        let value = weight * escalation::answer_share(confidence);
        let now = self.clock.now();
        self.budget(&call.service.name, |budget| {
            budget.price.record_first(value, work, now);
        });
    }

    /// Decides whether an escalation is worth the work that it displaces. Returns `None` if
    /// overload control is not active for the service.
    pub fn quote_escalation(
        &self,
        call: &Call,
        confidence: Option<f64>,
        outlook: &Outlook,
    ) -> Option<Quote> {
        let settings = self.scheduling.as_ref().filter(|_| outlook.active)?;
        let now = self.clock.now();
        let config = self.config.current();
        let table = config.table.as_ref();
        let shortest = table.and_then(|table| table.shortest_target(&call.service.name));
        let target = shortest.unwrap_or(call.route.target);
        let weight = escalation::value_weight(call.priority, settings.priority_ratio);
        let passed = now.since(call.received).as_secs_f64() * 1e3;
        let escalation = Escalation {
            gain: weight * (1.0 - escalation::answer_share(confidence)),
            work: outlook.prefill,
            in_time: passed + outlook.first <= call.route.target.as_secs_f64() * 1e3,
        };
        let price = self.budget(&call.service.name, |budget| {
            budget.price.observe(outlook.mean_wait, target, now)
        });
        let verdict = escalation::decide(price, &escalation);
        if verdict != Verdict::Allowed {
            metrics::counter!("cardamomtally_direct_escalations_denied_total",
                "why" => verdict.as_str())
            .increment(1);
        }
        Some(Quote {
            price,
            displaced: outlook.prefill,
            verdict,
        })
    }

    /// Adds a new request's share to the retry budget of its service.
    pub fn count_request(&self, service: &Name) {
        let entries = sharing_entries(&self.config.current());
        let now = self.clock.now();
        self.budget(service, |budget| budget.retries.earn(entries, now));
    }

    fn budget<T>(&self, service: &Name, act: impl FnOnce(&mut ServiceBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(budget) = budgets.get_mut(service) {
            return act(budget);
        }
        let entries = sharing_entries(&self.config.current());
        let now = self.clock.now();
        let budget = ServiceBudget {
            retries: SharedBudget::new(self.retries, entries, self.started, now),
            price: EscalationPrice::default(),
        };
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
