//! A caller's request, and what it is made of.

pub mod call;
pub mod events;
pub mod names;
pub mod prompt;
pub mod refusal;
