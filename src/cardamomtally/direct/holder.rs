//! What an entry holds: a compiled document, the fleet, and a lease on them.
//!
//! The lease runs from the moment at which the poll was sent, on a clock that
//! goes on while the VM is suspended. An index below one that was held is never
//! applied.

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

/// What an entry holds.
#[derive(Clone, Debug, Default)]
pub struct ConfigSnapshot {
    /// The document, once there is one.
    pub table: Option<Arc<Table>>,
    /// Log index of the document.
    pub document: Index,
    /// Backend servers, roll-outs and evacuations.
    pub fleet: Arc<Fleet>,
    /// End of the lease.
    pub lease_end: Mono,
    /// Entries that poll, at least 1.
    pub entries: u32,
}

impl ConfigSnapshot {
    /// Tells whether the lease is valid.
    #[must_use]
    pub fn is_valid(&self, now: Mono) -> bool {
        self.table.is_some() && now < self.lease_end
    }
}

/// What a holder is built from.
#[derive(Clone, Debug)]
pub struct HolderSettings {
    /// The process's name.
    pub name: Name,
    /// Where it takes what other entries tell, if it does.
    pub exchange: Option<SocketAddr>,
    /// Addresses of members to begin with.
    pub seeds: Vec<Name>,
    /// Port for polls, the same at all members.
    pub port: u16,
    /// Time between polls.
    pub period: Duration,
    /// Longest wait for an answer before another member is asked.
    pub timeout: Duration,
    /// How long an answer holds, from when its poll was sent.
    pub lease: Duration,
}

impl Default for HolderSettings {
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

/// Polls the keepers and publishes what they confirm.
#[derive(Debug)]
pub struct ConfigPoller {
    settings: HolderSettings,
    current: ArcSwap<ConfigSnapshot>,
    seeds: ArcSwap<Vec<Name>>,
    transport: Arc<dyn Transport>,
    counts: Arc<OutcomeCounts>,
    peers: Option<Arc<Peers>>,
    first_document: Notify,
    clock: Arc<dyn Clock>,
    log: Logger,
}

/// Where to poll next.
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
        // Every other turn goes to a seed, since all known members may be gone.
        let known = if self.members.is_empty() || self.attempts.is_multiple_of(2) {
            seeds
        } else {
            &self.members
        };
        known.get((self.attempts / 2) % known.len().max(1)).cloned()
    }
}

impl ConfigPoller {
    /// Builds a holder that holds nothing yet.
    #[must_use]
    pub fn new(
        settings: HolderSettings,
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

    /// Tells an exchange of the other entries that polls name.
    #[must_use]
    pub fn with_peers(self, peers: Arc<Peers>) -> Self {
        Self {
            peers: Some(peers),
            ..self
        }
    }

    /// Returns what is held, and waits up to a limit if there is no document yet,
    /// as in the first moments after a start.
    pub async fn wait_for_document(&self, limit: Duration) -> Arc<ConfigSnapshot> {
        let current = self.current();
        if current.table.is_some() {
            return current;
        }
        let notified = self.first_document.notified();
        // The document may have come between the look and the wait.
        if self.current().table.is_none() {
            let _late = tokio::time::timeout(limit, notified).await;
        }
        self.current()
    }

    /// Returns what is held.
    #[must_use]
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// Replaces the members to begin with, after a reload.
    pub fn set_seeds(&self, seeds: Vec<Name>) {
        self.seeds.store(Arc::new(seeds));
    }

    /// Polls for ever.
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
            self.log_unreachable(member, selection);
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

    fn log_unreachable(&self, member: &Name, selection: &mut MemberSelection) {
        selection.leader = None;
        if !selection.unreachable {
            let age = self.clock.now().since(self.current().lease_end);
            warn!(self.log, "poll: control does not answer"; "member" => &**member,
                "lease_over_ms" => age.as_millis() as u64);
        }
        selection.unreachable = true;
    }

    /// Applies an answer to a poll that was sent at `sent`.
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
