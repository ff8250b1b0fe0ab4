//! What the system's own processes say to each other.
//!
//! Control traffic ([`wire`]) goes over nng as CBOR ([`codec`]). Requests go
//! from entry to agent over HTTP ([`run`]), answered as a stream of frames.

pub mod codec;
pub mod delta;
pub mod nng;
pub mod packed;
pub mod run;
pub mod transport;
pub mod wire;
