//! The replicated log.

pub mod memory;
