//! Keeps the entry's configuration up to date by polling the control group.
//!
//! The configuration consists of the compiled document and the fleet. It is
//! valid under a lease. The lease begins when the poll was sent, not when the
//! answer arrived, and is measured on a clock that goes on while the VM is
//! suspended.
//! A reply with a lower log index than the current configuration is ignored, so
//! the configuration never goes back to an older state.
//!
//! The answer to a poll is small. A document or fleet that does not fit into it is
//! fetched in parts between the polls, see [`crate::site::transfer`]. While the
//! entry fetches a document, it knows that a newer one is in force, and its lease
//! ends sooner than that of an entry which knows of none.

use super::{evidence::EvidenceExchange, outcomes::OutcomeCounts, snapshot::ConfigSnapshot};
use crate::{
    direct::exchange::peers::Peers,
    net::{
        codec,
        transport::Transport,
        wire::{Request, Response},
    },
    prelude::*,
    quarantine::fingerprint::Fingerprint,
    routing::rendezvous,
    site::{
        document::Document,
        poll::{self, Outcomes, Poll, PollReply},
        selection::MemberSelection,
        state::Fleet,
        table::Table,
        transfer::{Download, Part, PartRequest},
    },
};
use arc_swap::ArcSwap;
use eyre::eyre;
use slog::{Logger, info, warn};
use std::net::SocketAddr;
use tokio::sync::Notify;

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
    /// Duration of the lease once a newer document is known to be in force,
    /// counted from the same time.
    pub superseded_lease: Duration,
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
            superseded_lease: Duration::from_millis(1_600),
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
    evidence: Option<Arc<dyn EvidenceExchange>>,
    /// Wakes those who wait for the first document. Configurations without a document are
    /// published before it.
    published: Notify,
    clock: Arc<dyn Clock>,
    log: Logger,
}

/// What the polling task keeps from one poll to the next.
#[derive(Debug, Default)]
struct PollState {
    selection: MemberSelection,
    fetch: Option<Fetch>,
}

/// What an entry fetches in parts.
#[derive(Clone, Copy, Debug)]
enum Content {
    Document,
    Fleet,
}

/// A document or fleet that is being fetched in parts.
#[derive(Debug)]
struct Fetch {
    content: Content,
    download: Download,
    /// When the poll was sent whose reply named it.
    named: Mono,
}

impl Content {
    const fn label(self) -> &'static str {
        match self {
            Self::Document => "document",
            Self::Fleet => "fleet",
        }
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
        let unknown = ConfigSnapshot {
            place: rendezvous::seed(&settings.name) as u32,
            ..ConfigSnapshot::default()
        };
        Self {
            seeds: ArcSwap::from_pointee(settings.seeds.clone()),
            settings,
            current: ArcSwap::from_pointee(unknown),
            transport,
            counts,
            peers: None,
            evidence: None,
            published: Notify::new(),
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

    /// Returns the poller with a source of evidence, to which the verdicts of control are
    /// given.
    #[must_use]
    pub fn with_evidence(self, evidence: Arc<dyn EvidenceExchange>) -> Self {
        Self {
            evidence: Some(evidence),
            ..self
        }
    }

    /// Returns the configuration. If there is no document yet, as just after a
    /// start, waits for the first one for at most `limit`.
    pub async fn wait_for_document(&self, limit: Duration) -> Arc<ConfigSnapshot> {
        let arrival = async {
            loop {
                let published = self.published.notified();
                // The document may have arrived before the registration.
                if self.current().table.is_some() {
                    return;
                }
                published.await;
            }
        };
        let _late = tokio::time::timeout(limit, arrival).await;
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
        let mut state = PollState::default();
        loop {
            let begun = self.clock.now();
            let seeds = self.seeds.load_full();
            let answered = match state.selection.next(&seeds) {
                Some(member) => self.poll(&member, &mut state).await,
                None => false,
            };
            let period = if answered {
                self.settings.period
            } else {
                self.settings.period / 4
            };
            self.fetch_parts(begun + period, &mut state).await;
            let spent = self.clock.now().since(begun);
            tokio::time::sleep(period.saturating_sub(spent)).await;
        }
    }

    async fn poll(&self, member: &Name, state: &mut PollState) -> bool {
        let current = self.current();
        let outcomes = self.counts.take();
        let evidence = self.evidence.as_ref().map(|e| e.outgoing());
        let evidence = evidence.unwrap_or_default();
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
            parts: true,
            fleet_parts: true,
            verdicts: evidence.index,
            evidence: evidence.report,
            hits: evidence.hits.clone(),
            account: self.peers.as_ref().and_then(|peers| peers.account_digest()),
        };
        let sent = self.clock.now();
        let reply = match self.call_poll(member, &poll).await {
            Ok(reply) => reply,
            Err(error) => {
                self.put_back(outcomes, evidence.hits);
                self.mark_unreachable(member, &error, &mut state.selection);
                return false;
            }
        };
        if !reply.leads {
            self.put_back(outcomes, evidence.hits);
        }
        if let (Some(evidence), Some(verdicts)) = (&self.evidence, &reply.verdicts) {
            evidence.apply(verdicts);
        }
        if state.selection.record_answer(&reply) {
            info!(self.log, "poll: control answers again"; "member" => &**member);
        }
        if let (Some(peers), Some(addresses)) = (&self.peers, &reply.peers) {
            peers.set_addresses(addresses.clone());
        }
        if let (Some(peers), Some(account)) = (&self.peers, &reply.account) {
            match poll::unpack(&account.addresses) {
                Some(members) => peers.set_members(members, account.place),
                None => warn!(self.log, "poll: malformed list of members ignored"),
            }
        }
        self.apply(&current, sent, reply);
        self.begin_fetch(sent, &mut state.fetch);
        true
    }

