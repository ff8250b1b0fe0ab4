//! Operators' orders: roll-outs and evacuations.
//!
//! An order is decided only while its sender waits, and names the latest order that it was
//! decided on, so that one which comes late is not carried out after a newer one.

use super::{Refusal, SiteMember, senders::Senders};
use crate::{
    prelude::*,
    site::{
        rollout::Rollout,
        state::{Command, Orders, Reply, State},
    },
};
use metrics::counter;
use slog::info;

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
    ) -> Result<Reply, Refusal> {
        info!(self.logger, "site: roll-out ordered"; "service" => &*service, "target" => &*target);
        let decided_on = self.decide(|orders| orders.services.get(&service)).await?;
        let since_latest = self.rollout_times().passed(&service, self.clock.now());
        let command = Command::Begin {
            since_latest: since_latest.map(|since| since.as_millis() as u64),
            service,
            target,
            duration: u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
            wall: self.wall_ms(),
            decided_on: Some(decided_on),
        };
        self.order(&command).await
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
    pub async fn evacuate(&self, centre: Name, evacuated: bool) -> Result<Reply, Refusal> {
        info!(self.logger, "site: evacuation ordered"; "centre" => &*centre, "out" => evacuated);
        let decided_on = self.decide(|orders| orders.centres.get(&centre)).await?;
        let command = Command::Evacuate {
            centre,
            evacuated,
            decided_on: Some(decided_on),
        };
        self.order(&command).await
    }

    /// Returns the latest order that was in force while the sender of a new one, which this
    /// member has just received, waits for its answer.
    async fn decide(&self, latest: impl Fn(&Orders) -> Option<&Index>) -> Result<Index, Refusal> {
        let received = self.clock.now();
        if !self.senders.waits(received) {
            return Err(self.overtaken("stalled"));
        }
        self.log.barrier(GroupId::CONFIG).await?;
        let found = |state: &State| latest(&state.orders).copied();
        let decided_on = self.store.read(found).unwrap_or_default();
        if !Senders::waits_since(received, self.clock.now()) {
            return Err(self.overtaken("late"));
        }
        Ok(decided_on)
    }

    /// Proposes an order that was decided.
    async fn order(&self, command: &Command) -> Result<Reply, Refusal> {
        match self.propose(command).await? {
            Reply::Overtaken => Err(self.overtaken("newer")),
            reply => Ok(reply),
        }
    }

    /// Logs and counts an order that is not carried out: it was received after this process had
    /// `stalled`, decided too `late`, or a `newer` one has come since it was decided.
    fn overtaken(&self, reason: &'static str) -> Refusal {
        counter!("cardamomtally_site_orders_overtaken_total", "reason" => reason).increment(1);
        info!(self.logger, "site: order not carried out, since its sender may have given it up";
            "reason" => reason);
        Refusal::Overtaken
    }
}
