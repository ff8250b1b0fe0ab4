//! The replicated log: tickets and claims, on the disks of a quorum.
//!
//! A [`host::Host`] runs a control member's part in all its groups; it is the
//! [`Log`](crate::core::log::Log) that the rest of the process uses. For each
//! group it owns a [`node::Node`], the protocol as pure logic, and a state
//! machine. A command becomes an [`entry::Entry`]; the leader's node sends it to
//! the other members as [`message::Mail`] while the [`storage`] of each writes
//! and syncs it. Once a quorum has synced it, each member applies it, and the
//! member that was asked answers. [`peers`] carries the mail; it may lose,
//! repeat and delay it.
//!
//! [`memory::MemLog`] is a log of one process without a disk, for tests of what
//! stands on the log.

pub mod applied;
pub mod entry;
pub mod host;
pub mod memory;
pub mod message;
pub mod node;
pub mod peers;
pub mod storage;
pub mod tail;

pub use host::{GroupSpec, GroupStatus, Host, HostOptions, MemberStatus, Standing};
