//! The choice of a backend server for one request.
//!
//! Without overload control the backend server with the lowest cost by
//! [`super::placement`] is chosen. With it, the cost consists of the forecast and of the delay
//! that the request causes to others, and the choice is spread among the backend servers that
//! other entries may choose at the same time.

use super::{
    candidates::cold_turns,
    node::Node,
    placement::{self, Candidate, Estimate},
    requirements::Requirements,
    state::{Demand, State},
};
use crate::{
    direct::{config::snapshot::ConfigSnapshot, exchange::backlog::ServerKey},
    prelude::*,
    routing::rendezvous,
    scheduling::{
        forecast::{Forecast, ServerView, forecast},
        memory::{MemoryEvidence, admitted, bounded_share, memory_in_use},
        spread::spread,
        work::Work,
    },
    site::backend::Backend,
};

/// Least number of shared tokens for which the home of a prefix may be in
/// another data centre. Shorter prefixes stay in the entry's own data centre.
const REMOTE_HOME_MIN_TOKENS: u32 = 1_000;
/// Load per slot from which on a backend server no longer counts as the home of
/// a prefix, because it is full.
const HOME_MAX_LOAD: f64 = 1.0;
/// Weight of a backend server as a home for each time that its pace doubles. Paces below 2
/// do not count, so that homes do not move with each change of a pace.
const HOME_WEIGHT_PER_DOUBLING: f64 = 0.25;
/// Age of what an entry knows of the others' requests, without and for each other entry: the
/// time between two messages of the exchange.
const KNOWLEDGE_AGE: Duration = Duration::from_millis(10);
const KNOWLEDGE_AGE_PER_ENTRY: Duration = Duration::from_micros(1_500);

/// A backend server that may be chosen by its cost, with what was known about it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ranked<'b> {
    pub(super) backend: &'b Backend,
    pub(super) candidate: Candidate,
    pub(super) estimate: Estimate,
    /// What overload control adds, if it is active.
    pub(super) scheduled: Option<Scheduled>,
}

/// What overload control adds to a backend server that may be chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scheduled {
    pub(super) work: Work,
    pub(super) forecast: Forecast,
    pub(super) step_pace: f64,
    /// Tokens of memory in use there.
    pub(super) memory: f64,
    /// Age of its load report, if there is a recent one.
    pub(super) age: Option<Duration>,
    /// Whether part of the prompt is assumed to be cached there.
    pub(super) cached: bool,
}

/// One choice: what is known and what is wanted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Selection<'a> {
    pub(super) state: &'a State,
    pub(super) config: &'a ConfigSnapshot,
    pub(super) wanted: &'a Requirements<'a>,
    /// Data centre of the entry.
    pub(super) centre: &'a Name,
    pub(super) now: Mono,
}

