//! Fixtures for tests that run a whole site of real processes.
//!
//! [`site`] builds a site in a temporary folder: control members, entries and
//! agents run as processes, stand-in backend servers run in the test process,
//! and each link goes through a fault-injecting proxy. Every daemon listens on
//! port 0 and prints the address that it was given. The settings files name the
//! proxies' addresses, so tests never compete for ports, and a restarted process
//! stays reachable at the same addresses.

pub mod caller;
pub mod link;
mod membership;
pub mod meter;
pub mod odd;
pub mod page_cache;
pub mod process;
pub mod settings;
pub mod site;
pub mod site_permit;
pub mod small;
pub mod tickets;
pub mod traffic;
pub mod wait;

pub use caller::{Caller, Reply};
pub use site::Site;
pub use tickets::Ticket;
pub use traffic::{Sent, Traffic};
pub use wait::{eventually, until};
