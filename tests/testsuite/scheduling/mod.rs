//! Tests of the decisions about capacity.

mod held;
mod level;
mod order;
