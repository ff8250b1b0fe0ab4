//! The time line: events of all processes, merged into one order.
//!
//! Each process records events in a bounded ring. An event is stamped by a
//! hybrid logical clock ([`hlc`]); processes pass their stamps along with
//! requests and polls, so that an effect never precedes its cause.

pub mod hlc;
pub mod merge;
pub mod recorder;
pub mod render;

pub use hlc::{Hlc, Stamp};
pub use recorder::{Event, Recorder};
