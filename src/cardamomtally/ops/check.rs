//! The verb `check`: settings and tickets, offline.
