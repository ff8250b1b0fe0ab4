//! Entries that poll the leader, and which of them tell each other of their work.

use crate::prelude::*;
use std::{collections::BTreeMap, net::SocketAddr};

/// Time after which an entry that does not poll is not counted any more.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);
/// Other entries that one entry tells at most.

const MAX_PEERS: usize = 64;

#[derive(Debug)]
struct LastPoll {
    at: Mono,
    exchange: Option<SocketAddr>,
}

/// Entries that poll the leader.
#[derive(Debug, Default)]
pub struct Entries(BTreeMap<Name, LastPoll>);

impl Entries {
    /// Notes a poll, and forgets entries that have been silent.
    pub fn record_poll(&mut self, name: &Name, exchange: Option<SocketAddr>, now: Mono) {
        let poll = LastPoll { at: now, exchange };
        self.0.insert(Arc::clone(name), poll);
        self.0.retain(|_, poll| now.since(poll.at) < POLL_TIMEOUT);
    }

    /// Returns how many there are.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.0.len()).unwrap_or(u32::MAX)
    }

    /// Returns where the entries that follow one by name take messages.
    #[must_use]
    pub fn peers_of(&self, name: &Name) -> Vec<SocketAddr> {
        let after = self.0.iter().filter(|(other, _)| *other > name);
        let before = self.0.iter().filter(|(other, _)| *other < name);
        let others = after.chain(before).filter_map(|(_, poll)| poll.exchange);
        others.take(MAX_PEERS).collect()
    }
}
