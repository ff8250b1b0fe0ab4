//! Tests of the agent.

mod admission;
mod answers;
mod attempts;
mod crashes;
mod faulty_engine;
pub mod fixtures;
mod guard;
mod harness;
mod orders;
mod poison;
mod process;
mod records;
mod validation;
mod vms;
