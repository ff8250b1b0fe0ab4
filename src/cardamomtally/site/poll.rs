//! What entries ask a keeper, and what it answers.

use super::{document::Document, state::Fleet};
use crate::{prelude::*, routing::rendezvous};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Outcomes of one side of a service's roll-out at one entry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcomes {
    /// The route.
    #[serde(rename = "r")]
    pub route: Name,
    /// The service.
    #[serde(rename = "s")]
    pub service: Name,
    /// The version.
    #[serde(rename = "v")]
    pub version: Name,
    /// Answers as good as the route asks.
    #[serde(rename = "g")]
    pub good: u32,
    /// Failures.
    #[serde(rename = "b")]
    pub bad: u32,
    /// Sum over good answers of the time to the first byte, in percent of what
    /// was expected.
    #[serde(rename = "t")]
    pub first: u64,
}

/// Asks for what is in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Poll {
    /// The process.
    #[serde(rename = "n")]
    pub name: Name,
    /// Log index of the document held; 0 for none.
    #[serde(rename = "d")]
    pub document: Index,
    /// Log index of the fleet held.
    #[serde(rename = "f")]
    pub fleet: Index,
    /// Where it takes what other entries tell, if it does.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub exchange: Option<SocketAddr>,
    /// Digest of the other entries that it knows.
    #[serde(rename = "p", default)]
    pub peers: u64,
    /// Outcomes since the last poll that the leader took.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub outcomes: Vec<Outcomes>,
}

/// Answers a poll, after a quorum round that began when it had arrived.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PollReply {
    /// Log index of the document in force.
    #[serde(rename = "d")]
    pub document: Index,
    /// The document, if the process holds another.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Document>,
    /// The fleet, if the process holds another.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<Fleet>,
    /// Whether the member leads, and so has taken the outcomes.
    #[serde(rename = "l", default)]
    pub leads: bool,
    /// The leader's process name, if the member knows it.
    #[serde(rename = "a", default)]
    pub leader: Option<Name>,
    /// Names of all members.
    #[serde(rename = "m", default)]
    pub members: Vec<Name>,
    /// Entries that poll; 0 if the member does not know.
    #[serde(rename = "e", default)]
    pub entries: u32,
    /// Where the other entries take what this one tells, if the digest differs.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<Vec<SocketAddr>>,
}

/// Returns the digest of a list of other entries; 0 for none.
#[must_use]
pub fn digest(peers: &[SocketAddr]) -> u64 {
    let mix =
        |sum: u64, peer: &SocketAddr| sum.rotate_left(1) ^ rendezvous::seed(&peer.to_string());
    peers.iter().fold(0, mix)
}
