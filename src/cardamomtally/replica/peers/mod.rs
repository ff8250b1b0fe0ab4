//! The network between members.
//!
//! Messages go one way and may be lost, delivered twice or late. [`Peers`] is the
//! border; [`nng::NngPeers`] is the real network.

mod listener;
pub mod nng;

use super::message::Packet;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt::Debug;

/// What travels between two members.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// The sender's process name.
    #[serde(rename = "f")]
    pub from: Name,
    /// Whether the sender has heard the receiver of late. If it has not, the
    /// receiver's connection to it may be dead.
    #[serde(rename = "h")]
    pub hears: bool,
    /// The group that the body belongs to.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// What is said.
    #[serde(rename = "b")]
    pub body: Body,
}

/// What one member says to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Shows that the sender is alive.
    #[serde(rename = "p")]
    Ping,
    /// A message of the replication protocol.
    #[serde(rename = "l")]
    Log(Packet),
    /// A request to the leader.
    #[serde(rename = "q")]
    Request(LeaderRequest),
    /// An answer to a request.
    #[serde(rename = "a")]
    Reply(LeaderReply),
}

/// A request that a member passes on to the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaderRequest {
    /// The request's number, never used twice.
    #[serde(rename = "i")]
    pub id: u64,
    /// The command to commit, or nothing to learn what is committed.
    #[serde(rename = "c")]
    pub command: Option<serde_bytes::ByteBuf>,
}

/// The answer to an [`Ask`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaderReply {
    /// The request's number.
    #[serde(rename = "i")]
    pub id: u64,
    /// The outcome.
    #[serde(rename = "o")]
    pub outcome: Outcome,
}

/// What became of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// The command was applied: the state machine's answer.
    #[serde(rename = "a")]
    Applied(serde_bytes::ByteBuf),
    /// Nothing was done: the member does not lead.
    #[serde(rename = "n")]
    NotLeader,
    /// A quorum confirmed this commit index.
    #[serde(rename = "r")]
    ReadAt(Index),
}

/// Sends to the other members. No call waits for the network.
pub trait Transport: Debug + Send {
    /// Sends to a member, or drops the message if too much waits already.
    fn send(&mut self, to: &Name, envelope: Envelope);

    /// Replaces the connection to a member that has been silent.
    fn renew(&mut self, to: &Name);

    /// Returns the address at which this member is reached.
    fn bound(&self) -> String;

    /// Closes all connections.
    fn stop(&mut self);
}

/// Takes what other members send.
pub type Deliver = Box<dyn Fn(Envelope) + Send + Sync>;
