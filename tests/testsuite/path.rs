//! The whole path with real processes.
