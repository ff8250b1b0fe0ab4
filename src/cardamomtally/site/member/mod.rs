//! A control member that stores a site's document on the replicated log.
//!
//! Every member accepts operators' calls and entries' polls. A change is proposed to the
//! log and acknowledged once a quorum has synced it to disk. A read waits for a quorum
//! round that began after the read had arrived. The leader also reads the platform's
//! list of backend servers and decides the steps of roll-outs.

pub mod orders;
mod polls;
pub mod senders;

use super::{
    backend::{ColdReadings, Inventory},
    canary::CanaryAnalysis,
    document::{Document, Fault},
    entries::Entries,
    orders::Doubt,
    rollout::Step,
    rollout_time::RolloutTimes,
    state::{Command, Fleet, Machine, Reply, State, Store, Submission},
    transfer::Encodings,
};
use crate::{
    core::log::{Log, LogError},
    net::codec,
    prelude::*,
    quarantine::review::Review,
    replica::host::{GroupSpec, GroupStatus, Host, HostOptions, MemberStatus, Suffrage},
    settings::{
        control::{GroupSettings, MemberSettings},
        units::{Size, Span},
    },
    timeline::Recorder,
};
use senders::{Senders, TICK_INTERVAL};
use slog::{Logger, info, warn};
use std::{
    path::PathBuf,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Interval of the leader's tasks.
const LEADER_INTERVAL: Duration = Duration::from_millis(200);

/// Number of log entries between two snapshots. It is low because a log entry can hold
/// a large document.
const SNAPSHOT_ENTRIES: u64 = 96;

/// Number of events that the member keeps for the timeline.
const MAX_EVENTS: usize = 512;

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct SiteMemberSettings {
    /// Process name of the member, which is its IP address.
    pub name: String,
    /// Folder for the member's log and snapshots.
    pub folder: PathBuf,
    /// Names of the members through which this member finds the group.
    pub seeds: Vec<String>,
    /// Whether this member may form a new group together with the other seeds. It may
    /// only if it is a seed itself.
    pub form: bool,
    /// Number of members whose disks may be lost at once.
    pub losses: u8,
    /// Port for polls, which is the same at all members.
    pub poll_port: u16,
    /// Port for replication, which is the same at all members.
    pub peer_port: u16,
    /// Time between two readings of the platform's list of backend servers.
    pub list_period: Duration,
}

impl Default for SiteMemberSettings {
    fn default() -> Self {
        Self {
            name: String::new(),
            folder: PathBuf::new(),
            seeds: Vec::new(),
            form: false,
            losses: 1,
            poll_port: 7302,
            peer_port: 7303,
            list_period: Duration::from_millis(700),
        }
    }
}

impl SiteMemberSettings {
    fn group(&self) -> GroupSettings {
        let mut names = self.seeds.clone();
        if !names.contains(&self.name) {
            names.push(self.name.clone());
        }
        let members = names.into_iter().map(|name| MemberSettings {
            poll: format!("{name}:{}", self.poll_port),
            peer: format!("{name}:{}", self.peer_port),
            name,
        });
        GroupSettings {
            folder: self.folder.clone(),
            members: members.collect(),
            bind_poll: None,
            bind_peer: None,
            peer_port: Some(self.peer_port),
            losses: self.losses,
            form: self.form && self.seeds.contains(&self.name),
            heartbeat: Span::ms(100),
            election: Span::ms(500),
            snapshot_entries: SNAPSHOT_ENTRIES,
            segment: Size(2 << 20),
        }
    }
}

/// Why an operator's call failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The document is invalid; nothing was proposed.
    Faulty(Vec<Fault>),
    /// No leader with a quorum answered; nothing was proposed.
    Unavailable,
    /// The sender may have given the order up and ordered the contrary at another member, or
    /// somebody else has; nothing was done. It is carried out if its sender sends it again and
    /// tells that it was asked.
    Doubtful(Doubt),
    /// The outcome is unknown: the change may or may not take effect.
    Unknown,
}

impl From<LogError> for Refusal {
    fn from(error: LogError) -> Self {
        match error {
            LogError::NoLeader => Self::Unavailable,
            LogError::Stopped | LogError::Unknown => Self::Unknown,
        }
    }
}

/// A running control member of a site.
#[derive(Debug)]
pub struct SiteMember {
    log: Arc<dyn Log>,
    host: Arc<Host>,
    store: Arc<Store>,
    clock: Arc<dyn Clock>,
    logger: Logger,
    senders: Senders,
    shared: Mutex<Shared>,
    times: Mutex<RolloutTimes>,
    documents: Encodings,
    fleets: Encodings,
}

