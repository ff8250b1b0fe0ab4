//! Bills: one for each request, covering all its attempts and cascade steps.
//!
//! The bill is committed to the ledger before the last byte goes to the caller.
//! If the ledger has not confirmed the bill within `ledger_wait`, the caller gets
//! the answer nevertheless: the agents keep their usage records until the bill
//! is acknowledged, and submit them to the ledger themselves. The request id
//! identifies the bill, so the request is billed only once.

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

/// Factor that converts tokens times a version's cost, which is given per
/// thousand tokens, into millionths of the unit of account:
/// 1,000,000 / 1,000.
const MICROS_PER_MILLI: f64 = 1_000.0;

/// An attempt and the agent that ran it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// Address of the agent.
    pub agent: Name,
    /// Id of the attempt.
    pub attempt: AttemptId,
}

impl Origin {
    /// Returns the attempt and the agent that an answer is read from.
    #[must_use]
    pub fn of(answer: &Answer) -> Self {
        let (agent, attempt) = answer.origin();
        Self { agent, attempt }
    }
}

/// Tokens and cost of a request so far, over all its answers.
#[derive(Clone, Debug)]
pub struct RequestUsage {
    bill: Bill,
    cost: f64,
    origins: Vec<Origin>,
}

impl RequestUsage {
    /// Builds the usage of a request that has used nothing yet.
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

    /// Sets the version of the answers that are added next, and its cost per
    /// thousand tokens.
    pub fn start_step(&mut self, version: &VersionId, cost: f64) {
        self.bill.version = version.clone();
        self.cost = cost;
    }

    /// Adds the tokens of one answer, at the cost of the current version.
    pub fn add(&mut self, usage: Usage, origin: Origin) {
        let tokens = (usage.prompt + usage.completion) as f64;
        self.bill.prompt_tokens += usage.prompt;
        self.bill.completion_tokens += usage.completion;
        self.bill.cost_micros += (tokens * self.cost * MICROS_PER_MILLI).round() as u64;
        self.origins.push(origin);
    }

    /// Sets the version that the bill names: the one that gave the answer.
    pub fn set_version(&mut self, version: VersionId) {
        self.bill.version = version;
    }

    /// Commits the bill and acknowledges it to the agents. If the ledger has not
    /// confirmed the bill within `ledger_wait`, leaves the bill to the agents.
    /// Also counts a good outcome for the version that the bill names.
    pub async fn commit(&self, app: &Arc<App>) {
        app.count_outcome(&self.bill.version, VersionOutcome::Good);
        if tokio::time::timeout(app.settings.retry.ledger_wait.0, self.record(app))
            .await
            .is_err()
        {
            slog::warn!(app.context.log, "bill: the ledger did not answer in time; the agents will submit the usage records";
                "request" => %self.bill.request);
            metrics::counter!("cardamomtally_entry_late_bills_total").increment(1);
            return;
        }
        for origin in self.origins.clone() {
            let app = Arc::clone(app);
            tokio::spawn(async move {
                app.agents
                    .acknowledge_bill(origin.agent, origin.attempt)
                    .await;
            });
        }
    }

    /// Sends the bill to the ledger until the ledger confirms it.
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

    /// Counts an answer that broke off against its version.
    pub fn count_failure(&self, app: &App) {
        app.count_outcome(&self.bill.version, VersionOutcome::Bad);
    }
}
