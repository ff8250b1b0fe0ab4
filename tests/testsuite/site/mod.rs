//! Sites that are configured by one complete document.

mod document;
mod entries;
pub mod fixtures;
mod judge;
mod keeper;
mod state;
