//! Configuration of a site by one complete document.
//!
//! Tickets name only what they change. Alternatively, a site is configured by
//! documents that contain everything: routes, services, limits and workspaces.
//!
//! A control process on a VM without a disk is a [`relay`] to the members.
//!
//! The control members ([`member`]) put each document, roll-outs, evacuations and the
//! list of backend servers on the replicated log ([`state`]). An order that may be a late copy
//! is asked back ([`orders`]). Entries poll the members
//! ([`poll`]) and look up requests in a compiled [`table`]. As with tickets, an entry
//! may use its configuration only under a lease.

pub mod backend;
pub mod canary;
pub mod document;
pub mod entries;
pub mod member;
pub mod orders;
pub mod poll;
pub mod relay;
pub mod rollout;
pub mod rollout_time;
pub mod selection;
pub mod state;
pub mod table;
pub mod transfer;
