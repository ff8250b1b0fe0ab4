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
    /// Whether the entry keeps an account of capacity with the others.
    account: bool,
}

/// Time from the first poll at a leader after which all entries have polled it.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Entries that have polled the leader within the last 5 s.
#[derive(Debug, Default)]
pub struct Entries {
    polls: BTreeMap<Name, LastPoll>,
    /// Time of the first poll at this leader.
    begun: Option<Mono>,
}

impl Entries {
    /// Records a poll, and removes the entries that have stopped polling.
    pub fn record_poll(&mut self, name: &Name, exchange: Option<SocketAddr>, now: Mono) {
        let poll = LastPoll {
            at: now,
            exchange,
            account: false,
        };
        self.polls.insert(Arc::clone(name), poll);
        self.polls
            .retain(|_, poll| now.since(poll.at) < POLL_TIMEOUT);
        self.begun.get_or_insert(now);
    }

    /// Records that the entry whose poll was recorded last keeps an account of capacity.
    pub fn record_account(&mut self, name: &Name) {
        if let Some(poll) = self.polls.get_mut(name) {
            poll.account = poll.exchange.is_some();
        }
    }

    /// Returns the addresses of all entries that keep an account of capacity, in the order of
    /// their names, and the place of one of them in this list. Returns none while not all
    /// entries are known, since sums travel along trees that depend on the whole list.
    #[must_use]
    pub fn account_members(&self, name: &Name, now: Mono) -> Option<(Vec<SocketAddr>, u32)> {
        let members = self.polls.iter().filter(|(_, poll)| poll.account);
        let place = members.clone().position(|(member, _)| member == name)?;
        let addresses = members.filter_map(|(_, poll)| poll.exchange).collect();
        let place = u32::try_from(place).ok()?;
        (self.count(now) > 0).then_some((addresses, place))
    }

    /// Returns the number of entries, or 0 while it is not known, since this leader has
    /// not been polled by all of them yet. Entries divide common bounds by it, so that
    /// each would take too much if it were too low.
    #[must_use]
    pub fn count(&self, now: Mono) -> u32 {
        let settled = self.begun.is_some_and(|at| now.since(at) >= SETTLE_TIME);
        let count = u32::try_from(self.polls.len()).unwrap_or(u32::MAX);
        if settled { count } else { 0 }
    }

    /// Returns the place of an entry among all, in the order of their names, or none while
    /// their number is not known.
    #[must_use]
    pub fn place_of(&self, name: &Name, now: Mono) -> Option<u32> {
        let before = self.polls.range::<Name, _>(..name).count();
        (self.count(now) > 0).then(|| u32::try_from(before).unwrap_or(u32::MAX))
    }

    /// Returns the addresses to which an entry sends messages: those of the entries that
    /// follow it in the order of names, which continues with the first name after the
    /// last. Thus each entry also receives messages from equally many.
    #[must_use]
    pub fn peers_of(&self, name: &Name) -> Vec<SocketAddr> {
        let after = self.polls.iter().filter(|(other, _)| *other > name);
        let before = self.polls.iter().filter(|(other, _)| *other < name);
        let others = after.chain(before).filter_map(|(_, poll)| poll.exchange);
        others.take(MAX_PEERS).collect()
    }
}
