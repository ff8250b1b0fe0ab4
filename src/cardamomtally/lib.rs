//! A model-aware router for versions and cascades.
//!
//! Two partners share one pool of model capacity but not control of it. The
//! library holds everything that the daemons and the command line do; the
//! binaries only read settings, build the trait objects and run.
//!
//! A request flows from a caller to an entry ([`entry`]), which chooses a
//! version and a backend server ([`routing`]), to the agent beside that
//! backend server ([`agent`]), to the engine. What must survive is kept by the
//! control members ([`control`]) on a replicated log ([`replica`]): the tickets
//! and the claims of the ledger ([`ledger`]).
//!
//! Modules depend downwards only: [`core`] on nothing, decisions on `core`,
//! daemons on decisions, binaries on daemons.

pub mod agent;
pub mod chart;
pub mod control;
pub mod core;
pub mod daemon;
pub mod direct;
pub mod entry;
pub mod lease;
pub mod ledger;
pub mod net;
pub mod ops;
pub mod prelude;
pub mod replica;
pub mod routing;
pub mod settings;
pub mod site;
pub mod timeline;
pub mod util;
