//! The entry's knowledge of each backend server, and the choice among them.
//!
//! The load of a backend server is its last load report, corrected by the
//! requests that this entry has started and finished there since. The prefill
//! work that waits there comes from [`exchange`](crate::direct::exchange). A
//! request goes to the backend server with the lowest cost by
//! [`super::placement`]. A circuit breaker keeps requests away from a backend
//! server that fails, and lets one trial request through after a while.

use super::{
    candidates::{allowed, no_choice},
    choice::{CONNECT_BREAKER, Expected, REPLACED_BREAKER},
    node::Evidence,
    pacing::sharing_entries,
    selection::{Ranked, Selection},
    state::{Shared, State},
    statement::Statement,
};
use crate::{
    direct::{
        config::snapshot::ConfigSnapshot,
        exchange::{
            backlog::{BacklogSums, ServerKey},
            peers::{Knowledge, Peers},
        },
    },
    prelude::*,
    scheduling::{
        outlook::Outlook,
        settings::{Mode, SchedulingSettings},
    },
    site::backend::Backend,
};
use rand::{SeedableRng as _, rngs::SmallRng};

pub use super::{
    choice::Choice,
    requirements::{NoChoice, Requirements},
};

/// Time for which other entries are told again and again that a backend server was
/// replaced, since datagrams may be lost.
const TELL_REPLACED_TIME: Duration = Duration::from_secs(1);

/// Load, failures, cached prefixes and backlog of all backend servers, as this
/// entry knows them.
#[derive(Debug)]
pub struct Registry {
    shared: Arc<Shared>,
    centre: Name,
    mode: Mode,
    /// Whether backend servers are chosen by forecast while overload control is active.
    by_forecast: bool,
}

