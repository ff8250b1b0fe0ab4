//! Selection of the control member that a process polls. The code does no I/O.
//!
//! A process polls the same member for one to two minutes and selects it at random,
//! so that each member serves an equal share of the processes and knows which ones
//! poll it. When a poll fails, the process selects another member that has not
//! failed recently. When the time is up, the process selects again in any case, so
//! that the shares become equal again after a member has recovered.

use crate::core::clock::Mono;
use rand::{Rng, seq::IteratorRandom as _};
use std::time::Duration;

/// Time for which a member is not selected after a failed poll.
const AVOID_PERIOD: Duration = Duration::from_secs(5);

/// Shortest time for which a process polls the same member, unless a poll fails.
const MIN_TENURE: Duration = Duration::from_mins(1);

/// Longest time for which a process polls the same member.
const MAX_TENURE: Duration = Duration::from_mins(2);

/// Selects the member that a process polls.
#[derive(Clone, Debug)]
pub struct Rotation {
    members: Vec<Member>,
    current: usize,
    until: Mono,
}

#[derive(Clone, Debug)]
struct Member {
    address: String,
    avoid_until: Mono,
}

impl Rotation {
    /// Builds the rotation over these member addresses and selects the first member.
    #[must_use]
    pub fn new(addresses: &[String], now: Mono, rng: &mut impl Rng) -> Self {
        let member = |address: &String| Member {
            address: address.clone(),
            avoid_until: Mono::default(),
        };
        let mut rotation = Self {
            members: addresses.iter().map(member).collect(),
            current: 0,
            until: Mono::default(),
        };
        rotation.select(now, rng);
        rotation
    }

    /// Returns the address of the member to poll now, or none if there are no members.
    pub fn current(&mut self, now: Mono, rng: &mut impl Rng) -> Option<String> {
        if now >= self.until {
            self.select(now, rng);
        }
        let member = self.members.get(self.current)?;
        Some(member.address.clone())
    }

    /// Records that a poll of the current member has failed, and selects another
    /// member.
    pub fn record_failure(&mut self, now: Mono, rng: &mut impl Rng) {
        if let Some(member) = self.members.get_mut(self.current) {
            member.avoid_until = now + AVOID_PERIOD;
        }
        self.select(now, rng);
    }

    fn select(&mut self, now: Mono, rng: &mut impl Rng) {
        let usable = |i: &usize| self.members[*i].avoid_until <= now;
        let selected = (0..self.members.len()).filter(usable).choose(rng);
        // If all members have failed recently, the one whose failure is the longest ago
        // is selected.
        let oldest = || (0..self.members.len()).min_by_key(|i| self.members[*i].avoid_until);
        self.current = selected.or_else(oldest).unwrap_or_default();
        self.until = now + rng.random_range(MIN_TENURE..MAX_TENURE);
    }
}
