//! Agents.
