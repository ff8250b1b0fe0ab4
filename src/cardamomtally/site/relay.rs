//! A control process on a VM without a disk.
//!
//! Such a process stores nothing and is no member of the group. Its address may still be
//! the only one that others know. It therefore learns the members by polling them, and
//! passes on what reaches it: polls and requests for parts to the leader (the lease of an
//! entry runs from when the entry sent its poll, whatever the way), hellos of joining
//! members to the leader, and operators to a member. Initial members learn from it that
//! they form the group without it.

use super::{
    member::SiteMemberSettings,
    poll::{Poll, PollReply},
    selection::MemberSelection,
};
use crate::{
    net::{
        codec,
        nng::{Call, Server},
        transport,
        wire::{Request, Response},
    },
    prelude::*,
    replica::{
        message::{Message, Packet},
        peers::{
            Body, Envelope, Transport,
            nng::{NngOptions, NngTransport},
        },
    },
};
use arc_swap::ArcSwap;
use slog::{Logger, info, warn};
use std::{
    collections::VecDeque,
    sync::{
        Mutex, MutexGuard, PoisonError,
        mpsc::{Receiver, sync_channel},
    },
    thread,
};
use tokio::runtime::Handle;

/// Time between two polls for the members.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Time between two polls while no leader is known.
const SEARCH_PERIOD: Duration = Duration::from_millis(50);

/// Longest wait for a member's answer. It is shorter than the timeout of the entries whose
/// polls are passed on.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of messages that may wait to be passed on. Further ones are dropped, as the
/// network might do.
const QUEUE_MESSAGES: usize = 256;

/// Number of processes from which a message has arrived that are polled for the members.
const MAX_HEARD: usize = 16;

/// A control process that stores nothing.
#[derive(Debug)]
pub struct Relay {
    settings: SiteMemberSettings,
    seeds: ArcSwap<Vec<Name>>,
    selection: Mutex<MemberSelection>,
    /// Processes whose messages have arrived, the latest last. Members send pings to
    /// their seeds, so that they are found even if all seeds store nothing.
    heard: Mutex<VecDeque<Name>>,
    transport: Arc<dyn transport::Transport>,
    log: Logger,
}

impl Relay {
    /// Starts to answer the hellos of members.
    ///
    /// # Errors
    ///
    /// Returns an error if the address for them cannot be bound or a thread cannot be
    /// started.
    pub fn start(
        settings: SiteMemberSettings,
        transport: Arc<dyn transport::Transport>,
        log: Logger,
    ) -> eyre::Result<Arc<Self>> {
        let seeds = settings.seeds.iter().map(|seed| seed.as_str().into());
        let relay = Arc::new(Self {
            seeds: ArcSwap::from_pointee(seeds.collect()),
            settings,
            selection: Mutex::default(),
            heard: Mutex::default(),
            transport,
            log,
        });
        let (queue, envelopes) = sync_channel(QUEUE_MESSAGES);
        let options = NngOptions {
            own: relay.settings.name.as_str().into(),
            listen: format!("{}:{}", relay.settings.name, relay.settings.peer_port),
            others: Vec::new(),
            port: Some(relay.settings.peer_port),
            log: relay.log.clone(),
        };
        let deliver = move |envelope| drop(queue.try_send(envelope));
        let peers = NngTransport::start(options, Box::new(deliver))?;
        let running = Arc::clone(&relay);
        thread::Builder::new()
            .name("relay".to_owned())
            .spawn(move || running.answer_members(Box::new(peers), &envelopes))?;
        Ok(relay)
    }

