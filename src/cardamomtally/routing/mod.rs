//! Decisions: choice of version and backend server, cascades, retries.
//!
//! All of it is pure: the time and the random numbers are inputs, nothing here
//! does I/O. An entry asks [`version`] which versions a request may use,
//! [`cascade`] which of them to start with, and the [`board`] which backend
//! server to send it to; [`budget`] and [`backoff`] bound what is tried again.

pub mod backoff;
pub mod board;
pub mod breaker;
pub mod budget;
pub mod cascade;
pub mod choice;
pub mod guard;
pub mod rendezvous;
pub mod version;
