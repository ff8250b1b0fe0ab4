//! The ledger of write-once claims and bills.
//!
//! The ledger ensures that a request which may not be repeated is claimed by
//! one attempt only, that a session keeps its model version, and that each
//! request is billed once.
//!
//! A process sends its operations through [`client`] to a control member. The
//! member splits each batch by shard ([`shards`]) and proposes the operations
//! of a shard to that shard's replicated log as one [`command`]. The state
//! machine that applies the log ([`machine`]) stores request claims
//! ([`requests`]), session claims ([`sessions`]) and bills ([`bills`]). All
//! operations are idempotent, so the client can resend an operation whose
//! answer was lost, through any member.

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
