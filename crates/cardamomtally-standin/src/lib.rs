//! Stand-ins for the outside systems, and a fault-injecting TCP proxy.
//!
//! The demo, the test suite and the benches meet these instead of real model
//! engines, plain services, a rating service, a weight store and a platform.
//! Each stand-in speaks the protocol of `docs/INTERFACES.md`, runs on a thread
//! of its own ([`host::Host`]) and misbehaves on demand.
//!
//! [`engine::Engine`] is a model engine; [`service::Service`] a plain service;
//! [`rater::Rater`], [`weights::Weights`] and [`vms::Vms`] the rest.
//! [`proxy::Proxy`] sits on any TCP link and delays, cuts, holds or drops.

pub mod engine;
pub mod host;
pub mod proxy;
pub mod rater;
pub mod service;
pub mod vms;
pub mod weights;

pub use engine::{Engine, EngineOptions};
pub use proxy::{Faults, Proxy};
pub use rater::Rater;
pub use service::Service;
pub use vms::Vms;
pub use weights::Weights;
