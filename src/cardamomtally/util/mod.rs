//! Logging, terminal output and ports, without any knowledge of routing or tickets.

pub mod log;
pub mod ports;
pub mod shell;
