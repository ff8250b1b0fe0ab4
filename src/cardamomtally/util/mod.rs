//! Logging, terminal output, signals, ports and the form of events, without any knowledge of
//! routing or tickets.

pub mod allocator;
pub mod descriptors;
pub mod log;
pub mod ports;
pub mod shell;
pub mod signals;
pub mod sockets;
pub mod sse;
