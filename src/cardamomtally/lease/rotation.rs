//! Which member a process polls, as pure logic.
//!
//! A process keeps to one member, drawn at random, so that each member hears
//! from an equal share and knows who polls it. After a failure it draws another
//! one that has not failed lately; after a while it draws again in any case, so
//! that shares become equal again when a member has come back.

use crate::core::clock::Mono;
use rand::{Rng, seq::IteratorRandom as _};
use std::time::Duration;

/// How long a member that failed is passed over.
const AVOID_PERIOD: Duration = Duration::from_secs(5);

/// Shortest time that a process keeps to one member.
const MIN_TENURE: Duration = Duration::from_mins(1);

/// Longest time that a process keeps to one member.
const MAX_TENURE: Duration = Duration::from_mins(2);

/// The choice of one process among the members.
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
    /// Builds the choice and draws the first member.
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

    /// Returns the member to poll now, if there is one.
    pub fn current(&mut self, now: Mono, rng: &mut impl Rng) -> Option<String> {
        if now >= self.until {
            self.select(now, rng);
        }
        let member = self.members.get(self.current)?;
        Some(member.address.clone())
    }

    /// Draws another member after a failure of the current one.
    pub fn record_failure(&mut self, now: Mono, rng: &mut impl Rng) {
        if let Some(member) = self.members.get_mut(self.current) {
            member.avoid_until = now + AVOID_PERIOD;
        }
        self.select(now, rng);
    }

    fn select(&mut self, now: Mono, rng: &mut impl Rng) {
        let usable = |i: &usize| self.members[*i].avoid_until <= now;
        let selected = (0..self.members.len()).filter(usable).choose(rng);
        // With none left, the one that failed first is asked again.
        let oldest = || (0..self.members.len()).min_by_key(|i| self.members[*i].avoid_until);
        self.current = selected.or_else(oldest).unwrap_or_default();
        self.until = now + rng.random_range(MIN_TENURE..MAX_TENURE);
    }
}
