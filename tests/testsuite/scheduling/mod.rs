//! Tests of decisions about capacity.

mod escalation;
