//! Tests of decisions about capacity.

mod escalation;
mod fairness;
mod forecast;
mod held;
mod level;
mod order;
mod speed;
