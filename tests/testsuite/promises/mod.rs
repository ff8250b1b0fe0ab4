//! One module for each promise of the brief.