/// State of the leader that polls and its tasks share. It is cleared while another
/// member leads.
#[derive(Debug, Default)]
struct Shared {
    canaries: CanaryAnalysis,
    cold: ColdReadings,
    entries: Entries,
    review: Review,
}

impl SiteMember {
    /// Starts the member's replica.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be used or an address cannot be bound.
    pub fn start(
        settings: &SiteMemberSettings,
        clock: Arc<dyn Clock>,
        logger: Logger,
    ) -> eyre::Result<Arc<Self>> {
        let store = Arc::<Store>::default();
        let group = GroupSpec {
            id: GroupId::CONFIG,
            members: settings.seeds.clone(),
            machine: Box::new(Machine::new(Arc::clone(&store))),
        };
        let host = Arc::new(Host::start(HostOptions {
            settings: settings.group(),
            name: settings.name.clone(),
            groups: vec![group],
            log: logger.clone(),
            events: Arc::new(Recorder::new(
                &settings.name,
                Arc::clone(&clock),
                MAX_EVENTS,
            )),
            clock: Arc::clone(&clock),
        })?);
        Ok(Arc::new(Self {
            log: Arc::clone(&host) as Arc<dyn Log>,
            host,
            store,
            clock,
            logger,
            senders: Senders::default(),
            shared: Mutex::default(),
            times: Mutex::default(),
            documents: Encodings::default(),
            fleets: Encodings::default(),
        }))
    }

