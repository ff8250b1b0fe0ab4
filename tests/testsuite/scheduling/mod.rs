//! Tests of decisions about capacity.

mod escalation;
mod forecast;
mod held;
mod level;
mod order;
mod speed;
