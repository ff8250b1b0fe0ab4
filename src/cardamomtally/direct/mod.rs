//! Entries that call backend servers themselves, without an agent beside them.
//!
//! A caller's connection comes in at [`listener`], which hands each request to
//! [`app`]. That reads the request into a [`call::Call`] under the document and
//! lease that [`holder`] holds, and gives it to [`plain`] or [`stream`]. Both
//! choose a backend server in [`registry`], by what [`placing`] says of it and what
//! [`peers`] tell, send over [`pool`] and judge by
//! [`attempt`] whether it has run. At most once follows from one dispatch with a
//! true outcome: only what provably did not run is sent again.

pub mod app;
pub mod attempt;
pub mod backlog;
pub mod body;
pub mod call;
pub mod daemon;
pub mod escalate;
pub mod events;
pub mod holder;
pub mod listener;
pub mod names;
pub mod outcomes;
pub mod peers;
pub mod placement;
pub mod plain;
pub mod pool;
pub mod refusal;
pub mod registry;
pub mod retry;
pub mod source;
pub mod speed;
pub mod stream;
