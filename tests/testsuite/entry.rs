//! Entries.
