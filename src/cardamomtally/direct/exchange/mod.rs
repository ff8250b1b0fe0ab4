//! What entries tell each other.

pub mod allowance;
pub mod backlog;
pub mod peers;