impl Selection<'_> {
    /// Returns the backend server with the lowest cost without overload control.
    pub(super) fn cheapest<'b>(&self, allowed: &[&'b Backend]) -> Option<Ranked<'b>> {
        let Self {
            state,
            config,
            wanted,
            now,
            ..
        } = *self;
        let speed = state.speeds.get(wanted.model);
        let prefix = wanted.prefix_key();
        let home = prefix.and_then(|prefix| self.home(prefix, allowed));
        let mut best: Option<Ranked<'_>> = None;
        for (backend, node) in self.available(allowed) {
            let in_flight = node.estimated_in_flight(now, config.entries.max(1));
            let load = in_flight / f64::from(backend.slots.max(1));
            let is_home = home == Some(node.key) && load < HOME_MAX_LOAD;
            let candidate = Candidate {
                in_flight,
                load,
                backlog: state.backlog.total_ms(node.key),
                remote: backend.centre != *self.centre,
                cached: is_home || prefix.is_some_and(|prefix| node.has_prefix(prefix, now)),
            };
            let estimate = placement::estimate(&wanted.prompt, speed, &candidate);
            let better = |other: &Ranked<'_>| {
                if wanted.careful {
                    in_flight < other.candidate.in_flight
                } else {
                    estimate.cost < other.estimate.cost
                }
            };
            if best.as_ref().is_none_or(better) {
                best = Some(Ranked {
                    backend,
                    candidate,
                    estimate,
                    scheduled: None,
                });
            }
        }
        best
    }

    /// Returns the home of a prefix: the backend server with the highest
    /// rendezvous weight for the prefix. Prefixes shorter than
    /// [`REMOTE_HOME_MIN_TOKENS`] have their home in the entry's own data
    /// centre.
    fn home(&self, prefix: u64, allowed: &[&Backend]) -> Option<ServerKey> {
        let keys = self.home_nodes(allowed).map(|node| node.key);
        keys.max_by_key(|key| rendezvous::weight(prefix, *key))
    }

    /// Returns the home of a prefix by the speed of the backend servers: a slow one is the
    /// home of fewer prefixes. Where all are equally fast it is the same as [`Self::home`].
    fn home_by_speed(&self, prefix: u64, allowed: &[&Backend]) -> Option<ServerKey> {
        let score = |node: &Node| {
            let doublings = node.mean_pace(self.now).log2().floor().max(0.0);
            let weight = HOME_WEIGHT_PER_DOUBLING.powf(doublings);
            -rendezvous::fraction(prefix, node.key).ln() / weight
        };
        let nodes = self.home_nodes(allowed).map(|node| (score(node), node.key));
        let least = nodes.min_by(|a, b| a.0.total_cmp(&b.0));
        least.map(|(_, key)| key)
    }

    fn home_nodes<'n>(&'n self, allowed: &'n [&Backend]) -> impl Iterator<Item = &'n Node> {
        let far = self.wanted.prompt.shared >= REMOTE_HOME_MIN_TOKENS;
        let near = move |b: &&&Backend| far || b.centre == *self.centre;
        let near = allowed.iter().filter(near);
        near.filter_map(|b| self.state.nodes.get(&b.instance))
    }

    /// Returns the backend servers to which a request may be sent now.
    fn available<'s, 'b>(
        &'s self,
        allowed: &'s [&'b Backend],
    ) -> impl Iterator<Item = (&'b Backend, &'s Node)> {
        let now = self.now;
        allowed.iter().copied().filter_map(move |backend| {
            let node = self.state.nodes.get(&backend.instance)?;
            let cold = cold_turns(self.config, self.wanted.service, backend, node.key, now);
            let paused = node.withdrawal.pause_left(now).is_some();
            let available = !paused && node.breaker.allows(now) && node.pacing.allows(now, cold);
            available.then_some((backend, node))
        })
    }
}

