//! What entries tell each other.

pub mod backlog;
pub mod peers;
