//! Tests of decisions about capacity.

mod account;
mod entries;
mod escalation;
mod exchange;
mod fairness;
mod forecast;
mod held;
mod level;
mod order;
mod speed;
