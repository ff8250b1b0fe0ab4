//! What an entry knows of the backend servers, and the choice among them.

mod candidates;
pub mod node;
pub mod pacing;
pub mod placement;
pub mod registry;
pub mod speed;
pub mod statement;
pub mod withdrawal;