    /// Takes back what a poll has not reported to the leader.
    fn put_back(&self, outcomes: Vec<Outcomes>, hits: Vec<Fingerprint>) {
        self.counts.put_back(outcomes);
        if let Some(evidence) = &self.evidence {
            evidence.put_back(hits);
        }
    }

    async fn call_poll(&self, member: &Name, poll: &Poll) -> eyre::Result<PollReply> {
        let request = Request::Site(codec::encode(poll).into());
        match self.call(member, request).await? {
            Response::Site(bytes) => codec::decode(&bytes),
            other => Err(refusal(other)),
        }
    }

    async fn call(&self, member: &Name, request: Request) -> eyre::Result<Response> {
        let address = format!("{member}:{}", self.settings.port);
        let timeout = self.settings.timeout;
        Ok(self.transport.call(&address, request, timeout).await?)
    }

    fn mark_unreachable(
        &self,
        member: &Name,
        error: &eyre::Report,
        selection: &mut MemberSelection,
    ) {
        if selection.record_failure() {
            let age = self.clock.now().since(self.current().lease_end);
            warn!(self.log, "poll: control does not answer"; "member" => &**member,
                "reason" => format!("{error:#}"), "lease_over_ms" => age.as_millis() as u64);
        }
    }

    /// Begins to fetch the document or fleet that a reply has named, whose poll was sent at
    /// `named`, if the entry lacks it. A fetch that is under way is finished first, so that
    /// it makes progress while one document follows the other.
    fn begin_fetch(&self, named: Mono, fetch: &mut Option<Fetch>) {
        let current = self.current();
        let (content, index) = if current.newest > current.document {
            (Content::Document, current.newest)
        } else if current.newest_fleet > current.fleet.index {
            (Content::Fleet, current.newest_fleet)
        } else {
            return;
        };
        if fetch.is_none() {
            info!(self.log, "poll: fetching a {}", content.label(); "index" => index.0);
            *fetch = Some(Fetch {
                content,
                download: Download::new(index),
                named,
            });
        }
    }

    /// Fetches parts until all have arrived or the next poll is due. A fleet follows the
    /// document at once if the entry lacks both.
    async fn fetch_parts(&self, due: Mono, state: &mut PollState) {
        while let Some(fetch) = &mut state.fetch {
            let Some(wanted) = fetch.download.next() else {
                self.finish(fetch);
                let named = fetch.named;
                state.fetch = None;
                self.begin_fetch(named, &mut state.fetch);
                continue;
            };
            if self.clock.now() >= due {
                return;
            }
            let source = state.selection.source(&self.settings.name);
            let Some(member) = source else { return };
            let part = self.call_part(&member, wanted).await;
            let added = part.and_then(|part| fetch.download.add(part));
            if added.is_ok() {
                state.selection.record_part();
            }
            if let Err(error) = added {
                warn!(self.log, "poll: part of a {} not fetched", fetch.content.label();
                    "member" => &*member, "index" => wanted.index.0, "offset" => wanted.offset,
                    "error" => format!("{error:#}"));
                if !state.selection.next_source() {
                    // No member has it any more. The next reply names another.
                    state.fetch = None;
                }
            }
        }
    }

    async fn call_part(&self, member: &Name, wanted: PartRequest) -> eyre::Result<Part> {
        let request = Request::SitePart(codec::encode(&wanted).into());
        match self.call(member, request).await? {
            Response::SitePart(bytes) => codec::decode(&bytes),
            other => Err(refusal(other)),
        }
    }

