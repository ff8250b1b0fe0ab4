//! A backend server that has just started gets no more load than it can take.
//!
//! Injected failures: an engine crashes and restarts while the other one turns cold
//! without warning. A pool of engines has no capacity left. A control VM is behind a
//! silent partition. An agent restarts and knows nothing about its engine.
//!
//! An engine that gets more load than it can take while cold crashes, and the
//! stand-in counts these crashes. The test fails if an agent admits by a fixed
//! limit, or if it keeps its limit when its engine restarts.

use super::callers;
use crate::support::{
    Traffic,
    small::{SMALL, WORKSPACE, both_versions, small_with_engines, start_serving},
};
use cardamomtally_standin::EngineOptions;
use std::time::Duration;

/// Clients, many more than the two requests that a cold engine can take at once.
const CALLER_COUNT: usize = 24;

#[test]
fn no_engine_crashes_from_overload() {
    let mut site = start_serving(small_with_engines(EngineOptions {
        cold_limit: 2,
        warm_after: 60,
        cold_factor: 5.0,
        overload_grace: Duration::from_secs(2),
        ..both_versions()
    }));
    let traffic = Traffic::start(
        "warm",
        callers(&site, WORKSPACE, CALLER_COUNT),
        |caller, tag| caller.chat(SMALL, tag, 4),
    );
    traffic.wait_completed(300);

    site.engine("gla-e1").kill(Duration::from_millis(300));
    site.engine("dun-e1").make_cold();
    traffic.wait_completed(300);
    site.isolate("control-1");
    site.engine("dun-e1").kill(Duration::from_secs(2));
    traffic.wait_completed(300);
    site.process("gla-e1").kill();
    site.engine("gla-e1").kill(Duration::from_millis(100));
    site.restart("gla-e1");
    traffic.wait_completed(300);
    site.rejoin("control-1");
    let sent = traffic.stop();

    assert_eq!(site.overloads(), 0);
    let answered = sent.iter().filter(|sent| sent.reply.ok()).count();
    assert!(answered > 300, "{answered} of {} answered", sent.len());
}
