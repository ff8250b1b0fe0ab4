//! What an entry knows of the backend servers, and the choice among them.
//!
//! For each version and plain service the board keeps a subset of the backend
//! servers that serve it, fixed by rendezvous hashing on the entry's name, so
//! that no entry tracks all engines. Reports come with probes, rejections and
//! answers. They lag: what this entry has sent since a report is added to it.

use super::{
    breaker::{Breaker, BreakerSettings},
    choice::{self, Candidate, Preferences},
    rendezvous,
};
use crate::{
    arena_key,
    core::{
        arena::Arena,
        clock::Mono,
        id::{Incarnation, Index, Name},
        map::FastMap,
        snapshot::{BackendKey, Snapshot},
    },
    net::run::{Load, Probe, Target},
    settings::entry::RoutingSettings,
};
use rand::{Rng, seq::IndexedRandom as _};
use std::{sync::Arc, time::Duration};

/// Limit assumed of a backend server that has not reported one.
const DEFAULT_LIMIT: f64 = 8.0;

/// Share of the subset that is kept for other data centres.
const REMOTE_DIVISOR: usize = 3;

/// Time to first byte over the usual one that counts as an error.
const SLOW_FACTOR: f64 = 8.0;

/// Least time to first byte that counts as an error.
const SLOW_MIN: Duration = Duration::from_secs(1);

/// Weight of the latest time in the mean.
const EWMA_WEIGHT: f64 = 0.05;

arena_key! {
    /// A backend server on the board.
    SlotKey,
}

/// What an entry knows of one backend server.
#[derive(Clone, Debug)]
struct Slot {
    name: Name,
    agent: Name,
    seed: u64,
    local: bool,
    usable: bool,
    incarnation: Option<Incarnation>,
    running: u32,
    report: Option<Report>,
    breaker: Breaker,
}

/// The latest report of load.
#[derive(Clone, Copy, Debug)]
struct Report {
    load: Load,
    ready: bool,
    received: Mono,
    own_running: u32,
}

/// The backend servers that this entry uses for one target.
#[derive(Clone, Debug, Default)]
struct Pool {
    subset: Vec<SlotKey>,
    all: Vec<SlotKey>,
    first_byte_ms: f64,
}

/// A chosen backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// Its key on the board until the next configuration.
    pub slot: SlotKey,
    /// Its name.
    pub name: Name,
    /// Address of its agent.
    pub agent: Name,
    /// The agent's incarnation, if known.
    pub incarnation: Option<Incarnation>,
}

/// What a request wants of the board.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The version or plain service.
    pub target: &'a Target,
    /// Hash of the session or the prompt's prefix.
    pub affinity: Option<u64>,
    /// Backend servers that have failed this request.
    pub tried: &'a [Name],
    /// Whether the request is a suspect.
    pub quiet: bool,
}

/// How an attempt ended, as the board sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The first byte came after this time.
    Good(Duration),
    /// It says nothing about the backend server.
    Neutral,
    /// The backend server or its agent failed.
    Bad,
}

/// What an entry knows of the backend servers.
#[derive(Clone, Debug)]
pub struct Board {
    settings: RoutingSettings,
    seed: u64,
    centre: Name,
    index: Option<Index>,
    slots: Arena<SlotKey, Slot>,
    by_name: FastMap<Name, SlotKey>,
    pools: FastMap<Target, Pool>,
    scratch: Vec<Candidate<SlotKey>>,
}

impl Board {
    /// Builds an empty board of an entry in a data centre.
    #[must_use]
    pub fn new(entry: &str, centre: &str, settings: RoutingSettings) -> Self {
        Self {
            settings,
            seed: rendezvous::seed(entry),
            centre: centre.into(),
            index: None,
            slots: Arena::default(),
            by_name: FastMap::default(),
            pools: FastMap::default(),
            scratch: Vec::new(),
        }
    }

    /// Takes over a configuration, unless it or a later one is held already.
    pub fn adopt(&mut self, snapshot: &Snapshot) {
        if self.index.is_some_and(|applied| applied >= snapshot.index) {
            return;
        }
        self.index = Some(snapshot.index);
        self.add_slots(snapshot);
        let old = std::mem::take(&mut self.pools);
        for (_, version) in snapshot.versions.iter() {
            let target = Target::Version(version.id.clone());
            self.add_pool(snapshot, target, &version.backends, &old);
        }
        for (_, service) in snapshot.services.iter() {
            let target = Target::Service(crate::core::config::VersionId {
                partner: Arc::clone(&service.partner),
                name: Arc::clone(&service.name),
            });
            self.add_pool(snapshot, target, &service.backends, &old);
        }
    }