impl Registry {
    /// Builds an empty registry for an entry in the given data centre.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, centre: Name) -> Self {
        Self {
            shared: Arc::new(Shared::new(clock)),
            centre,
            mode: Mode::Off,
            by_forecast: false,
        }
    }

    /// Returns the registry with an exchange that sends this entry's backlog to
    /// the other entries.
    #[must_use]
    pub fn with_peers(self, peers: Arc<Peers>) -> Self {
        self.shared.set_peers(peers);
        self
    }

    /// Returns the registry with settings of overload control.
    #[must_use]
    pub fn with_scheduling(self, scheduling: Option<SchedulingSettings>) -> Self {
        let settings = scheduling.unwrap_or(SchedulingSettings {
            mode: Mode::Off,
            ..SchedulingSettings::default()
        });
        Self {
            mode: settings.mode,
            by_forecast: settings.by_forecast,
            ..self
        }
    }

    /// Returns the registry with random numbers that are the same in each run, for tests.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> Self {
        self.shared.lock().rng = Some(SmallRng::seed_from_u64(seed));
        self
    }

    /// Chooses the backend server with the lowest cost and counts the request
    /// as in flight there.
    ///
    /// # Errors
    ///
    /// Returns [`NoChoice::NoCandidate`] if no backend server may run the
    /// request, [`NoChoice::Busy`] if all that may are failing, or are cold or name a
    /// limit and get no request of this entry yet, and [`NoChoice::Paused`] if all that
    /// may have asked for a pause.
    pub fn choose(
        self: &Arc<Self>,
        config: &ConfigSnapshot,
        wanted: &Requirements<'_>,
    ) -> Result<Choice, NoChoice> {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        let allowed = allowed(config, wanted, &state);
        let untried = untried(&allowed, wanted);
        state.ensure_known(&untried);
        let active = self.by_forecast && state.is_active(self.mode, wanted.service);
        let random = if active { state.random() } else { 0.0 };
        let selection = self.selection(&state, config, wanted, now);
        let best = if active {
            selection.spread(&selection.ranked(&untried, Some(random)), Some(random))
        } else {
            selection.cheapest(&untried)
        };
        let Some(best) = best else {
            return Err(no_choice(&state, now, &allowed, &untried));
        };
        let choice = self.begin(&mut state, config, wanted, &best, now);
        drop(state);
        self.shared.notify_peers(choice.queued());
        Ok(choice)
    }

    /// Counts a request as in flight at the chosen backend server.
    fn begin(
        &self,
        state: &mut State,
        config: &ConfigSnapshot,
        wanted: &Requirements<'_>,
        best: &Ranked<'_>,
        now: Mono,
    ) -> Choice {
        let model = self.selection(state, config, wanted, now).model_name();
        state.begun += 1;
        let id = state.begun;
        let expected = best.scheduled.map(|scheduled| Expected {
            id,
            model,
            work: scheduled.work,
            forecast: scheduled.forecast,
            step_pace: scheduled.step_pace,
            cached: scheduled.cached,
        });
        let instance = &best.backend.instance;
        let node = state.nodes.entry(Arc::clone(instance)).or_default();
        node.begin(now, wanted.prefix_key());
        node.pacing.begin(now, sharing_entries(config));
        let key = node.key;
        if let Some(expected) = &expected {
            node.begin_prefill(id, now, expected.forecast.first);
            node.own_tokens += expected.work.memory;
            let demand = state.demand.entry(Arc::clone(&wanted.service.name));
            let work = &expected.work;
            demand.or_default().begin(now, work.prefill(), work.memory);
        }
        let choice = Choice {
            shared: Arc::clone(&self.shared),
            backend: best.backend.clone(),
            load: best.candidate.load,
            backlog: best.candidate.backlog,
            estimate: best.estimate,
            key,
            model: wanted.model.map(Name::from),
            chosen_at: now,
            expected,
            prefilling: true,
            recorded: false,
        };
        state.backlog.add(key, choice.queued());
        choice
    }

    fn selection<'a>(
        &'a self,
        state: &'a State,
        config: &'a ConfigSnapshot,
        wanted: &'a Requirements<'a>,
        now: Mono,
    ) -> Selection<'a> {
        Selection {
            state,
            config,
            wanted,
            centre: &self.centre,
            now,
        }
    }

    /// Returns what a request would meet if it was sent now, without sending it; `None` if no
    /// backend server may be chosen.
    pub fn outlook(&self, config: &ConfigSnapshot, wanted: &Requirements<'_>) -> Option<Outlook> {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        let allowed = allowed(config, wanted, &state);
        let untried = untried(&allowed, wanted);
        state.ensure_known(&untried);
        let selection = self.selection(&state, config, wanted, now);
        let active = state.is_active(self.mode, wanted.service);
        let (best, mean_wait) = if active && self.by_forecast {
            let ranked = selection.ranked(&untried, None);
            let waits: f64 = ranked.iter().map(|r| r.candidate.backlog).sum();
            let mean_wait = waits / ranked.len().max(1) as f64;
            (selection.spread(&ranked, None)?, mean_wait)
        } else {
            let nodes = untried.iter().filter_map(|b| state.nodes.get(&b.instance));
            let waits: f64 = nodes.map(|node| state.backlog.total_ms(node.key)).sum();
            (selection.cheapest(&untried)?, waits / untried.len() as f64)
        };
        Some(Outlook {
            wait: best.candidate.backlog,
            first: best.estimate.ttft,
            prefill: best.estimate.prefill,
            mean_wait,
            active,
        })
    }

    /// Records what a backend server has said of itself in its answer to a request that
    /// was sent to it as `choice`. `entries` is the number of entries that share its
    /// limit.
    ///
    /// Returns whether it has said for the first time that it leaves.
    pub fn record_statement(&self, choice: &Choice, statement: Statement, entries: u32) -> bool {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        let State { nodes, paced, .. } = &mut *state;
        let Some(node) = nodes.get_mut(&choice.backend.instance) else {
            return false;
        };
        if let Some(load) = statement.load {
            node.report(now, load);
            if load.pace.is_some() {
                paced.insert(Arc::clone(&choice.backend.service));
            }
        }
        if let Some(time) = statement.pause {
            node.withdrawal.pause(now, time);
        }
        let sent = choice.chosen_at;
        node.pacing.set_limit(now, sent, statement.limit, entries);
        statement.leaving && node.withdrawal.leave()
    }

    /// Records that a backend server has ended, so that nothing is sent there for a while.
    pub fn record_ended(&self, key: ServerKey) {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        let found = state.nodes.values_mut().find(|node| node.key == key);
        if let Some(node) = found.filter(|node| node.breaker.allows(now)) {
            node.breaker.record_failure(CONNECT_BREAKER, now);
        }
    }

    /// Records that other entries have found other backend servers at these addresses, so
    /// that nothing is sent there for a while.
    pub fn record_replaced(&self, servers: &[ServerKey]) {
        let now = self.shared.clock.now();
        let servers: FastSet<ServerKey> = servers.iter().copied().collect();
        let mut state = self.shared.lock();
        let found = state.nodes.values_mut();
        for node in found.filter(|node| servers.contains(&node.key) && node.breaker.allows(now)) {
            node.breaker.record_failure(REPLACED_BREAKER, now);
        }
    }

    /// Returns the backend servers that this entry has lately found to be replaced, at most
    /// `max`.
    #[must_use]
    pub fn replaced(&self, max: usize) -> Vec<ServerKey> {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        let recent = |at: &Mono| now.since(*at) < TELL_REPLACED_TIME;
        state.replaced.retain(|_, at| recent(at));
        state.replaced.keys().copied().take(max).collect()
    }

    /// Returns what this entry knows of the backend servers at first hand, for an account of
    /// capacity among the entries.
    #[must_use]
    pub fn own_evidence(&self) -> Vec<Evidence> {
        let now = self.shared.clock.now();
        let state = self.shared.lock();
        let nodes = state.nodes.values();
        nodes.map(|node| node.evidence(now)).collect()
    }

    /// Records what an account tells of the other entries: for each backend server the latest
    /// load report, the mean factor, and the sum of the tokens. It does not include this
    /// entry's own, and is ignored a second after its arrival.
    pub fn record_evidence(&self, evidence: &[Evidence]) {
        let now = self.shared.clock.now();
        let by_server: FastMap<ServerKey, &Evidence> =
            evidence.iter().map(|e| (e.server, e)).collect();
        let mut state = self.shared.lock();
        for node in state.nodes.values_mut() {
            if let Some(evidence) = by_server.get(&node.key) {
                node.apply(now, evidence);
            }
        }
    }

    /// Removes backend servers that left the fleet and have none of this
    /// entry's requests in flight, and prefixes that are no longer assumed to
    /// be cached.
    pub fn sweep(&self, config: &ConfigSnapshot) {
        let now = self.shared.clock.now();
        let backends = config.fleet.backends.iter();
        let listed: FastMap<&Name, bool> = backends.map(|b| (&b.instance, b.ready)).collect();
        let nodes = &mut self.shared.lock().nodes;
        nodes.retain(|instance, node| node.own_in_flight > 0 || listed.contains_key(instance));
        for (instance, node) in nodes {
            node.sweep(now);
            node.withdrawal
                .compare(listed.get(instance).is_some_and(|ready| *ready));
        }
    }
}

impl Knowledge for Registry {
    fn apply_peer_sums(&self, entry: &Name, sums: BacklogSums) {
        let now = self.shared.clock.now();
        self.shared.lock().backlog.apply_peer(entry, sums, now);
    }

    fn record_replaced(&self, servers: &[ServerKey]) {
        Self::record_replaced(self, servers);
    }

    fn replaced(&self, max: usize) -> Vec<ServerKey> {
        Self::replaced(self, max)
    }

    fn own_sums(&self, max: usize) -> BacklogSums {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        state.backlog.expire(now);
        state.backlog.own_sums(max)
    }
}

/// Returns the backend servers to which the request was not sent yet.
fn untried<'b>(allowed: &[&'b Backend], wanted: &Requirements<'_>) -> Vec<&'b Backend> {
    let untried = |b: &&Backend| !wanted.tried.contains(&b.instance);
    allowed.iter().copied().filter(untried).collect()
}
