//! Answers entries' polls and their requests for parts of a document or fleet.

use super::SiteMember;
use crate::{
    core::log::LogError,
    net::{
        codec,
        nng::{Call, Server},
        wire::{Request, Response},
    },
    prelude::*,
    site::{
        poll::{self, AccountMembers, Poll, PollReply},
        transfer::{Encoding, Part, PartRequest},
    },
};
use std::net::SocketAddr;
use tokio::runtime::Handle;

/// Number of backend servers up to which a fleet is sent with the answer to a poll. A
/// larger one is fetched in parts, from all members, so that the leader's link does not
/// have to carry it to every entry at once.
const MAX_INLINE_BACKENDS: usize = 100;

impl SiteMember {
    /// Starts to answer polls on an address, until the returned server is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn listen(self: &Arc<Self>, address: &str) -> eyre::Result<Server> {
        let member = Arc::clone(self);
        let runtime = Handle::current();
        Server::start(address, move |request, call| {
            member.handle_request(&runtime, request, call);
        })
    }

    /// Answers polls and requests for parts on the runtime, and refuses every other
    /// request.
    fn handle_request(self: &Arc<Self>, runtime: &Handle, request: Request, call: Call) {
        let member = Arc::clone(self);
        match request {
            Request::Site(bytes) => {
                runtime.spawn(async move { call.answer(&member.poll_response(&bytes).await) });
            }
            Request::SitePart(bytes) => {
                runtime.spawn(async move { call.answer(&member.part_response(&bytes).await) });
            }
            Request::Claims(_)
            | Request::Health(_)
            | Request::Poll(_)
            | Request::Propose(..)
            | Request::Status => {
                call.answer(&unavailable("this member stores a site's document", true));
            }
        }
    }

    async fn poll_response(&self, bytes: &[u8]) -> Response {
        let poll = match codec::decode(bytes) {
            Ok(poll) => poll,
            Err(error) => return unavailable(&format!("{error:#}"), true),
        };
        match self.poll(poll).await {
            Ok(reply) => Response::Site(codec::encode(&reply).into()),
            Err(error) => unavailable(&error.to_string(), false),
        }
    }

    async fn part_response(&self, bytes: &[u8]) -> Response {
        let wanted = match codec::decode(bytes) {
            Ok(wanted) => wanted,
            Err(error) => return unavailable(&format!("{error:#}"), true),
        };
        match self.part(wanted).await {
            Some(part) => Response::SitePart(codec::encode(&part).into()),
            None => unavailable("this member has no such part", true),
        }
    }

    /// Returns a part of a document or fleet, if this member has it.
    pub async fn part(&self, wanted: PartRequest) -> Option<Part> {
        let encoding = self.encoding(wanted.index).await?;
        encoding.part(wanted.offset)
    }

    async fn encoding(&self, index: Index) -> Option<Arc<Encoding>> {
        let (document, fleet) = self
            .store
            .read(|state| (state.document.clone(), Arc::clone(&state.fleet)));
        if let Some((_, current)) = document.filter(|(at, _)| *at == index) {
            let encode = move || Encoding::new(index, &current.document);
            return self.documents.get_or_encode(index, encode).await;
        }
        if fleet.index == index {
            let encode = move || Encoding::new(index, &*fleet);
            return self.fleets.get_or_encode(index, encode).await;
        }
        let former = self.documents.get(index);
        former.or_else(|| self.fleets.get(index))
    }

    /// Answers a poll, after a quorum has confirmed the state.
    ///
    /// # Errors
    ///
    /// Returns an error if no quorum confirms the state.
    pub async fn poll(&self, poll: Poll) -> Result<PollReply, LogError> {
        self.log.barrier(GroupId::CONFIG).await?;
        let leader = self.log.leader(GroupId::CONFIG);
        let now = self.clock.now();
        let known = self.record_entry(now, &poll, leader.is_self);
        let (current, fleet, verdicts) = self.store.read(|state| {
            let (fleet, verdicts) = (Arc::clone(&state.fleet), Arc::clone(&state.verdicts));
            (state.document.clone(), fleet, verdicts)
        });
        let inline = !poll.fleet_parts || fleet.backends.len() <= MAX_INLINE_BACKENDS;
        let sends_fleet = fleet.index != poll.fleet && inline;
        let mut reply = PollReply {
            fleet: sends_fleet.then(|| (*fleet).clone()),
            fleet_index: fleet.index,
            leads: leader.is_self,
            leader: leader.name,
            members: self.members(),
            entries: known.count,
            place: known.place,
            peers: known.peers,
            account: known.account,
            verdicts: (verdicts.index != poll.verdicts).then(|| (*verdicts).clone()),
            ..PollReply::default()
        };
        if let Some((index, current)) = current {
            reply.document = index;
            let lacks = index != poll.document && !poll.parts;
            reply.content = lacks.then(|| current.document.clone());
        }
        Ok(reply)
    }

    /// Records the poll and its outcomes at the leader. Returns what the entry is told of
    /// the others. Members other than the leader do not know it, and a process that is no
    /// entry is told nothing.
    fn record_entry(&self, now: Mono, poll: &Poll, leads: bool) -> KnownEntries {
        if !leads || poll.name.is_empty() {
            return KnownEntries::default();
        }
        let rollouts = self.store.read(|state| state.fleet.rollouts.clone());
        let mut shared = self.shared();
        shared.canaries.add(&rollouts, &poll.outcomes);
        shared.entries.record_poll(&poll.name, poll.exchange, now);
        if poll.account.is_some() {
            shared.entries.record_account(&poll.name);
        }
        shared
            .review
            .record_poll(&poll.name, &poll.evidence, &poll.hits, now);
        let peers = shared.entries.peers_of(&poll.name);
        let account = poll.account.and_then(|digest| {
            let (addresses, place) = shared.entries.account_members(&poll.name, now)?;
            let differs = poll::account_digest(&addresses, place) != digest;
            differs.then(|| AccountMembers {
                addresses: poll::pack(&addresses),
                place,
            })
        });
        KnownEntries {
            account,
            count: shared.entries.count(now),
            place: shared.entries.place_of(&poll.name, now),
            peers: (poll::digest(&peers) != poll.peers).then_some(peers),
        }
    }
}

/// What the leader tells an entry of all entries.
#[derive(Debug, Default)]
struct KnownEntries {
    /// Number of entries that poll; 0 if it is not known.
    count: u32,
    /// Place of this entry among them.
    place: Option<u32>,
    /// Addresses to which this entry sends messages, if its list of them is out of date.
    peers: Option<Vec<SocketAddr>>,
    /// Members of the account of capacity, if the entry's list of them is out of date.
    account: Option<AccountMembers>,
}

fn unavailable(reason: &str, refused: bool) -> Response {
    Response::Unavailable {
        reason: reason.to_owned(),
        refused,
    }
}
