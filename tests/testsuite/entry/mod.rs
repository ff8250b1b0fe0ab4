//! Tests of the entry.

mod fakes;
mod frames;
mod http;
mod once;
mod process;
mod repeat;
mod small;
