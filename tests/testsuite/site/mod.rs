//! Configuration of a site by one complete document.

mod canary;
mod document;
mod entries;
pub mod fixtures;
mod member;
mod orders;
mod relay;
mod senders;
mod state;
mod transfer;
