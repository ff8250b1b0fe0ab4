//! The replicated log.
