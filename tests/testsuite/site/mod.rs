//! Sites that are configured by one complete document.

mod canary;
mod document;
mod entries;
pub mod fixtures;
mod member;
mod state;
