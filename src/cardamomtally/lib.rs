//! A model-aware router for versions and cascades.
//!
//! Two partners share one pool of model capacity, but not the control over it. This
//! library implements the daemons and the command line; the binaries only load
//! settings, create the trait objects and start.
//!
//! A caller sends a request to an entry ([`entry`]). The entry chooses a version
//! and a backend server ([`routing`]) and sends the request to the agent of that
//! backend server ([`agent`]), which passes the request to the engine. State that
//! must survive failures is stored by the control members ([`control`]) in a
//! replicated log ([`replica`]): the tickets, and the claims of the ledger
//! ([`ledger`]).
//!
//! Dependencies between modules go in one direction: [`core`] depends on no other
//! module, modules that make decisions depend on `core`, daemons depend on those
//! modules, and binaries depend on daemons.

pub mod agent;
pub mod chart;
pub mod control;
pub mod core;
pub mod daemon;
pub mod direct;
pub mod entry;
pub mod lease;
pub mod ledger;
pub mod listen;
pub mod net;
pub mod ops;
pub mod prelude;
pub mod quarantine;
pub mod replica;
pub mod routing;
pub mod scheduling;
pub mod settings;
pub mod site;
pub mod timeline;
pub mod util;
