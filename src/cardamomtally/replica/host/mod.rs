//! Runs one control member in all its groups.
//!
//! One thread, the control thread (`worker.rs`), owns the nodes and the state
//! machines. It takes events from one queue: messages of other members, completed
//! syncs, and commands and reads of this process. After each batch of events it
//! flushes every node and applies the effects. Each group has a thread of its own
//! that writes and syncs. A command or read that arrives at a member that is not
//! the leader is forwarded to the leader over the same transport.

mod calls;
mod gauges;
mod group;
mod links;
mod options;
mod recovery;
mod worker;

pub use options::{GroupSpec, GroupStatus, HostOptions, MemberStatus, Suffrage};

use super::{
    peers::{
        MessageHandler, Transport,
        nng::{NngOptions, NngTransport},
    },
    storage::{Storage, late::LateDisk},
};
use crate::{
    core::log::{Leader, Log, LogError},
    prelude::*,
};
use arc_swap::ArcSwap;
use calls::Taker;
use eyre::{ensure, eyre};
use futures::future::BoxFuture;
use std::{
    fmt,
    sync::{
        Mutex, PoisonError,
        mpsc::{SyncSender, sync_channel},
    },
    thread::{self, JoinHandle},
};
use tokio::sync::oneshot;
use worker::{Event, Worker};

/// Events that may wait for the control thread. When the queue is full, messages
/// of other members are dropped and calls of this process fail with
/// [`LogError::NoLeader`].
const QUEUE_EVENTS: usize = 32_768;

/// Opens the storage of a group.
pub type OpenStorage<'s> = dyn Fn(GroupId) -> eyre::Result<Box<dyn Storage>> + 's;

/// Opens the transport that passes received messages to a function.
pub type OpenTransport<'p> = dyn FnOnce(MessageHandler) -> eyre::Result<Box<dyn Transport>> + 'p;

/// The latest status of all groups, which the control thread replaces and other
/// threads read.
type Published = Arc<ArcSwap<Vec<GroupStatus>>>;

