//! The replicated log.

pub mod host;
pub mod memory;

pub use host::{GroupSpec, GroupStatus, Host, HostOptions, MemberStatus, Standing};
