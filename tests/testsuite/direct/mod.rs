//! Entries that call backend servers themselves.

mod budget;
mod callers;
mod cascade;
mod choice;
mod fixtures;
mod held;
mod once;
mod parts;
mod peers;
mod placement;
mod streams;
