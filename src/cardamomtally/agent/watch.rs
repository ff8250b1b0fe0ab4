//! The agent's background tasks: load reports of the backend server, the
//! platform's list of VMs, readiness, and orders to the engine.

use super::{Parts, orders::Orders};
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
const LOOK_MS: u64 = 50;

/// Delay after the first failed order, in milliseconds. It doubles with each
/// further failure.
const ORDER_PAUSE_MS: u64 = 100;

/// Maximum delay after failed orders, in milliseconds.
const ORDER_PAUSE_LIMIT_MS: u64 = 10_000;

/// Minimum time between two load reports, in milliseconds, however many broken
/// connections request one.
const READ_PAUSE_MS: u64 = 20;

/// Requests load reports from the backend server. Never returns.
pub async fn read_engine(parts: Arc<Parts>) {
    let every = parts.settings.backend.load_interval.0;
    loop {
        let sent = parts.clock.now();
        let load = parts.engine.load().await;
        if let Err(error) = &load {
            slog::debug!(parts.log, "engine: failed to read the load report"; "error" => %error);
        }
        parts.desk.read(sent, load);
        tokio::time::sleep(Duration::from_millis(READ_PAUSE_MS)).await;
        // A request for an immediate report ends the wait early.
        let _either = tokio::time::timeout(every, parts.desk.read_now.notified()).await;
    }
}

/// Reads the platform's list of VMs. Never returns.
pub async fn read_platform(parts: Arc<Parts>, platform: Arc<dyn Platform>) {
    let name = &parts.settings.process.name;
    let mut leaving = false;
    loop {
        match platform.vms().await {
            Ok(vms) => {
                let now = vms
                    .iter()
                    .any(|vm| vm.name == *name && vm.state == VmState::Leaving);
                if now != leaving {
                    leaving = now;
                    slog::info!(parts.log, "platform: backend server changed state"; "leaving" => leaving);
                    parts.events.record(
                        "platform",
                        &format!("backend {name}"),
                        leaving_text(leaving),
                    );
                }
                parts.desk.set_leaving(leaving || parts.gate.is_closed());
            }
            Err(error) => {
                slog::warn!(parts.log, "platform: failed to read the list of VMs"; "error" => %error);
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

/// Keeps `/health/ready` true while the agent takes work. Never returns.
pub async fn watch_ready(parts: Arc<Parts>) {
    let mut closed = false;
    loop {
        parts.ready.store(parts.is_ready(), Ordering::Release);
        if parts.gate.is_closed() && !closed {
            closed = true;
            parts.desk.set_leaving(true);
        }
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

/// Sends the engine its orders. Never returns.
pub async fn give_orders(parts: Arc<Parts>, weights: Arc<dyn WeightStore>) {
    let mut orders = Orders::default();
    let mut pause_ms = ORDER_PAUSE_MS;
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let Some(order) = next_order(&parts, &mut orders) else {
            continue;
        };
        match give(&parts, weights.as_ref(), &order).await {
            Ok(()) => {
                slog::info!(parts.log, "orders: sent to the engine"; "fence" => order.fence.0);
                orders.given(order);
                parts.desk.read_now.notify_one();
                pause_ms = ORDER_PAUSE_MS;
            }
            Err(Delay::Fenced(highest)) => {
                slog::info!(parts.log, "orders: engine refused an order; it has seen a higher fencing number";
                    "fence" => order.fence.0, "highest" => highest);
                orders.given(order);
            }
            Err(Delay::Wait(wait)) => tokio::time::sleep(wait).await,
            Err(Delay::Failed(why)) => {
                slog::warn!(parts.log, "orders: failed to send an order; retrying"; "reason" => why);
                let jittered = rand::random_range(pause_ms / 2..=pause_ms);
                tokio::time::sleep(Duration::from_millis(jittered)).await;
                pause_ms = (pause_ms * 2).min(ORDER_PAUSE_LIMIT_MS);
            }
        }
    }
}

/// Why an order was not carried out.
#[derive(Debug)]
enum Delay {
    Fenced(u64),
    Wait(Duration),
    Failed(String),
}

/// Returns the next order to send. Without a valid lease there is none, because
/// each order must come from a configuration that control has confirmed.
fn next_order(parts: &Parts, orders: &mut Orders) -> Option<Order> {
    let held = parts.lease.held();
    if !held.is_valid(parts.clock.now()) {
        return None;
    }
    orders.note_run(parts.desk.view().incarnation?);
    let key = held.snapshot.backend(&parts.settings.process.name)?;
    orders.next(&held.snapshot.backends[key].orders).cloned()
}

async fn give(parts: &Parts, weights: &dyn WeightStore, order: &Order) -> Result<(), Delay> {
    if let Action::Load { version } = &order.action {
        let backend = &parts.settings.process.name;
        match weights.permit(version, backend).await {
            Ok(Permit::Granted) => {}
            Ok(Permit::Wait(wait)) => return Err(Delay::Wait(wait)),
            Err(error) => return Err(Delay::Failed(format!("{error:#}"))),
        }
    }
    match parts.engine.order(order.clone()).await {
        Ok(()) => Ok(()),
        Err(EngineError::Fenced { highest }) => Err(Delay::Fenced(highest)),
        Err(error) => Err(Delay::Failed(error.to_string())),
    }
}
