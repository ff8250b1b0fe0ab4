//! How long roll-outs have run, by the steady clock of one member.
//!
//! The time of day of another member, or of this one before it has jumped, tells nothing
//! about durations. Each member therefore measures the time from when it first saw a
//! roll-out, so that it can go on with it when it becomes the leader. A member that has
//! restarted begins with what the leader has last told. It may then measure too short a
//! time, never too long a one.

use super::rollout::{Progress, Rollout};
use crate::prelude::*;
use std::collections::BTreeMap;

/// The time that a roll-out had run when this member noted it.
#[derive(Clone, Copy, Debug)]
struct Noted {
    ordered: u64,
    at: Mono,
    passed: Duration,
}

impl Noted {
    fn passed(&self, now: Mono) -> Duration {
        self.passed + now.since(self.at)
    }
}

/// Measures how long the latest roll-out of each service has run.
#[derive(Debug, Default)]
pub struct RolloutTimes {
    noted: BTreeMap<Name, Noted>,
}

impl RolloutTimes {
    /// Notes the roll-outs that are new, and those that have run longer by what a leader
    /// has told than by what this member has measured.
    pub fn observe(
        &mut self,
        rollouts: &BTreeMap<Name, Rollout>,
        progress: &BTreeMap<Name, Progress>,
        now: Mono,
    ) {
        self.noted
            .retain(|service, _| rollouts.contains_key(service));
        for (service, rollout) in rollouts {
            let ordered = rollout.ordered;
            let told = progress.get(service).filter(|p| p.ordered == ordered);
            let told = Duration::from_millis(told.map_or(0, |p| p.passed));
            let known = self.noted.get(service).filter(|n| n.ordered == ordered);
            if known.is_none_or(|known| known.passed(now) < told) {
                let noted = Noted {
                    ordered,
                    at: now,
                    passed: told,
                };
                self.noted.insert(Arc::clone(service), noted);
            }
        }
    }

    /// Returns the time since the order of a service's latest roll-out.
    #[must_use]
    pub fn passed(&self, service: &str, now: Mono) -> Option<Duration> {
        self.noted.get(service).map(|noted| noted.passed(now))
    }
}
