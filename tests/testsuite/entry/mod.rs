//! Entries.

mod fakes;
mod frames;
mod once;
