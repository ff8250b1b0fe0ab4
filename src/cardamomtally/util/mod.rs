//! Helpers that know nothing of the product.

pub mod log;
pub mod shell;
