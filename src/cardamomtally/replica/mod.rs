//! The replicated log.

pub mod entry;
pub mod host;
pub mod memory;
pub mod message;
pub mod node;
pub mod peers;
pub mod storage;
pub mod tail;

pub use host::{GroupSpec, GroupStatus, Host, HostOptions, MemberStatus, Standing};
