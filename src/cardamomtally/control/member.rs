//! What the parts of a control member share.

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

/// How long a member waits for another member's answer.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a ticket is proposed again while no leader answers.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Wait between proposals of the same ticket.
const PROPOSE_BACKOFF: Duration = Duration::from_millis(100);

/// What came of a submitted ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Submission {
    /// The state machine's answer.
    Decided(Reply),
    /// The text is faulty.
    Faulty(Findings),
    /// Nothing was proposed: no quorum.
    NotRun(LogError),
    /// It may have been accepted.
    Unknown(LogError),
}

/// A control member's parts.
pub struct Member {
    /// Its settings.
    pub settings: ControlSettings,
    /// The daemon's context.
    pub context: Context,
    /// The replicated log.
    pub log: Arc<dyn Log>,
    /// The configuration's state.
    pub store: Arc<Store>,
    /// Quorum rounds.
    pub rounds: Arc<Rounds>,
    /// The way to the other members.
    pub transport: Arc<dyn Transport>,
    /// The ledger's shards.
    pub shards: Shards,
    /// Version health.
    pub health: super::health::Pool,
    /// This member's replicas.
    pub host: Arc<Host>,
    /// Reads the bytes that the poll listener has carried.
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
    /// Returns the member's name.
    pub fn name(&self) -> Name {
        self.settings.process.name.as_str().into()
    }

    /// Proposes a command to the configuration group.
    ///
    /// # Errors
    ///
    /// Returns an error if the log gives no answer.
    pub async fn propose(&self, command: &Command) -> Result<Reply, LogError> {
        let bytes = codec::encode(command);
        let answer = self.log.propose(GroupId::CONFIG, bytes).await?;
        codec::decode(&answer).map_err(|_undecodable| LogError::Unknown)
    }

    /// Reads, judges and proposes a ticket.
    pub async fn submit(&self, ticket: Ticket, text: &str) -> Submission {
        // The state read here must hold what was accepted before, at any member.
        if let Err(error) = self.log.barrier(GroupId::CONFIG).await {
            return Submission::NotRun(error);
        }
        let numbering = self.settings.tickets.numbering;
        let digest = ticket.digest();
        let decided = self
            .store
            .read(|state| state.decide_number(&ticket.partner, ticket.number, digest, numbering));
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
                Submission::Faulty(ticket::place_faults(text, &faults))
            }
            other => other,
        }
    }

    /// Proposes a ticket until the log answers: the same ticket proposed twice
    /// is accepted once.
    async fn propose_until_answered(&self, command: &Command) -> Submission {
        let until = self.context.clock.now() + PROPOSE_TIMEOUT;
        let mut unknown = None;
        loop {
            let error = match self.propose(command).await {
                Ok(reply) => return Submission::Decided(reply),
                Err(error) => error,
            };
            if error != LogError::NoLeader {
                unknown = Some(error.clone());
            }
            if self.context.clock.now() >= until || error == LogError::Stopped {
                return unknown.map_or(Submission::NotRun(error), Submission::Unknown);
            }
            tokio::time::sleep(PROPOSE_BACKOFF).await;
        }
    }

    /// Returns what this member knows by itself.
    pub fn local_status(&self) -> LocalStatus {
        LocalStatus {
            member: MemberView {
                name: self.name(),
                answers: true,
                leads: self.log.leader(GroupId::CONFIG).here,
                applied: self.store.view().config.index,
                replicas: self.host.status(),
                bytes: self.traffic.get().map(|read| read()).unwrap_or_default(),
            },
            processes: self.rounds.processes(),
            kept: self.health.kept(),
        }
    }

    /// Asks all members and returns the whole picture.
    pub async fn status(&self) -> Status {
        let confirmed = tokio::time::timeout(MEMBER_TIMEOUT, self.log.barrier(GroupId::CONFIG));
        let confirmed = matches!(confirmed.await, Ok(Ok(_index)));
        let members = &self.settings.group.members;
        let answers = members.iter().map(|member| async {
            let name = Name::from(member.name.as_str());
            if name == self.name() {
                return Ok(self.local_status());
            }
            let call = self
                .transport
                .call(&member.poll, Request::Status, MEMBER_TIMEOUT);
            match call.await {
                Ok(Response::Status(bytes)) => codec::decode(&bytes).map_err(|_undecodable| name),
                _ => Err(name),
            }
        });
        let answers = futures::future::join_all(answers).await;
        let lease = self.settings.lease.length.0;
        status::build(self.name(), confirmed, &self.store.view(), answers, lease)
    }

    /// Applies ledger operations, each in its shard's group.
    pub async fn claims(&self, ops: Vec<ClaimOp>) -> Response {
        match self.shards.apply(ops).await {
            Ok(replies) => Response::Claims(replies),
            Err(error) => Response::Unavailable {
                reason: error.reason,
                refused: error.refused,
            },
        }
    }

    /// Proposes a command for a member that has no replica of its group.
    pub async fn propose_for(&self, group: GroupId, command: Vec<u8>) -> Response {
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
        let name = leader.name.filter(|_| !leader.here)?;
        let members = self.settings.group.members.iter();
        let mut found = members.filter(|m| m.name == *name).map(|m| m.poll.as_str());
        found.next()
    }
}
