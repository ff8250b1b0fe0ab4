//! The status of the system for operators, from the answers of all members.

use super::{
    machine::ConfigView,
    processes::merge,
    view::{
        LocalStatus, MemberView, OrderView, ProcessView, Status, SuspensionView, SyncState,
        TicketView,
    },
};
use crate::core::id::Name;
use std::{sync::Arc, time::Duration};

/// Allowance for a slow clock of a process, in percent of the lease. A process
/// counts as silent only after the lease and this allowance.
const CLOCK_DRIFT_PERCENT: u32 = 1;

/// Builds the status from the configuration in force and each member's answer. A
/// member that gave no answer appears with its name only.
#[must_use]
pub fn build(
    member: Name,
    confirmed: bool,
    view: &ConfigView,
    answers: Vec<Result<LocalStatus, Name>>,
    lease: Duration,
) -> Status {
    let mut status = Status {
        member,
        confirmed,
        index: view.config.index,
        digest: view.digest,
        ..Status::default()
    };
    let mut processes = Vec::new();
    for answer in answers {
        match answer {
            Ok(local) => {
                processes.extend(local.processes);
                status.members.push(local.member);
                status.kept.extend(local.kept);
            }
            Err(name) => status.members.push(MemberView {
                name,
                ..MemberView::default()
            }),
        }
    }
    let lease = lease + lease * CLOCK_DRIFT_PERCENT / 100;
    status.processes = merge(processes);
    for process in &mut status.processes {
        process.sync = sync_state(process, view, lease);
    }
    add_tickets(&mut status, view);
    add_suspensions_and_orders(&mut status, view);
    status
}

fn sync_state(process: &ProcessView, view: &ConfigView, lease: Duration) -> SyncState {
    if u128::from(process.age_ms) > lease.as_millis() {
        SyncState::Silent
    } else if process.holds < view.config.index {
        SyncState::Behind
    } else {
        SyncState::Current
    }
}

fn add_tickets(status: &mut Status, view: &ConfigView) {
    for (partner, state) in &view.config.partners {
        let mut ticket = TicketView {
            partner: Arc::clone(partner),
            ticket: state.ticket,
            holders: 0,
            laggards: Vec::new(),
            silent: Vec::new(),
        };
        for process in &status.processes {
            let name = Arc::clone(&process.name);
            if process.sync == SyncState::Silent {
                ticket.silent.push(name);
            } else if process.holds < state.ticket.index {
                ticket.laggards.push(name);
            } else {
                ticket.holders += 1;
            }
        }
        status.tickets.push(ticket);
    }
}

/// Adds the suspended versions, the suspected and quarantined digests, and the
/// orders.
fn add_suspensions_and_orders(status: &mut Status, view: &ConfigView) {
    for (version, suspension) in &view.config.suspended {
        status.suspensions.push(SuspensionView {
            version: version.to_string(),
            reason: Arc::clone(&suspension.reason),
            ttl_secs: suspension.ttl.as_secs(),
            count: suspension.count,
        });
    }
    for (digest, suspect) in &view.config.suspects {
        if suspect.quarantined {
            status.quarantined.push(*digest);
        } else {
            status.suspects.push(*digest);
        }
    }
    for (backend, orders) in &view.config.orders {
        let views = orders.iter().map(|order| OrderView {
            backend: Arc::clone(backend),
            order: order.clone(),
        });
        status.orders.extend(views);
    }
}
