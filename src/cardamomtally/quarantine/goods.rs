//! Parts of prompts that were answered in full lately.
//!
//! What is known before the first end speaks most clearly for a part: a part that ends
//! backend servers has no such answer. Each caller has a share of the memory of its own, so
//! that one with ever new parts displaces nothing of another.

use super::{
    evidence::EVIDENCE_TTL,
    fingerprint::{CallerKey, Fingerprint},
};
use crate::prelude::*;

/// Greatest number of parts that are remembered for one caller. Once there are that many
/// new ones, those that were not used since the last time are forgotten.
const MAX_PARTS_PER_CALLER: usize = 512;

/// Greatest number of callers that are remembered. Further ones are not.
const MAX_CALLERS: usize = 256;

/// The parts of one caller, the latest and those before.
#[derive(Debug, Default)]
struct Generations {
    recent: FastMap<Fingerprint, Mono>,
    former: FastMap<Fingerprint, Mono>,
}

/// Parts that were answered in full lately, by caller.
#[derive(Debug, Default)]
pub struct Goods {
    callers: FastMap<CallerKey, Generations>,
}

impl Goods {
    /// Records an answer in full to a prompt with these parts.
    pub fn record(&mut self, caller: CallerKey, parts: &[Fingerprint], now: Mono) {
        if parts.is_empty() {
            return;
        }
        if !self.callers.contains_key(&caller) && self.callers.len() >= MAX_CALLERS {
            return;
        }
        let generations = self.callers.entry(caller).or_default();
        for part in parts {
            generations.recent.insert(*part, now);
        }
        if generations.recent.len() >= MAX_PARTS_PER_CALLER {
            generations.former = std::mem::take(&mut generations.recent);
        }
    }

    /// Returns when the latest answer in full to a prompt of this caller with this part
    /// ended, if that was lately.
    #[must_use]
    pub fn latest(&self, caller: CallerKey, part: &Fingerprint, now: Mono) -> Option<Mono> {
        let generations = self.callers.get(&caller)?;
        let recent = generations.recent.get(part);
        let found = recent.or_else(|| generations.former.get(part)).copied();
        found.filter(|at| now.since(*at) < EVIDENCE_TTL)
    }

    /// Forgets what was not used lately.
    pub fn sweep(&mut self, now: Mono) {
        let recent = |at: &Mono| now.since(*at) < EVIDENCE_TTL;
        for generations in self.callers.values_mut() {
            generations.recent.retain(|_, at| recent(at));
            generations.former.retain(|_, at| recent(at));
        }
        self.callers
            .retain(|_, g| !g.recent.is_empty() || !g.former.is_empty());
    }
}
