//! Tests of the decisions about capacity.

mod entries;
mod forecast;
mod speed;
