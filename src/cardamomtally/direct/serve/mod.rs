//! How a request is served: its attempts, and the answer to the caller.

pub mod escalate;
pub mod handler;
pub mod plain;
pub mod queue;
pub mod retry;
pub mod stream;
