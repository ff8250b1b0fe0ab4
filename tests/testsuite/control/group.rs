//! Control members as real processes.
