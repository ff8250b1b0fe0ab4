//! Tests of the entry.

mod agents;
mod fakes;
mod frames;
mod http;
mod once;
mod process;
mod rating;
mod repeat;
mod small;
