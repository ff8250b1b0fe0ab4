//! The time line: the events of all processes, merged into one sequence.
//!
//! Each process records its events in a bounded ring buffer ([`recorder`]). A
//! hybrid logical clock ([`hlc`]) stamps each event. Processes send their current
//! stamp with requests and polls, so that in the merged sequence ([`merge`]) an
//! effect never precedes its cause.

pub mod hlc;
pub mod merge;
pub mod recorder;
pub mod render;

pub use hlc::{Hlc, Stamp};
pub use recorder::{Event, Recorder};
