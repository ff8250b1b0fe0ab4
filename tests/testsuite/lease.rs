//! Leases and polls.
