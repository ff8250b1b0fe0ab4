//! Tests of the replicated log.

mod cluster;
mod disk;
mod live;
mod model;
mod packing;
mod script;
mod simulation;
