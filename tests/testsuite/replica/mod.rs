//! Tests of the replicated log.

mod cluster;
mod disk;
mod live;
mod model;
mod script;
mod simulation;
