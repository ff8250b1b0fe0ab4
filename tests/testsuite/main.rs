//! The test suite: one module a feature.

mod core;
