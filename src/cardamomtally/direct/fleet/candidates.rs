//! Which backend servers a request may be sent to, and why there is none.

use super::{
    pacing::Turns,
    requirements::{NoChoice, Requirements},
    state::State,
};
use crate::{
    direct::{config::snapshot::ConfigSnapshot, exchange::backlog::ServerKey},
    prelude::*,
    site::{backend::Backend, document::Service, rollout::Side},
};

/// Returns why none of the backend servers was chosen. `untried` are those of `allowed`
/// that this request was not sent to.
pub(super) fn no_choice(
    state: &State,
    now: Mono,
    allowed: &[&Backend],
    untried: &[&Backend],
) -> NoChoice {
    let pause = |b: &&Backend| {
        let node = state.nodes.get(&b.instance);
        node.and_then(|node| node.withdrawal.pause_left(now))
    };
    let pauses: Option<Vec<Duration>> = allowed.iter().map(pause).collect();
    let first = pauses.and_then(|pauses| pauses.into_iter().min());
    match first {
        Some(left) => NoChoice::Paused(left),
        None if untried.is_empty() => NoChoice::NoCandidate,
        None => NoChoice::Busy,
    }
}

/// Returns the backend servers that may run the request: ready and not leaving, of its
/// service, in a data centre that takes traffic, and with the version that the roll-out
/// assigns to the session.
pub(super) fn allowed<'h>(
    config: &'h ConfigSnapshot,
    wanted: &Requirements<'_>,
    state: &State,
) -> Vec<&'h Backend> {
    let fleet = &config.fleet;
    let leaves = |b: &Backend| {
        let node = state.nodes.get(&b.instance);
        node.is_some_and(|node| node.withdrawal.leaves())
    };
    let usable = |b: &&Backend| {
        b.ready
            && b.service == wanted.service.name
            && !fleet.evacuated.contains(&b.centre)
            && !leaves(b)
    };
    let mut usable: Vec<&Backend> = fleet.backends.iter().filter(usable).collect();
    if let Some(rollout) = fleet.rollouts.get(&wanted.service.name) {
        let side = rollout.side(wanted.session);
        let chosen = |b: &&Backend| rollout.side_of(&b.version) == side;
        let on_side = usable.iter().copied().filter(chosen).collect();
        let old = |b: &&Backend| rollout.side_of(&b.version) == Side::Old;
        // A session that belongs to the new version is served by the old one as
        // long as no backend server runs the new version.
        usable = match side {
            Side::New if !usable.iter().any(chosen) => usable.into_iter().filter(old).collect(),
            Side::New | Side::Old => on_side,
        };
    }
    usable
}

/// Returns this entry's turns at a backend server, if its rate is bounded because it is
/// cold.
pub(super) fn cold_turns(
    config: &ConfigSnapshot,
    service: &Service,
    backend: &Backend,
    key: ServerKey,
    now: Mono,
) -> Option<Turns> {
    if service.cold_rate <= 0.0 {
        return None;
    }
    let since = config.cold.cold_since(&backend.instance, now)?;
    Some(Turns::new(config, key, service.cold_rate, since))
}
