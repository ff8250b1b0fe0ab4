//! Messages between entries and the members that hold a site's document.

use super::{document::Document, state::Fleet};
use crate::{
    prelude::*,
    quarantine::{fingerprint::Fingerprint, report::Report, verdict::Verdicts},
    routing::rendezvous,
};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::net::{IpAddr, SocketAddr};

/// Outcomes at one entry of a version's answers on a route.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcomes {
    /// Name of the route.
    #[serde(rename = "r")]
    pub route: Name,
    /// Name of the service.
    #[serde(rename = "s")]
    pub service: Name,
    /// Name of the version.
    #[serde(rename = "v")]
    pub version: Name,
    /// Number of good answers: those that arrived completely and report no server
    /// error, however late.
    #[serde(rename = "g")]
    pub good: u32,
    /// Number of failures.
    #[serde(rename = "b")]
    pub bad: u32,
    /// Number of answers that began, whether or not they have ended.
    #[serde(rename = "n", default)]
    pub started: u32,
    /// Sum over the answers that began of the time to the first byte, in percent of the
    /// time that an idle backend server is expected to take.
    #[serde(rename = "t")]
    pub latency: u64,
}

/// An entry's poll for the configuration in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Poll {
    /// Name of the polling process. It is empty for a process that is no entry, which the
    /// leader does not count.
    #[serde(rename = "n")]
    pub name: Name,
    /// Log index of the document that the process has; 0 for none.
    #[serde(rename = "d")]
    pub document: Index,
    /// Log index of the fleet that the process has.
    #[serde(rename = "f")]
    pub fleet: Index,
    /// Address at which the process accepts messages of other entries, if it does.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub exchange: Option<SocketAddr>,
    /// Digest of the list of peers that the process has; see [`digest`].
    #[serde(rename = "p", default)]
    pub peers: u64,
    /// Outcomes since the last poll that reached the leader.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub outcomes: Vec<Outcomes>,
    /// Whether the process fetches documents in parts, so that the answer need not contain
    /// the document.
    #[serde(rename = "t", default)]
    pub parts: bool,
    /// Whether the process also fetches fleets in parts, so that the answer need not contain
    /// a large one.
    #[serde(rename = "u", default)]
    pub fleet_parts: bool,
    /// Log index of the verdicts on content that the process has.
    #[serde(rename = "v", default)]
    pub verdicts: Index,
    /// Evidence on content that ends backend servers.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Report,
    /// Quarantined content that the process has refused since its last poll that reached
    /// the leader.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub hits: Vec<Fingerprint>,
    /// Digest of the list of members of the account of capacity that the process has; none if
    /// it keeps no account.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<u64>,
}

/// The answer to a poll. It is sent after a quorum round that began when the poll had
/// arrived.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PollReply {
    /// Log index of the document in force.
    #[serde(rename = "d")]
    pub document: Index,
    /// The document, if the process has a different one and does not fetch parts.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Document>,
    /// Log index of the fleet in force; 0 if there is none, or if the member is of a build
    /// that always sends a fleet that differs.
    #[serde(rename = "g", default)]
    pub fleet_index: Index,
    /// The fleet, if the process has a different one. A large one is left out if the
    /// process fetches fleets in parts.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<Fleet>,
    /// Whether the member is the leader, and has therefore counted the outcomes.
    #[serde(rename = "l", default)]
    pub leads: bool,
    /// Process name of the leader, if the member knows it.
    #[serde(rename = "a", default)]
    pub leader: Option<Name>,
    /// Names of all members.
    #[serde(rename = "m", default)]
    pub members: Vec<Name>,
    /// Number of entries that poll; 0 if the member is not the leader or has led for too
    /// short a time to know it.
    #[serde(rename = "e", default)]
    pub entries: u32,
    /// Place of the entry among these, in the order of their names. Only the leader tells
    /// it.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub place: Option<u32>,
    /// Addresses of the entries to which this entry sends messages, if the list differs
    /// from the one that the poll gave the digest of. Only the leader sends them.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<Vec<SocketAddr>>,
    /// The verdicts on content that are in force, if the process has different ones.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub verdicts: Option<Verdicts>,
    /// The members of the account of capacity, if the list differs from the one that the poll
    /// gave the digest of. Only the leader sends it.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountMembers>,
}

/// The members of the account of capacity.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountMembers {
    /// Their addresses in a compact form, see [`pack`].
    #[serde(rename = "a")]
    pub addresses: ByteBuf,
    /// Place of the polling entry among them.
    #[serde(rename = "k")]
    pub place: u32,
}

/// Returns the digest of a list of members and the place of an entry in it.
#[must_use]
pub fn account_digest(members: &[SocketAddr], place: u32) -> u64 {
    digest(members).wrapping_add(u64::from(place))
}

/// Encodes addresses: for each the number of bytes of its IP address, these, and its port. The
/// list of 300 entries takes 2 kB, a third of its size in CBOR.
#[must_use]
pub fn pack(addresses: &[SocketAddr]) -> ByteBuf {
    let mut bytes = Vec::with_capacity(addresses.len() * 7);
    for address in addresses {
        match address.ip() {
            IpAddr::V4(ip) => {
                bytes.push(4);
                bytes.extend(ip.octets());
            }
            IpAddr::V6(ip) => {
                bytes.push(16);
                bytes.extend(ip.octets());
            }
        }
        bytes.extend(address.port().to_be_bytes());
    }
    ByteBuf::from(bytes)
}

/// Decodes addresses. Returns none if the bytes are malformed.
#[must_use]
pub fn unpack(mut bytes: &[u8]) -> Option<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    while let Some((length, rest)) = bytes.split_first() {
        let (ip, rest) = rest.split_at_checked(usize::from(*length))?;
        let ip = match length {
            4 => IpAddr::from(<[u8; 4]>::try_from(ip).ok()?),
            16 => IpAddr::from(<[u8; 16]>::try_from(ip).ok()?),
            _ => return None,
        };
        let (port, rest) = rest.split_first_chunk::<2>()?;
        addresses.push(SocketAddr::new(ip, u16::from_be_bytes(*port)));
        bytes = rest;
    }
    Some(addresses)
}

/// Returns the digest of a list of peers, which is 0 for an empty list.
#[must_use]
pub fn digest(peers: &[SocketAddr]) -> u64 {
    let mix =
        |sum: u64, peer: &SocketAddr| sum.rotate_left(1) ^ rendezvous::seed(&peer.to_string());
    peers.iter().fold(0, mix)
}
