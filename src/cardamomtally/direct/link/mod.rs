//! Connections to backend servers, and one attempt to be answered over them.

pub mod attempt;
pub mod pool;
pub mod source;
