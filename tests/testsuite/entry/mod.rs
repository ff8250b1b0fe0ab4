//! Entries.

mod fakes;
mod frames;
mod http;
mod once;
mod process;
mod repeat;
mod small;
