//! Protocols between the processes of the system.
//!
//! Control messages ([`wire`]) are encoded as CBOR ([`codec`]) and sent over nng
//! ([`nng`]). An entry sends requests to an agent over HTTP, and the agent
//! answers with a stream of frames ([`run`]). Lists of other programs, to which others
//! write too, are read element by element ([`list`]). Connections to backend servers are
//! watched from below the HTTP library ([`watched`]).

pub mod bounded;
pub mod codec;
pub mod compress;
pub mod delta;
pub mod elements;
pub mod list;
pub mod nng;
pub mod packed;
pub mod run;
pub mod transport;
pub mod watched;
pub mod wire;
