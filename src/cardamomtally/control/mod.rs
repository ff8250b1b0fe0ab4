//! Control members: tickets, leases, version health and orders.
//!
//! An operator submits a ticket to any member's HTTP listener ([`routes`]). The
//! member parses and validates the ticket ([`ticket`]) and proposes it to the
//! replicated log ([`member`]). The state machine ([`machine`], [`state`])
//! validates the ticket again, applies it to the configuration and derives
//! orders for engines ([`orders`]).
//!
//! A process polls any member. The poll is queued for the next quorum round
//! ([`rounds`]) and answered from the state that the round confirmed. The member
//! records which configuration each process holds ([`processes`]). Polls also
//! report outcomes of versions ([`health`]) and crashes of backend servers
//! ([`suspects`](crate::quarantine::suspects)). The leader's periodic tasks are in [`leader_tasks`].
//!
//! Operators read the state of the system from [`status`]. The watchdog of the
//! poll listener is in [`listener`].

pub mod groups;
pub mod health;
pub mod leader_tasks;
pub mod listener;
pub mod machine;
pub mod member;
pub mod orders;
pub mod problem;
pub mod processes;
pub mod rounds;
pub mod routed;
mod routes;
mod run;
pub mod state;
pub mod status;
pub mod ticket;
pub mod view;

pub use run::run;
