//! Tests of the decisions about capacity.

mod forecast;
mod speed;
