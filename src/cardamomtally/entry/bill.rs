//! Bills: one for each request, over all its attempts and cascade steps.
//!
//! The bill is committed before the last byte goes to the caller. If the ledger
//! gives no answer within a bounded wait, the caller gets its answer all the
//! same: the agents keep their usage records until a bill is acknowledged, and
//! bring it to the ledger by themselves. The request id makes it one bill.

use super::{answer::Answer, app::App, fault::InjectedFault, health::VersionOutcome};
use crate::{
    core::{
        claim::{Bill, ClaimOp},
        config::VersionId,
        id::{AttemptId, Name, RequestId},
    },
    net::run::Usage,
    routing::cascade::WorkspaceId,
};
use std::sync::Arc;

/// Millionths of the unit of account in a thousandth of it.
const MICROS_IN_MILLI: f64 = 1_000.0;

/// An attempt and its agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// Address of the agent.
    pub agent: Name,
    /// The attempt.
    pub attempt: AttemptId,
}

impl Origin {
    /// Returns the origin of an answer.
    #[must_use]
    pub fn of(answer: &Answer) -> Self {
        let (agent, attempt) = answer.origin();
        Self { agent, attempt }
    }
}

/// What a request has used so far.
#[derive(Clone, Debug)]
pub struct RequestUsage {
    bill: Bill,
    cost: f64,
    origins: Vec<Origin>,
}

impl RequestUsage {
    /// Builds the empty spend of a request.
    #[must_use]
    pub fn new(request: RequestId, workspace: &WorkspaceId, version: VersionId) -> Self {
        let bill = Bill {
            request,
            partner: Arc::clone(&workspace.partner),
            workspace: Arc::clone(&workspace.name),
            version,
            prompt_tokens: 0,
            completion_tokens: 0,
            cost_micros: 0,
        };
        Self {
            bill,
            cost: 0.0,
            origins: Vec::new(),
        }
    }

    /// Sets the version that the next usage is of, and its cost.
    pub fn start_step(&mut self, version: &VersionId, cost: f64) {
        self.bill.version = version.clone();
        self.cost = cost;
    }

    /// Adds the usage of one answer.
    pub fn add(&mut self, usage: Usage, origin: Origin) {
        let tokens = (usage.prompt + usage.completion) as f64;
        self.bill.prompt_tokens += usage.prompt;
        self.bill.completion_tokens += usage.completion;
        self.bill.cost_micros += (tokens * self.cost * MICROS_IN_MILLI).round() as u64;
        self.origins.push(origin);
    }

    /// Names the version that gave the answer.
    pub fn set_version(&mut self, version: VersionId) {
        self.bill.version = version;
    }

    /// Commits the bill, or leaves it to the agents after a bounded wait.
    pub async fn commit(&self, app: &Arc<App>) {
        app.count_outcome(&self.bill.version, VersionOutcome::Good);
        if tokio::time::timeout(app.settings.retry.ledger_wait.0, self.record(app))
            .await
            .is_err()
        {
            slog::warn!(app.context.log, "bill: the ledger gave no answer; agents will bring it";
                "request" => %self.bill.request);
            metrics::counter!("cardamomtally_entry_late_bills_total").increment(1);
            return;
        }
        for origin in self.origins.clone() {
            let app = Arc::clone(app);
            tokio::spawn(async move {
                app.agents
                    .acknowledge_bill(origin.agent, origin.attempt)
                    .await
            });
        }
    }

    async fn record(&self, app: &Arc<App>) {
        let mut retry = 0;
        let mut bill = self.bill.clone();
        if app.fault == InjectedFault::BillAttempts {
            bill.request = app.next_request();
        }
        while app.ledger.apply(ClaimOp::Bill(bill.clone())).await.is_err() {
            tokio::time::sleep(app.backoff(retry)).await;
            retry += 1;
        }
    }

    /// Counts an answer that broke off.
    pub fn count_failure(&self, app: &App) {
        app.count_outcome(&self.bill.version, VersionOutcome::Bad);
    }
}
