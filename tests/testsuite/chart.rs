//! State charts.
