//! Decisions about capacity: when a request would start and end at a backend server, what
//! starts next, what waits, and what is rejected.
//!
//! An entry cannot reorder the queues of backend servers, and a long prompt there delays
//! everything behind it. These modules therefore estimate the work that a request needs and
//! the work that is already waiting, so that an entry keeps excess work in its own queue. All
//! of them are pure: the time, random numbers and evidence are inputs.

pub mod account;
pub mod escalation;
pub mod fairness;
pub mod forecast;
pub mod held;
pub mod level;
pub mod memory;
pub mod order;
pub mod outlook;
pub mod settings;
pub mod speed;
pub mod spread;
pub mod work;
