//! Tests of decisions about capacity.

mod account;
mod exchange;
