//! Routing decisions: model version, backend server, cascades and retries.
//!
//! The functions here do no I/O. The time and the random number generator are
//! arguments, so that tests and simulations can control them.
//!
//! For each request, [`version`] lists the versions that the request may use,
//! [`cascade`] decides which of them to try first, and [`tracker`] selects the
//! backend server. [`breaker`] and [`ejection`] exclude backend servers and
//! versions that fail at this process; [`budget`] and [`backoff`] limit how often
//! and how soon a request is retried.

pub mod backoff;
pub mod breaker;
pub mod budget;
pub mod cascade;
pub mod choice;
pub mod ejection;
pub mod rendezvous;
pub mod tracker;
pub mod version;
