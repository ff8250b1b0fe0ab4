//! Selection of one backend server among candidates.
//!
//! A request that is suspected of crashing backend servers goes to the least loaded
//! candidate on which almost nothing runs, or to none. For all other requests the
//! rules apply in this order:
//!
//! 1. Candidates in the own data centre are preferred until they are about to queue
//!    requests.
//! 2. If the request has an affinity key, rendezvous hashing selects its preferred
//!    candidate, unless that candidate's load exceeds the load bound.
//! 3. Otherwise the hot-cold rule of Wydrowski et al. (NSDI 2024) applies to a
//!    random sample of the candidates with recent load reports. Among those whose
//!    load is not in the top quarter, it selects the one with the lowest expected
//!    delay. If all are at their limit, it selects the least loaded.
//! 4. If fewer than two candidates have a recent report, the less loaded of two random
//!    candidates is selected. The load of a candidate without a recent report is
//!    estimated from the requests that this entry has in flight there.

use super::rendezvous;
use rand::{Rng, seq::IndexedRandom as _};

/// Load from which on a backend server in the own data centre counts as full, so
/// that requests may go to other data centres.
const SPILLOVER_LOAD: f64 = 0.9;

/// Number of candidates that are compared by reported delay.
const SAMPLE_SIZE: usize = 6;

/// Quantile of the sample's load above which a candidate counts as hot.
const HOT_QUANTILE: f64 = 0.75;

/// Number of running attempts below which a backend server may take a suspect
/// request.
const ISOLATION_MAX_RUNNING: f64 = 1.5;

/// A backend server that may be selected.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// Key that is returned if the candidate is selected.
    pub key: K,
    /// Hash of the backend server's name, for rendezvous hashing.
    pub seed: u64,
    /// Whether the backend server is in this entry's data centre.
    pub local: bool,
    /// Estimated number of attempts that run or wait there.
    pub running: f64,
    /// Number of attempts that may run there at once.
    pub limit: f64,
    /// Expected delay in milliseconds, if a recent report gives it.
    pub delay: Option<f64>,
}

impl<K> Candidate<K> {
    fn load(&self) -> f64 {
        self.running / self.limit.max(1.0)
    }
}

/// Requirements of the request and the settings that guide the selection.
#[derive(Clone, Copy, Debug)]
pub struct Preferences {
    /// Hash of the session or of the prompt's prefix. Requests with the same hash
    /// prefer the same backend server.
    pub affinity: Option<u64>,
    /// Ratio of a candidate's load to the mean load from which on affinity is
    /// ignored.
    pub bound: f64,
    /// Whether the request is suspected of crashing backend servers, so that it may
    /// only go where almost nothing else runs.
    pub isolate: bool,
}

/// Selects a candidate. Removes from `candidates` those that were ruled out.
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

/// Tells whether a candidate is in the own data centre and not full.
fn has_local_capacity<K>(candidate: &Candidate<K>) -> bool {
    candidate.local && candidate.load() < SPILLOVER_LOAD
}

fn least_loaded<K: Copy>(candidates: &[Candidate<K>]) -> Option<&Candidate<K>> {
    candidates
        .iter()
        .min_by(|a, b| a.load().total_cmp(&b.load()))
}

/// Returns the candidate that an affinity key prefers, unless its load is above the
/// bound.
fn by_affinity<K: Copy>(candidates: &[Candidate<K>], key: u64, bound: f64) -> Option<K> {
    let preferred = candidates
        .iter()
        .max_by_key(|c| rendezvous::weight(key, c.seed))?;
    let running: f64 = candidates.iter().map(|c| c.running).sum();
    let limit: f64 = candidates.iter().map(|c| c.limit.max(1.0)).sum();
    let fair = bound * (running + 1.0) / limit * preferred.limit.max(1.0);
    (preferred.running < fair.max(1.0)).then_some(preferred.key)
}

/// Applies the hot-cold rule to a random sample of the candidates with recent
/// reports. Returns none if fewer than two have one.
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

/// Returns a random stride that visits each of `count` positions once, modulo
/// `count`.
fn stride<R: Rng + ?Sized>(count: usize, rng: &mut R) -> usize {
    /// Primes above any expected number of candidates, so that a stride shares no
    /// factor with `count`.
    const PRIMES: [usize; 4] = [1_009, 2_003, 4_001, 7_919];
    let prime = PRIMES[rng.random_range(0..PRIMES.len())];
    if count > 0 && prime.is_multiple_of(count) {
        return 1;
    }
    prime
}

/// Selects the less loaded of two random candidates.
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
