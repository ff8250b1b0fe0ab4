//! The shared state of a control member's HTTP routes, poll handler and tasks.

use super::{
    machine::Store,
    rounds::Rounds,
    state::{Command, Reply},
    status,
    ticket::{self, Ticket},
    view::{LocalStatus, MemberView, Status},
};
use crate::{
    core::{
        claim::ClaimOp,
        finding::Findings,
        id::{GroupId, Name},
        log::{Log, LogError},
    },
    daemon::Context,
    ledger::shards::Shards,
    net::{
        codec,
        transport::Transport,
        wire::{Request, Response},
    },
    replica::host::Host,
    settings::ControlSettings,
};
use std::{
    fmt,
    sync::{Arc, OnceLock},
    time::Duration,
};

/// Timeout of a status call to another member, and of the quorum confirmation that
/// a status needs. A member that does not answer in time is shown by name only.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Time during which a ticket is proposed again while the log gives no answer;
/// after it, the submitter gets the error.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay between two proposals of the same ticket.
const PROPOSE_BACKOFF: Duration = Duration::from_millis(100);

/// Outcome of a submitted ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Submission {
    /// The state machine answered; the reply tells whether the ticket was accepted.
    Decided(Reply),
    /// The ticket's content was refused, with the place of each fault in the text.
    Faulty(Findings),
    /// The ticket was not committed, because there was no quorum or no leader.
    NotRun(LogError),
    /// No proposal was answered, but one of them may have been committed, so the
    /// ticket may have been accepted.
    Unknown(LogError),
}

/// A control member.
pub struct Member {
    /// The member's settings.
    pub settings: ControlSettings,
    /// Clock, log and time line of the daemon.
    pub context: Context,
    /// The replicated log of all groups, local and remote.
    pub log: Arc<dyn Log>,
    /// The state of the configuration group.
    pub store: Arc<Store>,
    /// The quorum rounds that answer polls.
    pub rounds: Arc<Rounds>,
    /// The client for calls to other members.
    pub transport: Arc<dyn Transport>,
    /// The ledger, which stores the claims of requests.
    pub shards: Shards,
    /// Version health: pending reports and, on the leader, scores.
    pub health: super::health::HealthTracker,
    /// The replicas on this member.
    pub host: Arc<Host>,
    /// Returns the bytes that the poll listener has sent and received. It is set
    /// once the listener has started.
    pub traffic: OnceLock<Box<dyn Fn() -> (u64, u64) + Send + Sync>>,
}

