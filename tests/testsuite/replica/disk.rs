//! disk.