    /// Puts a completely fetched document or fleet in force. If it does not decode, it is
    /// fetched anew after the next poll.
    fn finish(&self, fetch: &Fetch) {
        let finished = match fetch.content {
            Content::Document => self.finish_document(fetch),
            Content::Fleet => self.finish_fleet(fetch),
        };
        if let Err(error) = finished {
            warn!(self.log, "poll: fetched {} ignored", fetch.content.label();
                "error" => format!("{error:#}"));
        }
    }

    fn finish_document(&self, fetch: &Fetch) -> eyre::Result<()> {
        let document = fetch.download.decode()?;
        let index = fetch.download.index();
        let mut next = ConfigSnapshot::clone(&self.current());
        if index > next.document {
            self.put_in_force(&mut next, index, &document, fetch.named);
            self.publish(next);
        }
        Ok(())
    }

    fn finish_fleet(&self, fetch: &Fetch) -> eyre::Result<()> {
        let fleet: Fleet = fetch.download.decode()?;
        let mut next = ConfigSnapshot::clone(&self.current());
        if fleet.index > next.fleet.index {
            self.put_fleet_in_force(&mut next, fleet, fetch.named);
            self.publish(next);
        }
        Ok(())
    }

    /// Applies the answer to a poll. The poll was sent at `sent`, when `current`
    /// was the configuration. An answer whose document or fleet has a lower log
    /// index than that of `current` is ignored and does not renew the lease. The
    /// lease is renewed only if the entry has the document and the fleet that the answer
    /// names.
    pub fn apply(&self, current: &ConfigSnapshot, sent: Mono, reply: PollReply) {
        let fleet = reply.fleet.as_ref().map(|fleet| fleet.index);
        // A member of a former build names no fleet, and sends it if it differs.
        let fleet = fleet.unwrap_or(match reply.fleet_index {
            Index(0) => current.fleet.index,
            named => named,
        });
        if reply.document < current.document || fleet < current.fleet.index {
            return;
        }
        let mut next = current.clone();
        next.newest = next.newest.max(reply.document);
        if let Some(content) = reply.content {
            self.put_in_force(&mut next, reply.document, &content, sent);
        }
        next.newest_fleet = next.newest_fleet.max(fleet);
        if let Some(fleet) = reply.fleet {
            self.put_fleet_in_force(&mut next, fleet, sent);
        }
        if next.fleet.index == fleet {
            next.fleet_confirmed = next.fleet_confirmed.max(sent);
        }
        if next.document == reply.document {
            next.confirmed = next.confirmed.max(sent);
        }
        if reply.entries > 0 {
            next.entries = reply.entries;
        }
        if let Some(place) = reply.place {
            next.place = place;
        }
        self.publish(next);
    }

    /// Compiles a document that was in force when a poll sent at `confirmed` was
    /// answered.
    fn put_in_force(
        &self,
        next: &mut ConfigSnapshot,
        index: Index,
        document: &Document,
        confirmed: Mono,
    ) {
        info!(self.log, "poll: document in force"; "number" => document.number,
            "index" => index.0);
        next.table = Some(Arc::new(Table::new(document)));
        next.document = index;
        next.confirmed = confirmed;
    }

    /// Takes a fleet that was in force when a poll sent at `confirmed` was answered.
    fn put_fleet_in_force(&self, next: &mut ConfigSnapshot, fleet: Fleet, confirmed: Mono) {
        info!(self.log, "poll: fleet in force"; "index" => fleet.index.0,
            "backends" => fleet.backends.len());
        let cold = next.cold.update(&fleet.backends, self.clock.now());
        next.cold = Arc::new(cold);
        next.fleet = Arc::new(fleet);
        next.fleet_confirmed = confirmed;
    }

    /// Sets the end of the lease and publishes the configuration.
    fn publish(&self, mut next: ConfigSnapshot) {
        let lease = if next.newest > next.document {
            self.settings.lease.min(self.settings.superseded_lease)
        } else {
            self.settings.lease
        };
        let fleet_end = next.fleet_confirmed + self.settings.lease;
        next.lease_end = (next.confirmed + lease).min(fleet_end);
        self.current.store(Arc::new(next));
        self.published.notify_waiters();
    }
}

fn refusal(response: Response) -> eyre::Report {
    match response {
        Response::Unavailable { reason, .. } => eyre!("the member refused: {reason}"),
        Response::Claims(_)
        | Response::Poll(_)
        | Response::Proposed(_)
        | Response::Site(_)
        | Response::SitePart(_)
        | Response::Status(_)
        | Response::Taken => eyre!("the member sent an answer of another kind"),
    }
}
