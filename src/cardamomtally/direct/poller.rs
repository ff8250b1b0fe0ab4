//! Keeps the entry's configuration up to date by polling the control group.
//!
//! The configuration consists of the compiled document and the fleet. It is
//! valid under a lease. The lease begins when the poll was sent, not when the
//! answer arrived, and is measured on a clock that goes on while the VM is
//! suspended.
//! A reply with a lower log index than the current configuration is ignored, so
//! the configuration never goes back to an older state.

use super::{outcomes::OutcomeCounts, peers::Peers};
use crate::{
    net::{
        codec,
        transport::Transport,
        wire::{Request, Response},
    },
    prelude::*,
    site::{
        poll::{self, Poll, PollReply},
        state::Fleet,
        table::Table,
    },
};
use arc_swap::ArcSwap;
use slog::{Logger, info, warn};
use std::net::SocketAddr;
use tokio::sync::Notify;

/// The configuration that an entry works with, and its lease.
#[derive(Clone, Debug, Default)]
pub struct ConfigSnapshot {
    /// The compiled document; `None` until the first one has arrived.
    pub table: Option<Arc<Table>>,
    /// Log index of the document.
    pub document: Index,
    /// Backend servers, roll-outs and evacuated data centres.
    pub fleet: Arc<Fleet>,
    /// End of the lease. After it, the configuration may be outdated and
    /// requests that need a key are refused.
    pub lease_end: Mono,
    /// Number of entries that poll the control group, at least 1.
    pub entries: u32,
}

impl ConfigSnapshot {
    /// Tells whether there is a document and its lease has not ended.
    #[must_use]
    pub fn is_valid(&self, now: Mono) -> bool {
        self.table.is_some() && now < self.lease_end
    }
}

/// Settings of a [`ConfigPoller`].
#[derive(Clone, Debug)]
pub struct PollerSettings {
    /// Name of this process.
    pub name: Name,
    /// Address at which this entry receives the backlog messages of the other
    /// entries; `None` if it receives none.
    pub exchange: Option<SocketAddr>,
    /// Addresses of control members that are polled until others are known.
    pub seeds: Vec<Name>,
    /// Port for polls, the same at all members.
    pub port: u16,
    /// Time between two polls. After a failed poll the next one is sent after a
    /// quarter of it.
    pub period: Duration,
    /// Longest wait for an answer before another member is polled.
    pub timeout: Duration,
    /// Duration of the lease that an answer grants, counted from when its poll
    /// was sent.
    pub lease: Duration,
}

impl Default for PollerSettings {
    fn default() -> Self {
        Self {
            name: Name::from(""),
            exchange: None,
            seeds: Vec::new(),
            port: 7302,
            period: Duration::from_millis(350),
            timeout: Duration::from_millis(500),
            lease: Duration::from_secs(4),
        }
    }
}

/// Polls the control group and publishes the configuration that it confirms.
#[derive(Debug)]
pub struct ConfigPoller {
    settings: PollerSettings,
    current: ArcSwap<ConfigSnapshot>,
    seeds: ArcSwap<Vec<Name>>,
    transport: Arc<dyn Transport>,
    counts: Arc<OutcomeCounts>,
    peers: Option<Arc<Peers>>,
    first_document: Notify,
    clock: Arc<dyn Clock>,
    log: Logger,
}

/// Selects the member to poll next: the leader if it is known, otherwise the
/// known members and the seeds in turn.
#[derive(Debug, Default)]
struct MemberSelection {
    members: Vec<Name>,
    leader: Option<Name>,
    attempts: usize,
    unreachable: bool,
}

impl MemberSelection {
    fn next(&mut self, seeds: &[Name]) -> Option<Name> {
        if let Some(leader) = &self.leader {
            return Some(Arc::clone(leader));
        }
        self.attempts += 1;
        // Every other attempt goes to a seed, since all known members may have
        // been replaced.
        let known = if self.members.is_empty() || self.attempts.is_multiple_of(2) {
            seeds
        } else {
            &self.members
        };
        known.get((self.attempts / 2) % known.len().max(1)).cloned()
    }
}

impl ConfigPoller {
    /// Builds a poller without a configuration.
    #[must_use]
    pub fn new(
        settings: PollerSettings,
        transport: Arc<dyn Transport>,
        counts: Arc<OutcomeCounts>,
        clock: Arc<dyn Clock>,
        log: Logger,
    ) -> Self {
        Self {
            seeds: ArcSwap::from_pointee(settings.seeds.clone()),
            settings,
            current: ArcSwap::default(),
            transport,
            counts,
            peers: None,
            first_document: Notify::new(),
            clock,
            log,
        }
    }

