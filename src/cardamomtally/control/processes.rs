//! The processes that poll this member, and the configuration that each holds.

use super::view::{ProcessView, SyncState};
use crate::{
    core::{
        clock::Mono,
        digest::Digest,
        id::{Incarnation, Index, Name},
        map::FastMap,
    },
    net::wire::{Identity, Poll},
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Time after its last poll for which a process is remembered; it is then removed
/// from the status.
const RETENTION: Duration = Duration::from_hours(1);

/// Maximum number of remembered processes, which bounds memory. At the limit, the
/// process that polled least recently is removed for a new one.
const MAX_PROCESSES: usize = 20_000;

#[derive(Clone, Debug)]
struct Process {
    identity: Identity,
    holds: Index,
    digest: Digest,
    last_poll: Mono,
}

/// The processes that have polled this member, by run.
#[derive(Debug, Default)]
pub struct Processes {
    known: FastMap<Incarnation, Process>,
}

impl Processes {
    /// Records a poll. Returns whether the identity of the process is known, from
    /// this poll or an earlier one; otherwise the process must send it again.
    pub fn record_poll(&mut self, poll: &Poll, now: Mono) -> bool {
        if let Some(identity) = &poll.identity {
            self.evict(now);
            self.known.insert(
                poll.incarnation,
                Process {
                    identity: identity.clone(),
                    holds: poll.holds,
                    digest: poll.digest,
                    last_poll: now,
                },
            );
            return true;
        }
        let Some(process) = self.known.get_mut(&poll.incarnation) else {
            return false;
        };
        process.holds = poll.holds;
        process.digest = poll.digest;
        process.last_poll = now;
        true
    }

    /// Returns a view of each process, with its age at `now`.
    pub fn views(&self, now: Mono) -> Vec<ProcessView> {
        let view = |(incarnation, process): (&Incarnation, &Process)| ProcessView {
            name: Arc::clone(&process.identity.name),
            role: process.identity.role,
            centre: Arc::clone(&process.identity.centre),
            http: Arc::clone(&process.identity.http),
            incarnation: *incarnation,
            holds: process.holds,
            digest: process.digest,
            age_ms: now.since(process.last_poll).as_millis() as u64,
            sync: SyncState::default(),
        };
        self.known.iter().map(view).collect()
    }

    /// Removes processes whose retention is over, and one more if the limit is
    /// reached.
    fn evict(&mut self, now: Mono) {
        self.known.retain(|_, p| now.since(p.last_poll) < RETENTION);
        if self.known.len() >= MAX_PROCESSES {
            let oldest = self.known.iter().min_by_key(|(_, p)| p.last_poll);
            let oldest = oldest.map(|(incarnation, _)| *incarnation);
            oldest.and_then(|incarnation| self.known.remove(&incarnation));
        }
    }
}

/// Merges the processes that several members know. A name that occurs more than
/// once is represented by its most recent poll.
#[must_use]
pub fn merge(views: impl IntoIterator<Item = ProcessView>) -> Vec<ProcessView> {
    let mut merged = BTreeMap::<Name, ProcessView>::new();
    for view in views {
        let newer = merged
            .get(&view.name)
            .is_none_or(|held| view.age_ms < held.age_ms);
        if newer {
            merged.insert(Arc::clone(&view.name), view);
        }
    }
    merged.into_values().collect()
}
