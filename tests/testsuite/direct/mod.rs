//! Tests of entries that call backend servers themselves.

mod budget;
mod callers;
mod cascade;
mod choice;
mod cold;
mod config_lease;
mod endless;
mod fixtures;
mod limit;
mod malformed;
mod memory;
mod once;
mod parts;
mod peers;
mod placement;
mod replaced;
mod slow_callers;
mod slow_links;
mod streams;
mod withdrawal;