    /// Returns the poller with an exchange whose peer addresses are updated
    /// from the answers to polls.
    #[must_use]
    pub fn with_peers(self, peers: Arc<Peers>) -> Self {
        Self {
            peers: Some(peers),
            ..self
        }
    }

    /// Returns the configuration. If there is no document yet, as just after a
    /// start, waits for the first one for at most `limit`.
    pub async fn wait_for_document(&self, limit: Duration) -> Arc<ConfigSnapshot> {
        let current = self.current();
        if current.table.is_some() {
            return current;
        }
        let notified = self.first_document.notified();
        // The document may have arrived between the check and the registration.
        if self.current().table.is_none() {
            let _late = tokio::time::timeout(limit, notified).await;
        }
        self.current()
    }

    /// Returns the current configuration.
    #[must_use]
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// Replaces the seed addresses after the settings were reloaded.
    pub fn set_seeds(&self, seeds: Vec<Name>) {
        self.seeds.store(Arc::new(seeds));
    }

    /// Polls the control group until the task is aborted.
    pub async fn run(&self) {
        let mut selection = MemberSelection::default();
        loop {
            let begun = self.clock.now();
            let seeds = self.seeds.load_full();
            let answered = match selection.next(&seeds) {
                Some(member) => self.poll(&member, &mut selection).await,
                None => false,
            };
            let spent = self.clock.now().since(begun);
            let period = if answered {
                self.settings.period
            } else {
                self.settings.period / 4
            };
            tokio::time::sleep(period.saturating_sub(spent)).await;
        }
    }

    async fn poll(&self, member: &Name, selection: &mut MemberSelection) -> bool {
        let current = self.current();
        let outcomes = self.counts.take();
        let poll = Poll {
            name: Arc::clone(&self.settings.name),
            document: current.document,
            fleet: current.fleet.index,
            exchange: self.settings.exchange,
            peers: poll::digest(
                &self
                    .peers
                    .as_ref()
                    .map(|p| p.addresses())
                    .unwrap_or_default(),
            ),
            outcomes: outcomes.clone(),
        };
        let request = Request::Site(codec::encode(&poll).into());
        let address = format!("{member}:{}", self.settings.port);
        let sent = self.clock.now();
        let answer = self
            .transport
            .call(&address, request, self.settings.timeout)
            .await;
        let reply = match answer {
            Ok(Response::Site(bytes)) => codec::decode::<PollReply>(&bytes).ok(),
            Ok(_) | Err(_) => None,
        };
        let taken = reply.as_ref().is_some_and(|r| r.leads);
        if !taken {
            self.counts.put_back(outcomes);
        }
        let Some(reply) = reply else {
            self.mark_unreachable(member, selection);
            return false;
        };
        if selection.unreachable {
            info!(self.log, "poll: control answers again"; "member" => &**member);
        }
        selection.unreachable = false;
        selection.leader.clone_from(&reply.leader);
        if !reply.members.is_empty() {
            selection.members.clone_from(&reply.members);
        }
        if let (Some(peers), Some(addresses)) = (&self.peers, &reply.peers) {
            peers.set_addresses(addresses.clone());
        }
        self.apply(&current, sent, reply);
        true
    }

    fn mark_unreachable(&self, member: &Name, selection: &mut MemberSelection) {
        selection.leader = None;
        if !selection.unreachable {
            let age = self.clock.now().since(self.current().lease_end);
            warn!(self.log, "poll: control does not answer"; "member" => &**member,
                "lease_over_ms" => age.as_millis() as u64);
        }
        selection.unreachable = true;
    }

    /// Applies the answer to a poll. The poll was sent at `sent`, when `current`
    /// was the configuration. An answer whose document or fleet has a lower log
    /// index than that of `current` is ignored and does not renew the lease.
    pub fn apply(&self, current: &ConfigSnapshot, sent: Mono, reply: PollReply) {
        let stale = reply.document < current.document
            || reply
                .fleet
                .as_ref()
                .is_some_and(|f| f.index < current.fleet.index);
        if stale {
            return;
        }
        let mut next = current.clone();
        if let Some(content) = reply.content {
            info!(self.log, "poll: document in force"; "number" => content.number,
                "index" => reply.document.0);
            next.table = Some(Arc::new(Table::new(&content)));
            next.document = reply.document;
        }
        if let Some(fleet) = reply.fleet {
            info!(self.log, "poll: fleet in force"; "index" => fleet.index.0,
                "backends" => fleet.backends.len());
            next.fleet = Arc::new(fleet);
        }
        next.lease_end = next.lease_end.max(sent + self.settings.lease);
        next.entries = if reply.entries > 0 {
            reply.entries
        } else {
            next.entries.max(1)
        };
        self.current.store(Arc::new(next));
        self.first_document.notify_waiters();
    }
}
