//! Routing decisions.
