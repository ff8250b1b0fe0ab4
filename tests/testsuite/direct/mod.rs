//! Tests of entries that call backend servers themselves.

mod broken_streams;
mod budget;
mod callers;
mod cascade;
pub mod choice;
mod cold;
mod config_lease;
mod cut_heads;
mod endless;
mod evidence_rate;
mod fixtures;
mod foreign_answers;
mod limit;
mod malformed;
mod memory;
mod odd_answers;
mod once;
mod parts;
mod peers;
mod placement;
mod queue;
mod replaced;
mod slow_callers;
mod slow_links;
mod streams;
pub mod unscheduled;
mod withdrawal;
