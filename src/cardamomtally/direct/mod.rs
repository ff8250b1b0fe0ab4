//! Entries that call backend servers directly, without an agent in between.
//!
//! [`listener`] accepts callers' connections and passes each request to
//! [`app`], which checks the request against the document and the lease of
//! [`poller`], reads it into a [`call::Call`], and gives it to [`plain`] or
//! [`stream`]. Both choose a backend server in [`registry`], by the costs of
//! [`placement`] and the backlog that [`peers`] exchanges, and send the request
//! over [`pool`]. [`attempt`] then decides whether the request may have run. A
//! request is sent again only if it provably has not run, or if its route
//! allows it to run more than once. All other requests therefore run at most
//! once.

pub mod app;
pub mod attempt;
pub mod backlog;
pub mod body;
pub mod call;
pub mod daemon;
pub mod decisions;
pub mod escalate;
pub mod events;
pub mod listener;
pub mod names;
pub mod node;
pub mod outcomes;
pub mod pacing;
pub mod peers;
pub mod placement;
pub mod plain;
pub mod poller;
pub mod pool;
pub mod refusal;
pub mod registry;
pub mod retry;
pub mod source;
pub mod speed;
pub mod statement;
pub mod stream;
pub mod withdrawal;
