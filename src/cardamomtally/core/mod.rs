//! Types and rules that every other module builds on.
//!
//! Nothing here does I/O. The modules with a trait ([`engine`], [`clock`],
//! [`log`], [`claim`], [`rater`], [`weights`], [`platform`])
//! fix the borders between subsystems: callers hold trait objects, tests put
//! small fakes behind them.

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