impl fmt::Debug for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Member")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl Member {
    /// Returns the member's name from its settings.
    pub fn name(&self) -> Name {
        self.settings.process.name.as_str().into()
    }

    /// Proposes a command to the configuration group.
    ///
    /// # Errors
    ///
    /// Returns an error if the log gives no answer, or one that does not decode.
    /// Only [`LogError::NoLeader`] means that the command was not committed.
    pub async fn propose(&self, command: &Command) -> Result<Reply, LogError> {
        let bytes = codec::encode(command);
        let answer = self.log.propose(GroupId::CONFIG, bytes).await?;
        codec::decode(&answer).map_err(|_undecodable| LogError::Unknown)
    }

    /// Validates a ticket against the configuration in force and proposes it.
    pub async fn submit(&self, ticket: Ticket, text: &str) -> Submission {
        // The barrier makes sure that the state read below contains every ticket
        // that any member has accepted before.
        if let Err(error) = self.log.barrier(GroupId::CONFIG).await {
            return Submission::NotRun(error);
        }
        let numbering = self.settings.tickets.numbering;
        let digest = ticket.digest();
        let decided = self
            .store
            .read(|state| state.check_number(&ticket.partner, ticket.number, digest, numbering));
        if let Some(reply) = decided {
            return Submission::Decided(reply);
        }
        let view = self.store.view();
        if let Err(findings) = ticket::check(ticket::NETWORK_FILE, text, Some(&view.config)) {
            return Submission::Faulty(findings);
        }
        let command = Command::Ticket {
            ticket: Box::new(ticket),
            text: text.to_owned(),
            numbering,
        };
        match self.propose_until_answered(&command).await {
            Submission::Decided(Reply::Faulty(faults)) => {
                Submission::Faulty(ticket::locate_faults(text, &faults))
            }
            other => other,
        }
    }

    /// Proposes a ticket until the log answers or [`PROPOSE_TIMEOUT`] has passed.
    /// A retry is safe, since the same ticket proposed twice is accepted once.
    async fn propose_until_answered(&self, command: &Command) -> Submission {
        let deadline = self.context.clock.now() + PROPOSE_TIMEOUT;
        let mut unknown = None;
        loop {
            let error = match self.propose(command).await {
                Ok(reply) => return Submission::Decided(reply),
                Err(error) => error,
            };
            if error != LogError::NoLeader {
                unknown = Some(error.clone());
            }
            if self.context.clock.now() >= deadline || error == LogError::Stopped {
                return unknown.map_or(Submission::NotRun(error), Submission::Unknown);
            }
            tokio::time::sleep(PROPOSE_BACKOFF).await;
        }
    }

    /// Returns the status of this member alone, without asking others.
    pub fn local_status(&self) -> LocalStatus {
        LocalStatus {
            member: MemberView {
                name: self.name(),
                answers: true,
                leads: self.log.leader(GroupId::CONFIG).is_self,
                applied: self.store.view().config.index,
                replicas: self.host.status(),
                bytes: self.traffic.get().map(|read| read()).unwrap_or_default(),
            },
            processes: self.rounds.processes(),
            kept: self.health.kept_versions(),
        }
    }

    /// Asks all members for their status and returns the status of the system.
    pub async fn status(&self) -> Status {
        let confirmed = tokio::time::timeout(STATUS_TIMEOUT, self.log.barrier(GroupId::CONFIG));
        let confirmed = matches!(confirmed.await, Ok(Ok(_index)));
        let members = &self.settings.group.members;
        let answers = members.iter().map(|member| async {
            let name = Name::from(member.name.as_str());
            if name == self.name() {
                return Ok(self.local_status());
            }
            let call = self
                .transport
                .call(&member.poll, Request::Status, STATUS_TIMEOUT);
            match call.await {
                Ok(Response::Status(bytes)) => codec::decode(&bytes).map_err(|_undecodable| name),
                _ => Err(name),
            }
        });
        let answers = futures::future::join_all(answers).await;
        let lease = self.settings.lease.length.0;
        status::build(self.name(), confirmed, &self.store.view(), answers, lease)
    }

    /// Applies ledger operations, each in its shard's group. The response is
    /// `Unavailable` if a shard does not answer.
    pub async fn apply_claims(&self, ops: Vec<ClaimOp>) -> Response {
        match self.shards.apply(ops).await {
            Ok(replies) => Response::Claims(replies),
            Err(error) => Response::Unavailable {
                reason: error.reason,
                refused: error.refused,
            },
        }
    }

    /// Proposes a command that a member without a replica of the group forwarded.
    /// In the response, `refused` means that the command was not committed.
    pub async fn propose_forwarded(&self, group: GroupId, command: Vec<u8>) -> Response {
        match self.log.propose(group, command).await {
            Ok(bytes) => Response::Proposed(serde_bytes::ByteBuf::from(bytes)),
            Err(error) => Response::Unavailable {
                refused: error == LogError::NoLeader,
                reason: error.to_string(),
            },
        }
    }

    /// Returns the poll address of the leader, if it is another member.
    pub fn leader_address(&self) -> Option<&str> {
        let leader = self.log.leader(GroupId::CONFIG);
        let name = leader.name.filter(|_| !leader.is_self)?;
        let members = self.settings.group.members.iter();
        let mut found = members.filter(|m| m.name == *name).map(|m| m.poll.as_str());
        found.next()
    }
}