/// A control member in all its groups. Dropping it stops the member.
pub struct Host {
    events: SyncSender<Event>,
    published: Published,
    name: Name,
    bound: String,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl Host {
    /// Opens the member's folder, starts to listen, and starts its threads.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings lack this member, or if the folder or the
    /// address cannot be used.
    pub fn start(options: HostOptions) -> eyre::Result<Self> {
        let folder = options.settings.folder.clone();
        let segment = options.settings.segment.0;
        let storage = move |group: GroupId| -> eyre::Result<Box<dyn Storage>> {
            let folder = folder.join(format!("group-{}", group.0));
            Ok(Box::new(LateDisk::open(&folder, segment)?))
        };
        Self::start_with_storage(options, &storage)
    }

    /// Starts like [`Host::start`], but with the storage that `storage` opens for
    /// each group.
    ///
    /// # Errors
    ///
    /// Returns an error under the same conditions as [`Host::start`].
    pub fn start_with_storage(
        options: HostOptions,
        storage: &OpenStorage<'_>,
    ) -> eyre::Result<Self> {
        let settings = options.settings.clone();
        let own = settings.members.iter().find(|m| m.name == options.name);
        let own = own.ok_or_else(|| eyre!("no `group.member` is named `{}`", options.name))?;
        let listen = settings
            .bind_peer
            .clone()
            .unwrap_or_else(|| own.peer.clone());
        let others = settings.members.iter().filter(|m| m.name != options.name);
        let others: Vec<_> = others.cloned().collect();
        let log = options.log.clone();
        let peers = NngOptions {
            own: Name::from(options.name.as_str()),
            listen,
            others,
            port: settings.peer_port,
            log,
        };
        let peers = move |deliver: MessageHandler| -> eyre::Result<Box<dyn Transport>> {
            Ok(Box::new(NngTransport::start(peers, deliver)?))
        };
        Self::start_with_transport(options, storage, Box::new(peers))
    }

    /// Starts like [`Host::start`], but with the storage that `storage` opens for
    /// each group and the transport that `peers` opens.
    ///
    /// # Errors
    ///
    /// Returns an error under the same conditions as [`Host::start`].
    pub fn start_with_transport(
        options: HostOptions,
        storage: &OpenStorage<'_>,
        peers: Box<OpenTransport<'_>>,
    ) -> eyre::Result<Self> {
        for group in &options.groups {
            let open = options.settings.peer_port.is_some();
            let member = open || group.members.contains(&options.name);
            ensure!(
                member,
                "group {} lacks member `{}`",
                group.id.0,
                options.name
            );
        }
        let (events, inbox) = sync_channel(QUEUE_EVENTS);
        let name = Name::from(options.name.as_str());
        let now = options.clock.now();
        let settings = &options.settings;
        let groups = group::open(options.groups, settings, &name, &events, storage, now)?;
        let queue = events.clone();
        // A message that does not fit into the queue is dropped, as the network
        // might do.
        let deliver = move |envelope| drop(queue.try_send(Event::Peer(envelope)));
        let peers = peers(Box::new(deliver))?;
        let bound = peers.bound();
        let published = Published::default();
        let worker = Worker {
            groups,
            links: links::Links::new(settings, &name, now),
            peers,
            name: Arc::clone(&name),
            clock: options.clock,
            log: options.log,
            events: options.events,
            published: Arc::clone(&published),
            stopping: false,
            killed: false,
        };
        let run = move || worker.run(inbox);
        let thread = thread::Builder::new().name("replica".into()).spawn(run)?;
        Ok(Self {
            events,
            published,
            name,
            bound,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Returns the status of all groups as this member last published it.
    #[must_use]
    pub fn status(&self) -> Vec<GroupStatus> {
        self.published.load().as_ref().clone()
    }

    /// Returns the address at which this member receives replication messages.
    #[must_use]
    pub fn bound_peer(&self) -> String {
        self.bound.clone()
    }

    /// Replaces the members that the settings list, which this member sends pings to until
    /// it hears them. Voting is not affected.
    pub fn set_listed(&self, names: Vec<Name>) {
        if self.events.try_send(Event::Listed(names)).is_err() {
            metrics::counter!("cardamomtally_replica_dropped_messages").increment(1);
        }
    }

    /// Transfers leadership, writes what is queued and stops the threads.
    pub fn stop(&self) {
        self.end(Event::Stop);
    }

    /// Stops the threads without transferring leadership, as a crash would.
    pub fn kill(&self) {
        self.end(Event::Kill);
    }

    fn end(&self, event: Event) {
        let thread = self
            .thread
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(thread) = thread {
            // The control thread has ended on its own only if it panicked, and
            // the panic hook has already reported that.
            let _ended = self.events.send(event);
            let _panicked = thread.join();
        }
    }

    async fn request<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<Result<T, LogError>>) -> Event,
    ) -> Result<T, LogError> {
        let (reply, answer) = oneshot::channel();
        if self.events.try_send(event(reply)).is_err() {
            return Err(LogError::NoLeader);
        }
        answer.await.unwrap_or(Err(LogError::Stopped))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.stop();
    }
}

impl fmt::Debug for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Host")
            .field("name", &self.name)
            .field("bound", &self.bound)
            .finish_non_exhaustive()
    }
}

impl Log for Host {
    fn propose(
        &self,
        group: GroupId,
        command: Vec<u8>,
    ) -> BoxFuture<'_, Result<Vec<u8>, LogError>> {
        Box::pin(self.request(move |reply| Event::Propose {
            group,
            command,
            taker: Taker::AnyLeader,
            reply,
        }))
    }

    fn propose_as_leader(
        &self,
        group: GroupId,
        command: Vec<u8>,
    ) -> BoxFuture<'_, Result<Vec<u8>, LogError>> {
        Box::pin(self.request(move |reply| Event::Propose {
            group,
            command,
            taker: Taker::ThisMember,
            reply,
        }))
    }

    fn barrier(&self, group: GroupId) -> BoxFuture<'_, Result<Index, LogError>> {
        Box::pin(self.request(move |reply| Event::Barrier { group, reply }))
    }

    fn leader(&self, group: GroupId) -> Leader {
        let groups = self.published.load();
        let status = groups.iter().find(|s| s.group == group);
        status.map_or_else(Leader::default, |status| Leader {
            is_self: status.leads,
            name: status.leader.clone(),
        })
    }
}
