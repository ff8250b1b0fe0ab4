//! Starts.
fn main() {}
