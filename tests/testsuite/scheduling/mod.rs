//! Tests of decisions about capacity.

mod entries;
mod escalation;
mod fairness;
mod forecast;
mod held;
mod level;
mod order;
mod speed;
