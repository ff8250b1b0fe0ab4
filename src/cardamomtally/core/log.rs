//! Interfaces of the replicated log and of the state machines that apply it.

use crate::core::id::{GroupId, Index, Name};
use futures::future::BoxFuture;
use std::{fmt, fmt::Debug};

/// Error of a call to the log that got no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogError {
    /// No leader with a quorum took the call in time, or this member's queue of
    /// calls is full. A command that fails with this error was not handed to a
    /// leader, so it was not and will not be committed.
    NoLeader,
    /// The outcome is unknown: the command may have been or may still be
    /// committed. The caller can propose the same command again.
    Unknown,
    /// This member is stopping, or its disk failed.
    Stopped,
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoLeader => "no leader has a quorum",
            Self::Unknown => "the outcome is unknown; send the same command again",
            Self::Stopped => "the member is stopping or its disk failed",
        })
    }
}

impl std::error::Error for LogError {}

/// A replicated log and the state machines that apply it, one per group.
pub trait Log: Debug + Send + Sync {
    /// Commits a command to the disks of a quorum, applies it and returns the
    /// state machine's answer. A member that is not the leader forwards the
    /// command to the leader. A command may be committed twice, so state machines
    /// recognise duplicates by their content.
    fn propose(&self, group: GroupId, command: Vec<u8>)
    -> BoxFuture<'_, Result<Vec<u8>, LogError>>;

    /// Proposes a command that only the leader may propose, such as what it has just read
    /// elsewhere. Unlike with [`Log::propose`], the command is not forwarded and not sent
    /// again, since the next leader may have committed a newer one meanwhile. Fails if this
    /// member does not lead. If it ceases to, the outcome is unknown.
    fn propose_as_leader(
        &self,
        group: GroupId,
        command: Vec<u8>,
    ) -> BoxFuture<'_, Result<Vec<u8>, LogError>>;

    /// Obtains a commit index that a quorum confirmed after this call began, waits
    /// until the local state machine has applied it, and returns it. A read of the
    /// local state after that is linearizable.
    fn barrier(&self, group: GroupId) -> BoxFuture<'_, Result<Index, LogError>>;

    /// Returns the leader of a group, as far as this member knows.
    fn leader(&self, group: GroupId) -> Leader;
}

/// The leader of a group, as one member knows it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Leader {
    /// Whether this member leads. A leader that no quorum of voters has answered
    /// within the election timeout steps down.
    pub is_self: bool,
    /// Process name of the leader, if known.
    pub name: Option<Name>,
}

/// A deterministic state machine that applies the commands of a replicated log.
pub trait StateMachine: Debug + Send {
    /// Applies a committed command and returns the answer to it. A command that
    /// does not decode leaves the state unchanged.
    fn apply(&mut self, index: Index, command: &[u8]) -> Vec<u8>;

    /// Encodes the complete state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the complete state by that of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the state unchanged, if the bytes do not
    /// decode.
    fn restore(&mut self, bytes: &[u8]) -> eyre::Result<()>;
}
