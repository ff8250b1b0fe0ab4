//! Decisions: choice of version and backend server, cascades, version health.
