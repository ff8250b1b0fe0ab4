//! Clients that don't behave, before real processes of the product: entry, agent and control.
//!
//! Each test fixes a crowd and the bounds that the process must keep, as in the platform's
//! tests of clients. The bound on memory is the one that the users state for a process of
//! the system on a VM. The tests run one at a time.

#[allow(dead_code, reason = "the platform's tests need the remainder")]
#[path = "../../platform/tests/clients/crowd.rs"]
mod crowd;
mod product;
#[allow(
    dead_code,
    unused_imports,
    reason = "the test suite needs the remainder"
)]
#[path = "../testsuite/support/mod.rs"]
mod support;
