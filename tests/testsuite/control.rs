//! Control members.
