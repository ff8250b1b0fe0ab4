//! The time line.
