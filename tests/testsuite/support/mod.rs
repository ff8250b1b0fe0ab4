//! Fixtures: a running site of real processes, its settings, tickets, callers.
//!
//! [`site`] builds a site in a temporary folder: control members, entries and
//! agents as processes, stand-in backend servers in the test's own process, and
//! a fault proxy on each link. Every listener takes port 0 and prints where it
//! is bound; settings name the proxies, so that tests never clash over ports
//! and a restarted process is found again.

pub mod caller;
pub mod link;
pub mod meter;
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
