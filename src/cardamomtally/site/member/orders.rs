//! Operators' orders: roll-outs and evacuations.
//!
//! An order is carried out only if its sender cannot have given it up, as far as this member
//! can tell ([`super::super::orders`]). It names the latest order that it was decided on, so
//! that one which comes late is not carried out after a newer one.

use super::{Refusal, SiteMember, senders::Senders};
use crate::{
    listen::conversation::Conversation,
    prelude::*,
    site::{
        orders::{Doubt, Evidence},
        rollout::Rollout,
        state::{Command, Reply, State},
    },
};
use metrics::counter;
use slog::{debug, info};

/// Longest wait for the log index of which the answer to an order tells its sender. Without
/// it, a next order on the same connection may be asked back.
const TELL_TIME: Duration = Duration::from_millis(250);

/// How an order has come.
#[derive(Clone, Debug, Default)]
pub struct Receipt {
    /// The connection's requests and answers before.
    pub conversation: Conversation,
    /// Log index with which this order was asked back, if it was.
    pub asked: Option<Index>,
}

impl SiteMember {
    /// Begins a roll-out. A repeated order for the same version is acknowledged and
    /// changes nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if no quorum has confirmed the change, or if the sender may have given
    /// the order up.
    pub async fn roll_out(
        &self,
        service: Name,
        target: Name,
        duration: Duration,
        receipt: &Receipt,
    ) -> Result<Reply, Refusal> {
        info!(self.logger, "site: roll-out ordered"; "service" => &*service, "target" => &*target,
            "told" => receipt.told().0);
        let duration = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let evidence = self.gather_evidence(receipt).await?;
        let since_latest = self.rollout_times().passed(&service, self.clock.now());
        let since_latest = since_latest.map(|since| since.as_millis() as u64);
        let rollout = Rollout::new(Arc::clone(&target), duration, self.wall_ms());
        let decided = self.store.read(|state| {
            if state.repeats(&service, &rollout, since_latest) {
                return Ok(state.orders.latest_rollout(&service));
            }
            let former = state.fleet.rollouts.get(&service);
            let orders = &state.orders;
            orders.decide_rollout(&service, &target, evidence, former)
        });
        let command = Command::Begin {
            since_latest,
            target,
            duration,
            wall: rollout.ordered,
            decided_on: Some(decided.map_err(|doubt| self.doubt(evidence, doubt))?),
            service: Arc::clone(&service),
        };
        let latest = |state: &State| state.orders.latest_rollout(&service);
        self.order(&command, receipt, latest).await
    }

    /// Returns the latest roll-out of a service.
    ///
    /// # Errors
    ///
    /// Returns an error if no quorum confirms the state.
    pub async fn rollout(&self, service: &str) -> Result<Option<Rollout>, Refusal> {
        self.log.barrier(GroupId::CONFIG).await?;
        let found = |state: &State| state.fleet.rollouts.get(service).cloned();
        Ok(self.store.read(found))
    }

    /// Evacuates a data centre, or puts it back into service.
    ///
    /// # Errors
    ///
    /// Returns an error if no quorum has confirmed the change, or if the sender may have given
    /// the order up.
    pub async fn evacuate(
        &self,
        centre: Name,
        evacuated: bool,
        receipt: &Receipt,
    ) -> Result<Reply, Refusal> {
        info!(self.logger, "site: evacuation ordered"; "centre" => &*centre, "out" => evacuated,
            "told" => receipt.told().0);
        let evidence = self.gather_evidence(receipt).await?;
        let decided = self.store.read(|state| {
            if state.fleet.is_in_force(&centre, evacuated) {
                return Ok(state.orders.latest_evacuation(&centre));
            }
            let orders = &state.orders;
            orders.decide_evacuation(&centre, evacuated, evidence)
        });
        let command = Command::Evacuate {
            decided_on: Some(decided.map_err(|doubt| self.doubt(evidence, doubt))?),
            centre: Arc::clone(&centre),
            evacuated,
        };
        let latest = |state: &State| state.orders.latest_evacuation(&centre);
        self.order(&command, receipt, latest).await
    }

    /// Returns what shows when an order was sent that this member has just received. The state
    /// that it is decided by is no older than its receipt.
    async fn gather_evidence(&self, receipt: &Receipt) -> Result<Evidence, Refusal> {
        let received = self.clock.now();
        let waits = self.senders.waits(received);
        self.log.barrier(GroupId::CONFIG).await?;
        Ok(Evidence {
            told: receipt.told(),
            stalled: !waits || !Senders::waits_since(received, self.clock.now()),
        })
    }

    /// Proposes an order that was decided. `latest` finds the latest order for the same data
    /// centre or service.
    async fn order(
        &self,
        command: &Command,
        receipt: &Receipt,
        latest: impl Fn(&State) -> Index,
    ) -> Result<Reply, Refusal> {
        let reply = self.propose(command).await?;
        let confirmed = tokio::time::timeout(TELL_TIME, self.log.barrier(GroupId::CONFIG)).await;
        if reply == Reply::Overtaken {
            let latest = self.store.read(latest);
            return Err(self.ask_back("newer", Doubt { latest }));
        }
        match confirmed {
            Ok(Ok(index)) => receipt.conversation.tell(index.0),
            Ok(Err(_)) | Err(_) => {
                debug!(
                    self.logger,
                    "site: the sender of an order is told of no log index"
                );
            }
        }
        Ok(reply)
    }

    fn doubt(&self, evidence: Evidence, doubt: Doubt) -> Refusal {
        let reason = if evidence.stalled {
            "stalled"
        } else {
            "untold"
        };
        self.ask_back(reason, doubt)
    }

    /// Logs and counts an order that is asked back: it was decided after this process had
    /// `stalled`, its sender was `untold` of the latest order, or a `newer` one has come since
    /// it was decided.
    fn ask_back(&self, reason: &'static str, doubt: Doubt) -> Refusal {
        counter!("cardamomtally_site_orders_asked_back_total", "reason" => reason).increment(1);
        info!(self.logger, "site: order asked back, since its sender may have given it up";
            "reason" => reason, "latest" => doubt.latest.0);
        Refusal::Doubtful(doubt)
    }
}

impl Receipt {
    /// Returns the highest log index of which the sender was told before it sent the order.
    fn told(&self) -> Index {
        let known = Index(self.conversation.known());
        self.asked.map_or(known, |asked| asked.max(known))
    }
}
