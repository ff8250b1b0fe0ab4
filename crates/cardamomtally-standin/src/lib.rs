//! Stand-ins for the external systems, and a fault-injecting TCP proxy.
//!
//! The demo, the test suite and the benches run against these stand-ins instead
//! of real model engines, plain services, a rating service, a weight store and
//! the platform's list of VMs. Each stand-in implements its protocol of
//! `docs/INTERFACES.md`, serves HTTP on its own thread ([`host::Host`]) and
//! injects faults on demand.
//!
//! [`engine::Engine`] is a model engine, [`service::Service`] a plain service,
//! [`rater::Rater`] a rating service, [`weights::WeightStore`] a weight store and
//! [`vms::VmList`] the platform's list of VMs. [`proxy::Proxy`] relays a TCP link
//! and can delay, hold, drop, throttle or reset its connections.

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
pub use vms::VmList;
pub use weights::WeightStore;
