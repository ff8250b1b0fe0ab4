//! What an entry knows of the backend servers, and the choice among them.

mod candidates;
pub mod choice;
pub mod node;
pub mod pacing;
pub mod placement;
pub mod registry;
pub mod requirements;
mod selection;
pub mod speed;
mod state;
pub mod statement;
pub mod withdrawal;
