//! Agents as real processes.
