//! The configuration that control confirms, and what entries report to it.

pub mod cold;
pub mod evidence;
pub mod outcomes;
pub mod poller;
pub mod snapshot;
