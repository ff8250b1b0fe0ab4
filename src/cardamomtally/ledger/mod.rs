//! The ledger of write-once claims and bills.
//!
//! A user's operation travels through [`client`] to a control member, which
//! splits a batch by shard ([`shards`]) and proposes each part to that shard's
//! replicated log as a [`command`]. The state machine behind the log
//! ([`machine`]) keeps request claims ([`requests`]), session claims
//! ([`sessions`]) and bills ([`bills`]). All operations are idempotent, so an
//! operation whose answer is lost is sent again, through any member.

pub mod bills;
pub mod client;
pub mod command;
pub mod expiry;
pub mod fault;
pub mod local;
pub mod machine;
pub mod requests;
pub mod sessions;
pub mod shards;

pub use shards::shard_of;
