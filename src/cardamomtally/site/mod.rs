//! A site that is configured by one complete document.
//!
//! Beside tickets, which name what they change, a site may be run by documents
//! that carry everything: routes, services, limits and workspaces. A keeper
//! ([`keeper`]) puts a document, roll-outs, evacuations and the list of backend
//! servers on the replicated log ([`state`]); entries poll it ([`poll`]) and look
//! requests up in a compiled [`table`]. What an entry holds carries a lease, as
//! for tickets.

pub mod backend;
pub mod canary;
pub mod document;
pub mod entries;
pub mod keeper;
pub mod poll;
pub mod rollout;
pub mod state;
pub mod table;
