//! Types and rules that all other modules share.
//!
//! Nothing in this module does I/O. The traits in [`engine`], [`clock`],
//! [`log`], [`claim`], [`rater`], [`weights`] and [`platform`] are the
//! interfaces between subsystems: callers use trait objects, and tests
//! implement the traits with small fakes.

pub mod arena;
pub mod claim;
pub mod clock;
pub mod config;
pub mod digest;
pub mod engine;
pub mod finding;
pub mod id;
pub mod log;
pub mod map;
pub mod order;
pub mod platform;
pub mod rater;
pub mod snapshot;
pub mod verdict;
pub mod weights;
