//! Commands in a shard's log.

use crate::{
    core::claim::{ClaimOp, ClaimReply},
    net::codec,
};
use serde::{Deserialize, Serialize};

/// A leader's clock reading.
///
/// The ledger's time is the sum of what its leaders' monotonic clocks have
/// advanced. No wall clock takes part, so that no claim expires early because a
/// VM's clock is set wrong.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tick {
    /// The run of the process that reads the clock.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Its monotonic clock, in milliseconds.
    #[serde(rename = "m")]
    pub elapsed_ms: u64,
}

/// One entry of a shard's log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Command {
    /// The leader's clock, if the leader proposes.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub tick: Option<Tick>,
    /// Operations, applied in their order.
    #[serde(rename = "o", with = "crate::net::packed")]
    pub ops: Vec<ClaimOp>,
}

impl Command {
    /// Encodes the command for the log.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a command.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no command.
    pub fn decode(bytes: &[u8]) -> eyre::Result<Self> {
        codec::decode(bytes)
    }
}

/// Decodes a state machine's answer to a command.
///
/// # Errors
///
/// Returns an error if the bytes are no list of replies.
pub fn decode_replies(bytes: &[u8]) -> eyre::Result<Vec<ClaimReply>> {
    codec::decode(bytes)
}
