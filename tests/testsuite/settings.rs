//! Settings have no tests here: `tests/cases.rs` checks whole files, and
//! `fuzz.rs` random ones.
