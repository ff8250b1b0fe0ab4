//! Message transport between members.
//!
//! Messages go one way and may be lost, delivered twice or delayed. [`Transport`]
//! is the interface; [`nng::NngTransport`] implements it over TCP.

mod listener;
pub mod nng;

use super::message::Packet;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt::Debug;

/// A message from one member to another, as it is sent over the network.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// Process name of the sender.
    #[serde(rename = "f")]
    pub from: Name,
    /// Whether the sender has received anything from the receiver within the last
    /// second. If every envelope denies it for a second, the receiver replaces its
    /// connection to the sender, since that connection may be dead.
    #[serde(rename = "h")]
    pub hears: bool,
    /// Whether the sender reads compressed commands, see
    /// [`packing`](super::packing). Members of former builds do not state it.
    #[serde(rename = "z", default)]
    pub reads_packed: bool,
    /// The group that the body belongs to.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// The content.
    #[serde(rename = "b")]
    pub body: Body,
}

/// The content of an [`Envelope`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Shows that the sender is alive. Sent when nothing else was sent for a while.
    #[serde(rename = "p")]
    Ping,
    /// A message of the replication protocol.
    #[serde(rename = "l")]
    Log(Packet),
    /// A request that the sender forwards to the leader.
    #[serde(rename = "q")]
    Request(LeaderRequest),
    /// The leader's reply to a request.
    #[serde(rename = "a")]
    Reply(LeaderReply),
}

/// A request that a member forwards to the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaderRequest {
    /// Number of the request, unique for its sender across restarts.
    #[serde(rename = "i")]
    pub id: u64,
    /// The command to commit, or `None` to read the commit index.
    #[serde(rename = "c")]
    pub command: Option<serde_bytes::ByteBuf>,
}

/// The reply to a [`LeaderRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaderReply {
    /// Number of the request.
    #[serde(rename = "i")]
    pub id: u64,
    /// The outcome of the request.
    #[serde(rename = "o")]
    pub outcome: Outcome,
}

/// The outcome of a request to the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// The command was committed and applied. Contains the state machine's reply.
    #[serde(rename = "a")]
    Applied(serde_bytes::ByteBuf),
    /// Nothing was done, since the member is not the leader.
    #[serde(rename = "n")]
    NotLeader,
    /// A quorum confirmed this commit index.
    #[serde(rename = "r")]
    ReadAt(Index),
}

/// Sends messages to the other members. No call blocks on the network.
pub trait Transport: Debug + Send {
    /// Sends to a member. The message is dropped if too many are queued.
    fn send(&mut self, to: &Name, envelope: Envelope);

    /// Replaces the connection to a member that has been silent.
    fn renew(&mut self, to: &Name);

    /// Returns the address at which this member listens.
    fn bound(&self) -> String;

    /// Closes all connections and ends the threads.
    fn stop(&mut self);
}

/// Function to which a transport passes each message of another member. The
/// transport calls it on a thread of its own.
pub type MessageHandler = Box<dyn Fn(Envelope) + Send + Sync>;