    fn add_slots(&mut self, snapshot: &Snapshot) {
        for (_, slot) in self.slots.iter_mut() {
            slot.usable = false;
        }
        for (_, backend) in snapshot.backends.iter() {
            let local = snapshot.centres[backend.centre].name == self.centre;
            let known = self.by_name.get(&backend.name).copied();
            let key = known.unwrap_or_else(|| self.add_slot(&backend.name, &backend.agent));
            let slot = &mut self.slots[key];
            if slot.agent != backend.agent {
                slot.agent = Arc::clone(&backend.agent);
                slot.incarnation = None;
                slot.report = None;
            }
            slot.local = local;
            slot.usable = backend.in_service;
        }
    }

    fn add_slot(&mut self, name: &Name, agent: &Name) -> SlotKey {
        let key = self.slots.push(Slot {
            name: Arc::clone(name),
            agent: Arc::clone(agent),
            seed: rendezvous::seed(name),
            local: false,
            usable: false,
            incarnation: None,
            running: 0,
            report: None,
            breaker: Breaker::default(),
        });
        self.by_name.insert(Arc::clone(name), key);
        key
    }

    fn add_pool(
        &mut self,
        snapshot: &Snapshot,
        target: Target,
        backends: &[BackendKey],
        old: &FastMap<Target, Pool>,
    ) {
        let mut all: Vec<SlotKey> = backends
            .iter()
            .filter_map(|key| self.by_name.get(&snapshot.backends[*key].name).copied())
            .filter(|key| self.slots[*key].usable)
            .collect();
        let weight = |key: &SlotKey| rendezvous::weight(self.seed, self.slots[*key].seed);
        all.sort_by_key(|key| std::cmp::Reverse(weight(key)));
        let first_byte_ms = old.get(&target).map_or(0.0, |pool| pool.first_byte_ms);
        let subset = self.select_subset(&all);
        let pool = Pool {
            subset,
            all,
            first_byte_ms,
        };
        self.pools.insert(target, pool);
    }

    /// Takes the first of the own data centre, then of the others, and keeps
    /// room for others so that there is somewhere to spill over to.
    fn select_subset(&self, all: &[SlotKey]) -> Vec<SlotKey> {
        let size = self.settings.subset.max(1);
        let (local, remote): (Vec<_>, Vec<_>) = all.iter().partition(|key| self.slots[**key].local);
        let reserve = remote.len().min(size / REMOTE_DIVISOR);
        let near = local.len().min(size - reserve);
        let far = remote.len().min(size - near);
        local[..near]
            .iter()
            .chain(&remote[..far])
            .copied()
            .collect()
    }

    /// Chooses a backend server.
    pub fn choose<R: Rng + ?Sized>(
        &mut self,
        ask: &Ask<'_>,
        now: Mono,
        rng: &mut R,
    ) -> Option<Pick> {
        let pool = self.pools.get(ask.target)?;
        let mut candidates = std::mem::take(&mut self.scratch);
        self.add_candidates(&pool.subset, ask.tried, now, &mut candidates);
        if candidates.is_empty() {
            self.add_candidates(&pool.all, ask.tried, now, &mut candidates);
        }
        if candidates.is_empty() {
            self.add_candidates(&pool.all, &[], now, &mut candidates);
        }
        let preferences = Preferences {
            affinity: ask.affinity,
            bound: self.settings.load_bound,
            isolate: ask.quiet,
        };
        let chosen = choice::choose(&mut candidates, preferences, rng);
        candidates.clear();
        self.scratch = candidates;
        chosen.map(|key| self.selected(key))
    }

    fn add_candidates(
        &self,
        keys: &[SlotKey],
        tried: &[Name],
        now: Mono,
        candidates: &mut Vec<Candidate<SlotKey>>,
    ) {
        for &key in keys {
            let slot = &self.slots[key];
            let report = self.recent_report(slot, now);
            let refuses = report.is_some_and(|r| !r.ready || r.load.leaving);
            if refuses || !slot.breaker.allows(now) || tried.contains(&slot.name) {
                continue;
            }
            candidates.push(candidate(key, slot, report));
        }
    }