    /// Starts to pass on polls that arrive at an address, until the returned server is
    /// dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn listen(self: &Arc<Self>, address: &str) -> eyre::Result<Server> {
        let relay = Arc::clone(self);
        let runtime = Handle::current();
        Server::start(address, move |request, call: Call| {
            let relay = Arc::clone(&relay);
            runtime.spawn(async move { call.answer(&relay.pass_on(request).await) });
        })
    }

    /// Returns a member to which requests are passed on and operators are redirected: the
    /// leader if it is known, otherwise any member. Before a poll has told the members, it
    /// is the process whose message has arrived last, since only members send messages of
    /// their own accord.
    #[must_use]
    pub fn member(&self) -> Option<Name> {
        let heard = || lock(&self.heard).back().cloned();
        self.selection().leader().or_else(heard)
    }

    /// Polls for the members until the task is aborted.
    pub async fn run(&self) {
        let mut fleet = Index::default();
        loop {
            let member = self.selection().next(&self.candidates());
            if let Some(member) = member {
                self.poll(&member, &mut fleet).await;
            }
            let known = self.selection().knows_leader();
            let period = if known { POLL_PERIOD } else { SEARCH_PERIOD };
            tokio::time::sleep(period).await;
        }
    }

    /// Replaces the seeds after the settings were reloaded.
    pub fn set_seeds(&self, seeds: Vec<Name>) {
        self.seeds.store(Arc::new(seeds));
    }

    /// Returns the processes that may know the members: those whose messages have
    /// arrived, the latest first, and the seeds.
    fn candidates(&self) -> Vec<Name> {
        let seeds = self.seeds.load_full();
        let heard = lock(&self.heard).clone();
        let all = heard.into_iter().rev().chain(seeds.iter().cloned());
        all.filter(|name| **name != *self.settings.name).collect()
    }

    fn record_heard(&self, name: &Name) {
        let mut heard = lock(&self.heard);
        heard.retain(|known| known != name);
        heard.push_back(Arc::clone(name));
        if heard.len() > MAX_HEARD {
            heard.pop_front();
        }
    }

    /// Polls a member. `fleet` is the index of the latest fleet, which need not be sent
    /// again.
    async fn poll(&self, member: &Name, fleet: &mut Index) {
        let poll = Poll {
            fleet: *fleet,
            parts: true,
            fleet_parts: true,
            ..Poll::default()
        };
        let answer = self.call(member, Request::Site(codec::encode(&poll).into()));
        match answer.await {
            Response::Site(bytes) => {
                let Ok(reply) = codec::decode::<PollReply>(&bytes) else {
                    warn!(self.log, "relay: poll not decoded"; "member" => &**member);
                    return;
                };
                *fleet = reply.fleet.as_ref().map_or(*fleet, |fleet| fleet.index);
                if self.selection().record_answer(&reply) {
                    info!(self.log, "relay: control answers again"; "member" => &**member);
                }
            }
            other => {
                if self.selection().record_failure() {
                    warn!(self.log, "relay: control does not answer"; "member" => &**member,
                        "answer" => format!("{other:?}"));
                }
            }
        }
    }

    async fn pass_on(&self, request: Request) -> Response {
        let member = match &request {
            Request::Site(_) | Request::SitePart(_) => self.member(),
            Request::Claims(_)
            | Request::Health(_)
            | Request::Poll(_)
            | Request::Propose(..)
            | Request::Status => None,
        };
        match member {
            Some(member) => self.call(&member, request).await,
            None => unavailable("this process stores nothing and knows no member"),
        }
    }

    async fn call(&self, member: &Name, request: Request) -> Response {
        let address = format!("{member}:{}", self.settings.poll_port);
        let answer = self.transport.call(&address, request, CALL_TIMEOUT).await;
        answer.unwrap_or_else(|error| unavailable(&error.reason))
    }

    /// Answers pings and hellos, and passes hellos on to the leader.
    fn answer_members(&self, mut peers: Box<dyn Transport>, envelopes: &Receiver<Envelope>) {
        while let Ok(envelope) = envelopes.recv() {
            self.record_heard(&envelope.from);
            let body = match &envelope.body {
                Body::Ping => Body::Ping,
                Body::Log(packet) if matches!(packet.message, Message::Hello { .. }) => {
                    self.pass_hello(&mut *peers, packet);
                    Body::Log(self.decline(packet))
                }
                Body::Log(_) | Body::Reply(_) | Body::Request(_) => continue,
            };
            peers.send(&envelope.from, self.envelope(body));
        }
    }

    fn pass_hello(&self, peers: &mut dyn Transport, hello: &Packet) {
        let leader = self.member().filter(|leader| *leader != hello.name);
        if let Some(leader) = leader {
            peers.send(&leader, self.envelope(Body::Log(hello.clone())));
        }
    }

    fn decline(&self, hello: &Packet) -> Packet {
        Packet {
            cluster: 0,
            from: MemberId::default(),
            name: self.settings.name.as_str().into(),
            to: hello.from,
            message: Message::Decline,
        }
    }

    fn envelope(&self, body: Body) -> Envelope {
        Envelope {
            from: self.settings.name.as_str().into(),
            hears: true,
            reads_packed: true,
            group: GroupId::CONFIG,
            body,
        }
    }

    fn selection(&self) -> MutexGuard<'_, MemberSelection> {
        lock(&self.selection)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unavailable(reason: &str) -> Response {
    Response::Unavailable {
        reason: reason.to_owned(),
        refused: false,
    }
}
