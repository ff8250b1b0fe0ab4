//! Keeps content that ends backend servers from being sent.

pub mod end_check;
pub mod guard;