    fn members(&self) -> Vec<Name> {
        let groups = self.host.status();
        let members = groups.into_iter().flat_map(|group| group.members);
        members.map(|member| member.name).collect()
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn propose(&self, command: &Command) -> Result<Reply, LogError> {
        let reply = self.log.propose(GroupId::CONFIG, codec::encode(command));
        applied(&reply.await?)
    }

    /// Puts a document in force, unless one with the same or a higher number is.
    ///
    /// `source` is the document as the operator sent it.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is invalid or no quorum has confirmed the change.
    pub async fn submit(&self, document: Document, source: Vec<u8>) -> Result<Reply, Refusal> {
        let faults = document.check();
        if !faults.is_empty() {
            return Err(Refusal::Faulty(faults));
        }
        let number = document.number;
        let is_newer = |state: &State| {
            let held = state.document.as_ref();
            held.is_none_or(|(_, held)| held.document.number < number)
        };
        // One that is not newer changes nothing. The log keeps its entries in memory for some
        // time, so it gets none for it.
        if !self.store.read(is_newer) {
            self.log.barrier(GroupId::CONFIG).await?;
            return Ok(Reply::Same);
        }
        let submission = Submission { document, source };
        let outcome = self.propose(&Command::Submit(Box::new(submission))).await;
        info!(self.logger, "site: document submitted";
            "number" => number, "outcome" => format!("{outcome:?}"));
        Ok(outcome?)
    }

    /// Returns the document in force, decoded and as it was sent.
    ///
    /// # Errors
    ///
    /// Returns an error if no quorum confirms the state.
    pub async fn read(&self) -> Result<Option<Arc<Submission>>, Refusal> {
        self.log.barrier(GroupId::CONFIG).await?;
        let document = self.store.read(|state| state.document.clone());
        Ok(document.map(|(_, submission)| submission))
    }

    /// Measures in an endless loop for how long this process does not run its tasks. Orders
    /// that it receives then may be old.
    pub async fn watch_stalls(self: Arc<Self>) {
        loop {
            self.senders.tick(self.clock.now());
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Replaces the seeds after the settings were reloaded. Those without a disk learn from
    /// this member's pings who the members are.
    pub fn set_seeds(&self, seeds: Vec<Name>) {
        self.host.set_listed(seeds);
    }

    /// Hands over leadership, if this member leads, and stops the replica.
    pub fn stop(&self) {
        self.host.stop();
    }

    fn wall_ms(&self) -> u64 {
        self.clock.wall_micros() / 1_000
    }

    /// Returns how long roll-outs have run, after those in the state were noted.
    fn rollout_times(&self) -> MutexGuard<'_, RolloutTimes> {
        let now = self.clock.now();
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        self.store
            .read(|state| times.observe(&state.fleet.rollouts, &state.progress, now));
        times
    }

    /// Runs the leader's tasks in an endless loop: every 200 ms it decides the steps of
    /// roll-outs, and once each `period` it reads the list of backend servers. While
    /// another member leads, the loop only notes how long roll-outs run.
    pub async fn run_leader_tasks(
        self: Arc<Self>,
        inventory: Arc<dyn Inventory>,
        period: Duration,
    ) {
        let mut last_read = Mono::default();
        loop {
            tokio::time::sleep(LEADER_INTERVAL).await;
            if !self.log.leader(GroupId::CONFIG).is_self {
                *self.shared() = Shared::default();
                drop(self.rollout_times());
                continue;
            }
            self.step_rollouts().await;
            self.review_content().await;
            let now = self.clock.now();
            if now.since(last_read) >= period {
                last_read = now;
                let reading = self.update_backends(&*inventory);
                if tokio::time::timeout(period * 2, reading).await.is_err() {
                    warn!(
                        self.logger,
                        "site: updating the list of backend servers timed out; retrying in the next period"
                    );
                }
            }
        }
    }

    /// Proposes the steps of roll-outs that are due.
    async fn step_rollouts(&self) {
        for step in self.due_steps() {
            info!(self.logger, "site: roll-out step"; "service" => &*step.service,
                "stage" => format!("{:?}", step.stage), "permille" => step.permille);
            if let Err(error) = self.propose_as_leader(&Command::Step(step)).await {
                warn!(self.logger, "site: roll-out step not committed"; "error" => %error);
            }
        }
    }

    fn due_steps(&self) -> Vec<Step> {
        let rollouts = self.store.read(|state| state.fleet.rollouts.clone());
        let now = self.clock.now();
        let times = self.rollout_times();
        self.shared().canaries.steps(&times, now, &rollouts)
    }

    /// Proposes the verdicts on content that are due.
    async fn review_content(&self) {
        let verdicts = self.store.read(|state| Arc::clone(&state.verdicts));
        let (wall, now) = (self.wall_ms(), self.clock.now());
        let changes = self.shared().review.changes(&verdicts, wall, now);
        if changes.is_empty() {
            return;
        }
        info!(self.logger, "site: verdicts on content change"; "changes" => format!("{changes:?}"));
        if let Err(error) = self.propose_as_leader(&Command::Verdicts(changes)).await {
            warn!(self.logger, "site: verdicts on content not committed"; "error" => %error);
        }
    }

    /// Reads the list of backend servers, and proposes it if it has changed.
    async fn update_backends(&self, inventory: &dyn Inventory) {
        let mut backends = match inventory.list().await {
            Ok(backends) => backends,
            Err(error) => {
                warn!(self.logger, "site: failed to read the list of backend servers; the last list stays in force";
                    "error" => format!("{error:#}"));
                return;
            }
        };
        let fleet = self.fleet();
        let now = self.clock.now();
        self.shared().cold.keep(&fleet.backends, &mut backends, now);
        if fleet.backends == backends {
            return;
        }
        info!(self.logger, "site: backend servers changed"; "count" => backends.len());
        if let Err(error) = self.propose_as_leader(&Command::Backends(backends)).await {
            warn!(self.logger, "site: backend servers not committed"; "error" => %error);
        }
    }

    /// Returns the status of the group as this member sees it, without a quorum round.
    #[must_use]
    pub fn status(&self) -> Vec<GroupStatus> {
        self.host.status()
    }

    /// Proposes what this member has just read or decided as the leader. The next leader reads
    /// and decides itself, and must not be sent this after it has committed something newer.
    async fn propose_as_leader(&self, command: &Command) -> Result<Reply, LogError> {
        let command = codec::encode(command);
        let reply = self.log.propose_as_leader(GroupId::CONFIG, command);
        applied(&reply.await?)
    }

    /// Returns the voting members as this member knows them.
    #[must_use]
    pub fn voters(&self) -> Vec<MemberStatus> {
        let groups = self.host.status();
        let members = groups.into_iter().flat_map(|group| group.members);
        members.filter(|m| m.suffrage == Suffrage::Voter).collect()
    }

    /// Returns the fleet as this member has applied it, without a quorum round. It may be
    /// out of date.
    #[must_use]
    pub fn fleet(&self) -> Arc<Fleet> {
        self.store.read(|state| Arc::clone(&state.fleet))
    }
}

/// Decodes the state machine's reply to a command.
fn applied(reply: &[u8]) -> Result<Reply, LogError> {
    match codec::decode(reply) {
        // The log holds the command, and this member's state machine has not applied it.
        // Members of other builds may have.
        Ok(Reply::Unreadable) | Err(_) => Err(LogError::Unknown),
        Ok(reply) => Ok(reply),
    }
}
