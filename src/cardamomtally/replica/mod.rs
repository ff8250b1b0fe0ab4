//! The replicated log of the control group: tickets and claims, kept on the disks
//! of a quorum.
//!
//! A [`host::Host`] runs one control member in all its groups. It is the
//! [`Log`](crate::core::log::Log) that the rest of the process uses. For each
//! group it owns a [`node::Node`], which is the protocol as pure logic, and a
//! state machine. A command becomes an [`entry::Entry`]. The leader's node sends
//! it to the other members in a [`message::Packet`], while the [`storage`] of
//! each member writes and syncs it. Once a quorum has synced the entry, each
//! member applies it, and the member that received the command replies. [`peers`]
//! carries the packets, and may lose, repeat or delay them.
//!
//! [`memory::MemLog`] is a log of one process without a disk, for tests of code
//! that uses a log.

pub mod entry;
pub mod host;
pub mod memory;
pub mod message;
pub mod node;
pub mod packing;
pub mod peers;
pub mod state_machine;
pub mod storage;
pub mod tail;

pub use host::{GroupSpec, GroupStatus, Host, HostOptions, MemberStatus, Suffrage};
