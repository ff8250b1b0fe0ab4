//! Fixtures: settings, tickets and a running site.
