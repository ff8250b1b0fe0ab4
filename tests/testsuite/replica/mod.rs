//! Tests of the replicated log.

mod cluster;
mod disk;
mod files;
mod live;
mod model;
mod packing;
mod power;
mod script;
mod simulation;
mod writer;
