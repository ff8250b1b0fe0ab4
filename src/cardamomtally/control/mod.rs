//! Control members: tickets, leases, verdicts, orders.
//!
//! A ticket arrives at any member's HTTP listener ([`routes`]), is read and
//! judged ([`ticket`]) and proposed to the replicated log ([`member`]). The
//! state machine ([`machine`], [`state`]) judges it again, writes it into the
//! configuration and derives orders for engines ([`orders`]).
//!
//! Processes poll any member. Their polls wait for the next quorum round
//! ([`rounds`]), are answered from the state that it confirmed, and tell the
//! member which process holds what ([`processes`]). With them come outcomes of
//! versions ([`health`]) and crashes ([`suspects`]); the leader's timed work is
//! in [`duties`]. Operators see all of it in [`status`]. That the listener for
//! polls still takes connections is watched by [`listener`].

pub mod duties;
pub mod groups;
pub mod health;
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
pub mod suspects;
pub mod ticket;
pub mod view;

pub use run::run;
