//! Tests of content that ends backend servers: evidence, verdicts and their end.

pub mod fixtures;
mod parts;
mod pool;
mod review;
