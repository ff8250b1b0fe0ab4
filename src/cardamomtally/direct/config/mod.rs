//! The configuration that control confirms, and what entries report to it.

pub mod outcomes;
pub mod poller;
pub mod snapshot;