/// The choice with overload control.
impl Selection<'_> {
    /// Returns the name under which the times of the request's model are learned.
    pub(super) fn model_name(&self) -> Name {
        let model = self.wanted.model.map(Name::from);
        model.unwrap_or_else(|| Arc::clone(&self.wanted.service.name))
    }

    /// Chooses a backend server with overload control. `random` is a number from 0 up to 1;
    /// without one, the cheapest is chosen.
    ///
    /// A backend server that holds the prompt's prefix is compared with the one that the
    /// spread choice takes from the others, since few other entries send the same prefix.
    pub(super) fn spread<'b>(
        &self,
        ranked: &[Ranked<'b>],
        random: Option<f64>,
    ) -> Option<Ranked<'b>> {
        let cost = |r: &Ranked<'_>| r.estimate.cost;
        let cheapest = |a: &&Ranked<'_>, b: &&Ranked<'_>| cost(a).total_cmp(&cost(b));
        if self.wanted.careful {
            let in_flight = |r: &Ranked<'_>| r.candidate.in_flight;
            let fewest = |a: &&Ranked<'_>, b: &&Ranked<'_>| in_flight(a).total_cmp(&in_flight(b));
            return ranked.iter().min_by(fewest).copied();
        }
        let Some(random) = random else {
            return ranked.iter().min_by(cheapest).copied();
        };
        let holds = |r: &&Ranked<'_>| r.scheduled.is_some_and(|s| s.cached);
        let (held, free): (Vec<&Ranked<'b>>, Vec<&Ranked<'b>>) = ranked.iter().partition(holds);
        let costs: Vec<f64> = free.iter().map(|r| cost(r)).collect();
        let place = spread(&costs, self.anticipated(&free), random);
        let drawn = place.map(|place| free[place]);
        held.into_iter().chain(drawn).min_by(cheapest).copied()
    }

    /// Returns the cost in milliseconds that the other entries may add in total before this
    /// entry learns of it. They are assumed to send as much as this one. The cause of a retry
    /// often concerns all entries at one moment, so each is then assumed to send a request
    /// like this one.
    fn anticipated(&self, candidates: &[&Ranked<'_>]) -> f64 {
        let others = f64::from(self.config.entries.max(1) - 1);
        let demand = self.demand();
        let (_, work) = demand.within(self.now, self.knowledge_age());
        // Load is known from reports, which are older than the backlog.
        let ages = candidates.iter().filter_map(|r| r.scheduled?.age);
        let (sum, reports) = ages.fold((Duration::ZERO, 0_u32), |(sum, n), age| (sum + age, n + 1));
        let age = sum.checked_div(reports).unwrap_or_default();
        let (count, _) = demand.within(self.now, age.max(self.knowledge_age()));
        let slots = candidates.iter().map(|r| f64::from(r.backend.slots.max(1)));
        let slots = slots.sum::<f64>() / candidates.len().max(1) as f64;
        let load_cost = placement::FORECAST_LOAD_COST_MS / slots.max(1.0);
        let usual = work + count * load_cost;
        let prefills = candidates.iter().map(|r| r.estimate.prefill);
        let own = load_cost + prefills.fold(f64::INFINITY, f64::min);
        let repeated = if self.wanted.tried.is_empty() {
            0.0
        } else {
            own
        };
        others * usual.max(repeated)
    }

    fn knowledge_age(&self) -> Duration {
        KNOWLEDGE_AGE + KNOWLEDGE_AGE_PER_ENTRY * self.config.entries
    }

    fn demand(&self) -> Demand {
        let demand = self.state.demand.get(&self.wanted.service.name);
        demand.copied().unwrap_or_default()
    }

    /// Returns the backend servers to which the request may be sent now, with their costs.
    /// Those without enough memory for it are omitted, and, by `random`, some of those whose
    /// memory other entries may use at the same time.
    pub(super) fn ranked<'b>(
        &self,
        allowed: &[&'b Backend],
        random: Option<f64>,
    ) -> Vec<Ranked<'b>> {
        let wanted = self.wanted;
        let times = self.state.times.get(&self.model_name());
        let times = times.copied().unwrap_or_default();
        let prefix = wanted.prefix_key();
        let home = prefix.and_then(|prefix| self.home_by_speed(prefix, allowed));
        let demand = self.demand();
        let own_tokens = allowed
            .iter()
            .filter_map(|b| self.state.nodes.get(&b.instance));
        let own_tokens: f64 = own_tokens.map(|node| node.own_tokens).sum();
        let servers = allowed.len().max(1) as f64;
        let prompt = &wanted.prompt;
        let (shared, own) = (f64::from(prompt.shared), f64::from(prompt.own));
        let output = f64::from(prompt.output);
        let rank = |(backend, node): (&'b Backend, &Node)| {
            let mut view = self.view(backend, node, &demand);
            view.memory = self.memory_in_use(node, &view, &demand, own_tokens / servers);
            let in_flight = view.in_flight();
            let load = in_flight / view.slots.max(1.0);
            let is_home = home == Some(node.key) && load < HOME_MAX_LOAD;
            let cached = is_home || prefix.is_some_and(|p| node.has_prefix(p, self.now));
            let work = Work {
                prompt: shared + own,
                missing: if cached { own } else { shared + own },
                output,
                memory: shared + own + output,
                times,
            };
            let forecast = forecast(&work, &view);
            let candidate = Candidate {
                in_flight,
                load,
                backlog: forecast.begin,
                remote: backend.centre != *self.centre,
                cached,
            };
            let cached = cached && shared > 0.0;
            Ranked {
                backend,
                candidate,
                estimate: placement::of_forecast(&forecast, shared, work.missing, &candidate),
                scheduled: Some(Scheduled {
                    work,
                    forecast,
                    step_pace: view.step_pace,
                    memory: view.memory,
                    age: view.age,
                    cached,
                }),
            }
        };
        let ranked: Vec<_> = self.available(allowed).map(rank).collect();
        self.with_memory(ranked, &demand, random)
    }

    /// Returns the backend servers that have enough memory for the request.
    fn with_memory<'b>(
        &self,
        ranked: Vec<Ranked<'b>>,
        demand: &Demand,
        random: Option<f64>,
    ) -> Vec<Ranked<'b>> {
        let capacity = self.wanted.service.memory as f64;
        if capacity <= 0.0 {
            return ranked;
        }
        let room = |r: &Ranked<'_>| {
            let used = r.scheduled.map(|s| s.memory + s.work.memory);
            capacity - used.unwrap_or(0.0)
        };
        let others = f64::from(self.config.entries.max(1) - 1);
        let request = demand.unit_memory().max(1.0);
        let share = |r: &Ranked<'_>| {
            let node = self.state.nodes.get(&r.backend.instance);
            let age = node.map_or(Duration::ZERO, |node| self.memory_age(node));
            let arrivals = demand.within(self.now, age).0 * others;
            bounded_share(room(r) / request, arrivals)
        };
        let shares: Vec<f64> = ranked.iter().map(share).collect();
        let Some(random) = random else {
            let fits = ranked.into_iter().zip(shares);
            return fits.filter(|(_, s)| *s > 0.0).map(|(r, _)| r).collect();
        };
        let draw = |place: usize| rendezvous::fraction(random.to_bits(), place as u64);
        let admitted = admitted(&shares, random, draw);
        let both = ranked.into_iter().zip(admitted);
        both.filter(|(_, admitted)| *admitted)
            .map(|(r, _)| r)
            .collect()
    }

    /// Returns the age of what is known of the memory in use.
    fn memory_age(&self, node: &Node) -> Duration {
        let told = node.other_tokens(self.now).map(|(_, age)| age);
        let age = told.or_else(|| node.report_age(self.now));
        age.unwrap_or_default().max(self.knowledge_age())
    }

    /// Returns what is known of a backend server, without its memory in use.
    ///
    /// The prefill work that waits there is what the entries have told each other, or, if that
    /// is more, the waiting requests of the load report less the time since.
    fn view(&self, backend: &Backend, node: &Node, demand: &Demand) -> ServerView {
        let now = self.now;
        let prompt_pace = node.prompt_pace(now);
        let age = node.report_age(now);
        let waiting = node.estimated_waiting(now);
        let in_flight = node.estimated_in_flight(now, self.config.entries.max(1));
        let listed = match backend.slots {
            0 => self.wanted.service.slots,
            slots => slots,
        };
        let done = age.map_or(0.0, |age| age.as_secs_f64() * 1e3 / prompt_pace);
        let reported = waiting * demand.mean_prefill() - done;
        ServerView {
            prompt_pace,
            step_pace: node.step_pace(now),
            backlog: demand.wait_scale() * self.state.backlog.total_ms(node.key).max(reported),
            running: (in_flight - waiting).max(0.0),
            waiting: waiting.min(in_flight),
            slots: f64::from(node.reported_slots().unwrap_or(listed).max(1)),
            hold: demand.mean_hold(),
            memory: 0.0,
            age,
        }
    }

    fn memory_in_use(&self, node: &Node, view: &ServerView, demand: &Demand, own_mean: f64) -> f64 {
        let others = f64::from(self.config.entries.max(1) - 1);
        let others_in_flight = view.in_flight() - f64::from(node.own_in_flight);
        memory_in_use(&MemoryEvidence {
            own: node.own_tokens,
            others: node.other_tokens(self.now).map(|(tokens, _)| tokens),
            others_in_flight: view.age.map(|_| others_in_flight.max(0.0)),
            other_entries: others,
            own_mean,
            request_mean: demand.mean_memory(),
        })
    }
}
