//! Logging and terminal output, without any knowledge of routing or tickets.

pub mod log;
pub mod shell;
