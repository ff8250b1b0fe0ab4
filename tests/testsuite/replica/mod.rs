//! The replicated log.

mod cluster;
mod disk;
mod live;
mod script;
mod simulation;
