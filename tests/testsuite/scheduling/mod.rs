//! Tests of decisions about capacity.

mod escalation;
mod forecast;
mod speed;
