//! Entries that poll the leader, and the peers to which each entry sends messages about
//! the work that it has sent to backend servers.

use crate::prelude::*;
use std::{collections::BTreeMap, net::SocketAddr};

/// Time without a poll after which an entry is removed.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Greatest number of peers to which one entry sends messages.
const MAX_PEERS: usize = 64;

/// Latest poll of an entry.
#[derive(Debug)]
struct LastPoll {
    at: Mono,
    /// Address for messages of other entries, if the entry accepts them.
    exchange: Option<SocketAddr>,
}

/// Entries that have polled the leader within the last 5 s.
#[derive(Debug, Default)]
pub struct Entries(BTreeMap<Name, LastPoll>);

impl Entries {
    /// Records a poll, and removes the entries that have stopped polling.
    pub fn record_poll(&mut self, name: &Name, exchange: Option<SocketAddr>, now: Mono) {
        let poll = LastPoll { at: now, exchange };
        self.0.insert(Arc::clone(name), poll);
        self.0.retain(|_, poll| now.since(poll.at) < POLL_TIMEOUT);
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.0.len()).unwrap_or(u32::MAX)
    }

    /// Returns the addresses to which an entry sends messages: those of the entries that
    /// follow it in the order of names, which continues with the first name after the
    /// last. Thus each entry also receives messages from equally many.
    #[must_use]
    pub fn peers_of(&self, name: &Name) -> Vec<SocketAddr> {
        let after = self.0.iter().filter(|(other, _)| *other > name);
        let before = self.0.iter().filter(|(other, _)| *other < name);
        let others = after.chain(before).filter_map(|(_, poll)| poll.exchange);
        others.take(MAX_PEERS).collect()
    }
}
