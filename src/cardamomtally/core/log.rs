//! The replicated log as its users see it.

use crate::core::id::{GroupId, Index, Name};
use futures::future::BoxFuture;
use std::{fmt, fmt::Debug};

/// Why the log gave no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogError {
    /// This member is not the leader and knows none, or lost its quorum.
    NoLeader,
    /// The command may still be committed: ask again.
    Unknown,
    /// The member is stopping, or its disk failed.
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

/// A replicated log with the state machine behind it.
pub trait Log: Debug + Send + Sync {
    /// Commits a command on a quorum's disks, applies it and returns the state
    /// machine's answer. Any member passes it on to the leader. A command may be
    /// committed twice, so state machines discard duplicates by their content.
    fn propose(&self, group: GroupId, command: Vec<u8>)
    -> BoxFuture<'_, Result<Vec<u8>, LogError>>;

    /// Returns the commit index that a quorum confirmed after this call began,
    /// once the local state machine has applied it.
    fn barrier(&self, group: GroupId) -> BoxFuture<'_, Result<Index, LogError>>;

    /// Tells who leads a group, as this member knows.
    fn leader(&self, group: GroupId) -> Leader;
}

/// Who leads a group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Leader {
    /// Whether this member leads with a quorum.
    pub here: bool,
    /// The leader's process name, if known.
    pub name: Option<Name>,
}

/// A deterministic state machine behind a log.
pub trait Machine: Debug + Send {
    /// Applies a committed command and returns its answer. A command that it
    /// cannot decode changes nothing.
    fn apply(&mut self, index: Index, command: &[u8]) -> Vec<u8>;

    /// Writes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state.
    ///
    /// # Errors
    ///
    /// Returns an error, and keeps the old state, if the bytes do not decode.
    fn restore(&mut self, bytes: &[u8]) -> eyre::Result<()>;
}
