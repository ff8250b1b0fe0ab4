//! Agents.

mod admission;
mod answers;
mod attempts;
mod crashes;
mod fixtures;
mod guard;
mod orders;
mod process;
mod records;
mod whole;