    fn recent_report<'s>(&self, slot: &'s Slot, now: Mono) -> Option<&'s Report> {
        let report = slot.report.as_ref()?;
        (now.since(report.received) <= self.settings.probe_age.0).then_some(report)
    }

    fn selected(&self, key: SlotKey) -> Pick {
        let slot = &self.slots[key];
        Pick {
            slot: key,
            name: Arc::clone(&slot.name),
            agent: Arc::clone(&slot.agent),
            incarnation: slot.incarnation,
        }
    }

    /// Returns the address of a backend server's agent.
    #[must_use]
    pub fn agent(&self, backend: &str) -> Option<Name> {
        let key = self.by_name.get(backend)?;
        Some(Arc::clone(&self.slots[*key].agent))
    }

    /// Counts an attempt that is about to be sent.
    pub fn begin(&mut self, slot: SlotKey) {
        let slot = &mut self.slots[slot];
        slot.running += 1;
        slot.breaker.begin();
    }

    /// Counts an attempt that has ended.
    pub fn end(&mut self, slot: SlotKey) {
        let slot = &mut self.slots[slot];
        slot.running = slot.running.saturating_sub(1);
    }

    /// Learns how an attempt fared.
    pub fn outcome(&mut self, slot: SlotKey, target: &Target, outcome: Outcome, now: Mono) {
        let settings = BreakerSettings {
            errors: self.settings.breaker_errors,
            open: self.settings.breaker_open.0,
        };
        let late = match outcome {
            Outcome::Good(time) => self.is_late(target, time),
            Outcome::Bad | Outcome::Neutral => false,
        };
        let breaker = &mut self.slots[slot].breaker;
        match outcome {
            Outcome::Good(_) if !late => breaker.good(),
            Outcome::Neutral => breaker.neutral(),
            Outcome::Bad | Outcome::Good(_) => breaker.bad(settings, now),
        }
    }

    /// Compares a time to first byte with the usual one, and learns from it.
    fn is_late(&mut self, target: &Target, time: Duration) -> bool {
        let Some(pool) = self.pools.get_mut(target) else {
            return false;
        };
        let time_ms = time.as_secs_f64() * 1_000.0;
        let mean_ms = pool.first_byte_ms;
        let late = time > SLOW_MIN && mean_ms > 0.0 && time_ms > mean_ms * SLOW_FACTOR;
        let capped = time_ms.min(if mean_ms > 0.0 {
            mean_ms * 2.0
        } else {
            time_ms
        });
        pool.first_byte_ms += EWMA_WEIGHT * (capped - mean_ms);
        if mean_ms <= 0.0 {
            pool.first_byte_ms = time_ms;
        }
        late
    }

    /// Learns a load that came with an answer or a rejection.
    pub fn loaded(
        &mut self,
        slot: SlotKey,
        load: Load,
        incarnation: Option<Incarnation>,
        now: Mono,
    ) {
        self.set_report(slot, load, true, incarnation, now);
    }

    /// Learns a probe's answer.
    pub fn probed(&mut self, probe: &Probe, now: Mono) {
        let Some(&slot) = self.by_name.get(&probe.backend) else {
            return;
        };
        self.set_report(slot, probe.load, probe.ready, Some(probe.incarnation), now);
        if probe.ready {
            self.slots[slot].breaker.recover(now);
        }
    }

    fn set_report(
        &mut self,
        slot: SlotKey,
        load: Load,
        ready: bool,
        incarnation: Option<Incarnation>,
        now: Mono,
    ) {
        let slot = &mut self.slots[slot];
        slot.incarnation = incarnation.or(slot.incarnation);
        slot.report = Some(Report {
            load,
            ready,
            received: now,
            own_running: slot.running,
        });
    }

    /// Draws a backend server of a target to probe.
    pub fn to_probe<R: Rng + ?Sized>(&self, target: &Target, rng: &mut R) -> Option<Name> {
        let pool = self.pools.get(target)?;
        let key = pool.subset.choose(rng)?;
        Some(Arc::clone(&self.slots[*key].agent))
    }
}

fn candidate(key: SlotKey, slot: &Slot, report: Option<&Report>) -> Candidate<SlotKey> {
    let own = f64::from(slot.running);
    let Some(report) = report else {
        return Candidate {
            key,
            seed: slot.seed,
            local: slot.local,
            running: own,
            limit: DEFAULT_LIMIT,
            delay: None,
        };
    };
    let sent_since = f64::from(slot.running.saturating_sub(report.own_running));
    let running = f64::from(report.load.running + report.load.queued) + sent_since;
    let limit = f64::from(report.load.limit);
    let delay = f64::from(report.load.delay_ms) * (1.0 + sent_since / limit.max(1.0));
    Candidate {
        key,
        seed: slot.seed,
        local: slot.local,
        running: running.max(own),
        limit,
        delay: Some(delay),
    }
}
