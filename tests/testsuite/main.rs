//! The test suite, with one module for each part of the system.

mod agent;
mod chart;
mod cli;
mod control;
mod core;
mod daemon;
mod direct;
mod entry;
mod fuzz;
mod lease;
mod ledger;
mod listen;
mod path;
mod ports;
mod promises;
mod quarantine;
mod replica;
mod routing;
mod scheduling;
mod senders;
mod settings;
mod site;
mod standin;
mod support;
mod timeline;
