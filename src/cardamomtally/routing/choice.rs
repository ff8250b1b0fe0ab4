//! Choice of one backend server among candidates.
//!
//! Own data centre first, until it is about to queue. Then affinity by
//! rendezvous hashing, unless its choice is loaded above the bound. Then the
//! hot-cold rule of Wydrowski et al. (NSDI 2024) on a few candidates drawn at
//! random: of those whose requests in flight are not among the highest, the one
//! with the least expected delay; if all are high, the least loaded. Without
//! fresh reports, the less loaded of two by what this entry has in flight.

use super::rendezvous;
use rand::{Rng, seq::IndexedRandom as _};

/// Load above which an own data centre's backend server counts as full.
const SPILLOVER_LOAD: f64 = 0.9;

/// Candidates that are compared by reported delay.
const SAMPLE_SIZE: usize = 6;

/// Quantile of load at which a candidate counts as hot.
const HOT_QUANTILE: f64 = 0.75;

/// Attempts that may run where a suspect is sent.
const ISOLATION_MAX_RUNNING: f64 = 1.5;

/// A backend server that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// Its key, given back if it is chosen.
    pub key: K,
    /// Seed of its name for rendezvous hashing.
    pub seed: u64,
    /// Whether it is in this entry's data centre.
    pub local: bool,
    /// Attempts that run or wait there, as best known.
    pub running: f64,
    /// Attempts that may run there.
    pub limit: f64,
    /// Expected delay in milliseconds, if a fresh report tells it.
    pub delay: Option<f64>,
}

impl<K> Candidate<K> {
    fn load(&self) -> f64 {
        self.running / self.limit.max(1.0)
    }
}

/// What the choice depends on besides the candidates.
#[derive(Clone, Copy, Debug)]
pub struct Preferences {
    /// Hash of the session or the prompt's prefix.
    pub affinity: Option<u64>,
    /// Load over the mean at which affinity gives way.
    pub bound: f64,
    /// Whether the request is a suspect and needs a quiet backend server.
    pub isolate: bool,
}

/// Chooses a candidate.
pub fn choose<K: Copy, R: Rng + ?Sized>(
    candidates: &mut Vec<Candidate<K>>,
    preferences: Preferences,
    rng: &mut R,
) -> Option<K> {
    if preferences.isolate {
        candidates.retain(|c| c.running < ISOLATION_MAX_RUNNING);
        return least_loaded(candidates).map(|c| c.key);
    }
    if candidates.iter().any(has_local_capacity) {
        candidates.retain(has_local_capacity);
    }
    if let Some(key) = preferences
        .affinity
        .and_then(|a| by_affinity(candidates, a, preferences.bound))
    {
        return Some(key);
    }
    by_delay(candidates, rng).or_else(|| by_two_choices(candidates, rng))
}

/// Tells whether a candidate is near and has room.
fn has_local_capacity<K>(candidate: &Candidate<K>) -> bool {
    candidate.local && candidate.load() < SPILLOVER_LOAD
}

fn least_loaded<K: Copy>(candidates: &[Candidate<K>]) -> Option<&Candidate<K>> {
    candidates
        .iter()
        .min_by(|a, b| a.load().total_cmp(&b.load()))
}

/// Returns the first choice of a key, unless it is loaded above the bound.
fn by_affinity<K: Copy>(candidates: &[Candidate<K>], key: u64, bound: f64) -> Option<K> {
    let preferred = candidates
        .iter()
        .max_by_key(|c| rendezvous::weight(key, c.seed))?;
    let running: f64 = candidates.iter().map(|c| c.running).sum();
    let limit: f64 = candidates.iter().map(|c| c.limit.max(1.0)).sum();
    let fair = bound * (running + 1.0) / limit * preferred.limit.max(1.0);
    (preferred.running < fair.max(1.0)).then_some(preferred.key)
}

/// Applies the hot-cold rule to a sample of the candidates with fresh reports.
fn by_delay<K: Copy, R: Rng + ?Sized>(candidates: &[Candidate<K>], rng: &mut R) -> Option<K> {
    let mut sample = [None; SAMPLE_SIZE];
    let mut count = 0;
    let start = rng.random_range(0..candidates.len().max(1));
    let stride = stride(candidates.len(), rng);
    for step in 0..candidates.len() {
        let candidate = &candidates[(start + step * stride) % candidates.len()];
        if let Some(delay) = candidate.delay {
            sample[count] = Some((candidate, delay));
            count += 1;
        }
        if count == SAMPLE_SIZE {
            break;
        }
    }
    (count > 1).then_some(())?;
    let mut loads: [f64; SAMPLE_SIZE] = [f64::MAX; SAMPLE_SIZE];
    for (load, (candidate, _)) in loads.iter_mut().zip(sample.iter().flatten()) {
        *load = candidate.load();
    }
    loads.sort_by(f64::total_cmp);
    let hot = loads[((count - 1) as f64 * HOT_QUANTILE) as usize];
    sample
        .iter()
        .flatten()
        .filter(|(candidate, _)| candidate.load() <= hot && candidate.load() < 1.0)
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(candidate, _)| candidate.key)
        .or_else(|| {
            sample
                .iter()
                .flatten()
                .min_by(|a, b| a.0.load().total_cmp(&b.0.load()))
                .map(|(candidate, _)| candidate.key)
        })
}

/// Returns a stride that visits each of `count` places once.
fn stride<R: Rng + ?Sized>(count: usize, rng: &mut R) -> usize {
    /// Primes above any number of candidates that share no factor with it.
    const PRIMES: [usize; 4] = [1_009, 2_003, 4_001, 7_919];
    let prime = PRIMES[rng.random_range(0..PRIMES.len())];
    if count > 0 && prime.is_multiple_of(count) {
        return 1;
    }
    prime
}

/// Takes the less loaded of two.
fn by_two_choices<K: Copy, R: Rng + ?Sized>(candidates: &[Candidate<K>], rng: &mut R) -> Option<K> {
    let first = candidates.choose(rng)?;
    let second = candidates.choose(rng)?;
    let better = if second.load() < first.load() {
        second
    } else {
        first
    };
    Some(better.key)
}
