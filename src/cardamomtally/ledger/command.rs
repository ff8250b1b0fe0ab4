//! Entries of a shard's replicated log, and the answers to them.

use crate::{
    core::claim::{ClaimOp, ClaimReply},
    net::codec,
};
use serde::{Deserialize, Serialize};

/// A reading of the leader's monotonic clock.
///
/// Ledger time is the sum of the time that passed on the monotonic clock of
/// each successive leader. It does not depend on a wall clock, so a VM whose
/// clock is set wrong cannot make claims expire early.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tick {
    /// Random number of the [`Shards`](super::shards::Shards) that read the
    /// clock. Only readings with the same number are comparable.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Monotonic clock of that process, in milliseconds.
    #[serde(rename = "m")]
    pub elapsed_ms: u64,
}

/// One entry of a shard's replicated log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Command {
    /// The leader's clock, if the member that proposes is the leader.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub tick: Option<Tick>,
    /// Operations, applied in this order.
    #[serde(rename = "o", with = "crate::net::packed")]
    pub ops: Vec<ClaimOp>,
}

impl Command {
    /// Encodes the command as CBOR.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a command from CBOR.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid command.
    pub fn decode(bytes: &[u8]) -> eyre::Result<Self> {
        codec::decode(bytes)
    }
}

/// Decodes the state machine's answer to a command: one reply per operation.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid list of replies.
pub fn decode_replies(bytes: &[u8]) -> eyre::Result<Vec<ClaimReply>> {
    codec::decode(bytes)
}
