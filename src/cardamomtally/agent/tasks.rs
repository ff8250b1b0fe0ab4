//! The agent's background tasks: load reports of the backend server, the
//! platform's list of VMs, readiness, and orders to the engine.

use super::{Parts, orders::OrderTracker};
use crate::core::{
    engine::EngineError,
    order::{Action, Order},
    platform::{Platform, VmState},
    weights::{Permit, WeightStore},
};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Interval between two checks of readiness or of new orders, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;

/// Delay after the first failed order, in milliseconds. It doubles with each
/// further failure.
const ORDER_BACKOFF_MS: u64 = 100;

/// Maximum delay after failed orders, in milliseconds.
const MAX_ORDER_BACKOFF_MS: u64 = 10_000;

/// Minimum time between two load reports, in milliseconds, however many broken
/// connections request one.
const MIN_REPORT_INTERVAL_MS: u64 = 20;

/// Requests load reports from the backend server. Never returns.
pub async fn poll_engine(parts: Arc<Parts>) {
    let interval = parts.settings.backend.load_interval.0;
    loop {
        let requested_at = parts.clock.now();
        let load = parts.engine.load().await;
        if let Err(error) = &load {
            slog::debug!(parts.log, "engine: failed to read the load report"; "error" => %error);
        }
        parts.coordinator.on_report(requested_at, load);
        tokio::time::sleep(Duration::from_millis(MIN_REPORT_INTERVAL_MS)).await;
        // A request for an immediate report ends the wait early.
        let _either = tokio::time::timeout(interval, parts.coordinator.refresh.notified()).await;
    }
}

/// Reads the platform's list of VMs. Never returns.
pub async fn poll_platform(parts: Arc<Parts>, platform: Arc<dyn Platform>) {
    let name = &parts.settings.process.name;
    let mut leaving = false;
    loop {
        match platform.vms().await {
            Ok(vms) => {
                let is_leaving = vms
                    .iter()
                    .any(|vm| vm.name == *name && vm.state == VmState::Leaving);
                if is_leaving != leaving {
                    leaving = is_leaving;
                    slog::info!(parts.log, "platform: backend server changed state";
                        "leaving" => leaving);
                    parts.events.record(
                        "platform",
                        &format!("backend {name}"),
                        leaving_text(leaving),
                    );
                }
                parts
                    .coordinator
                    .set_leaving(leaving || parts.requests.is_closed());
            }
            Err(error) => {
                slog::warn!(parts.log, "platform: failed to read the list of VMs";
                    "error" => %error);
            }
        }
        tokio::time::sleep(parts.settings.platform.interval.0).await;
    }
}

const fn leaving_text(leaving: bool) -> &'static str {
    if leaving {
        "the backend server is leaving"
    } else {
        "the backend server stays"
    }
}

/// Keeps `/health/ready` in step with [`Parts::is_ready`]. When the agent begins to
/// stop, tells the coordinator once to take no new work. Never returns.
pub async fn update_readiness(parts: Arc<Parts>) {
    let mut closed = false;
    loop {
        parts.ready.store(parts.is_ready(), Ordering::Release);
        if parts.requests.is_closed() && !closed {
            closed = true;
            parts.coordinator.set_leaving(true);
        }
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}

/// Sends the engine its orders. Never returns.
pub async fn send_orders(parts: Arc<Parts>, weights: Arc<dyn WeightStore>) {
    let mut orders = OrderTracker::default();
    let mut backoff_ms = ORDER_BACKOFF_MS;
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let Some(order) = next_order(&parts, &mut orders) else {
            continue;
        };
        match send_order(&parts, weights.as_ref(), &order).await {
            Ok(()) => {
                slog::info!(parts.log, "orders: sent to the engine"; "fence" => order.fence.0);
                orders.mark_sent(order);
                parts.coordinator.refresh.notify_one();
                backoff_ms = ORDER_BACKOFF_MS;
            }
            Err(OrderError::Fenced(highest)) => {
                slog::info!(parts.log, "orders: engine refused an order with an old fencing number";
                    "fence" => order.fence.0, "highest" => highest);
                orders.mark_sent(order);
            }
            Err(OrderError::PermitDelayed(wait)) => tokio::time::sleep(wait).await,
            Err(OrderError::Failed(reason)) => {
                slog::warn!(parts.log, "orders: failed to send an order; retrying";
                    "reason" => reason);
                let jittered = rand::random_range(backoff_ms / 2..=backoff_ms);
                tokio::time::sleep(Duration::from_millis(jittered)).await;
                backoff_ms = (backoff_ms * 2).min(MAX_ORDER_BACKOFF_MS);
            }
        }
    }
}

/// Why an order was not carried out.
#[derive(Debug)]
enum OrderError {
    Fenced(u64),
    PermitDelayed(Duration),
    Failed(String),
}

/// Returns the next order to send. Without a valid lease there is none, because
/// each order must come from a configuration that control has confirmed.
fn next_order(parts: &Parts, orders: &mut OrderTracker) -> Option<Order> {
    let held = parts.lease.held();
    if !held.is_valid(parts.clock.now()) {
        return None;
    }
    orders.set_run(parts.coordinator.view().incarnation?);
    let key = held.snapshot.backend(&parts.settings.process.name)?;
    orders.next(&held.snapshot.backends[key].orders).cloned()
}

async fn send_order(
    parts: &Parts,
    weights: &dyn WeightStore,
    order: &Order,
) -> Result<(), OrderError> {
    if let Action::Load { version } = &order.action {
        let backend = &parts.settings.process.name;
        match weights.permit(version, backend).await {
            Ok(Permit::Granted) => {}
            Ok(Permit::Wait(wait)) => return Err(OrderError::PermitDelayed(wait)),
            Err(error) => return Err(OrderError::Failed(format!("{error:#}"))),
        }
    }
    match parts.engine.order(order.clone()).await {
        Ok(()) => Ok(()),
        Err(EngineError::Fenced { highest }) => Err(OrderError::Fenced(highest)),
        Err(error) => Err(OrderError::Failed(error.to_string())),
    }
}
