//! Quorum rounds that answer polls.
//!
//! A poll must be answered from a state that a quorum confirmed after the poll
//! arrived. One confirmation per poll would be too expensive with many
//! processes, so polls are queued for the next round. A round takes all pending
//! polls, confirms the log with a quorum once, and answers them from the state
//! that is applied then.

use super::{
    machine::{ConfigView, Store},
    processes::Processes,
    view::ProcessView,
};
use crate::{
    core::{clock::Clock, digest::Digest, id::GroupId, log::Log},
    net::{
        nng::Call,
        wire::{Poll, PollReply, Response, Update},
    },
    settings::control::LeaseSettings,
    timeline::Recorder,
};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::Notify;

/// Maximum number of polls that are pending for a round, which bounds memory.
/// Further polls are refused.
const MAX_PENDING_POLLS: usize = 20_000;

/// A poll that is pending for the next round.
#[derive(Debug)]
struct PendingPoll {
    call: Call,
    /// Digest of the configuration that the process holds.
    digest: Digest,
    /// Whether this member knows the identity of the process.
    known: bool,
}

/// Answers polls in quorum rounds.
#[derive(Debug)]
pub struct Rounds {
    settings: LeaseSettings,
    log: Arc<dyn Log>,
    store: Arc<Store>,
    clock: Arc<dyn Clock>,
    events: Arc<Recorder>,
    processes: Mutex<Processes>,
    pending: Mutex<Vec<PendingPoll>>,
    wake: Notify,
}

impl Rounds {
    /// Builds the rounds of a member, without pending polls.
    #[must_use]
    pub fn new(
        settings: LeaseSettings,
        log: Arc<dyn Log>,
        store: Arc<Store>,
        clock: Arc<dyn Clock>,
        events: Arc<Recorder>,
    ) -> Self {
        Self {
            settings,
            log,
            store,
            clock,
            events,
            processes: Mutex::default(),
            pending: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// Queues a poll for the next round, and records the process that sent it.
    pub fn enqueue(&self, poll: &Poll, call: Call) {
        let known = lock(&self.processes).record_poll(poll, self.clock.now());
        let mut pending = lock(&self.pending);
        if pending.len() >= MAX_PENDING_POLLS {
            drop(pending);
            refuse(call, "too many polls wait for a quorum round");
            return;
        }
        pending.push(PendingPoll {
            call,
            digest: poll.digest,
            known,
        });
        drop(pending);
        self.wake.notify_one();
    }

    /// Returns the processes that have polled this member.
    pub fn processes(&self) -> Vec<ProcessView> {
        lock(&self.processes).views(self.clock.now())
    }

    /// Runs rounds until the runtime stops. A round starts `lease.round` after the
    /// first pending poll, so that more polls can join it.
    pub async fn run(&self) {
        loop {
            self.wake.notified().await;
            tokio::time::sleep(self.settings.round.0).await;
            let polls = std::mem::take(&mut *lock(&self.pending));
            if !polls.is_empty() {
                self.round(polls).await;
            }
        }
    }

    async fn round(&self, polls: Vec<PendingPoll>) {
        metrics::histogram!("cardamomtally_control_round_polls").record(polls.len() as f64);
        let start = self.clock.now();
        // A lease is counted from the time when the process sent its poll, so an
        // answer that comes after the lease's length grants nothing. A round that
        // takes longer than half of that length is abandoned and its polls are
        // refused.
        let limit = self.settings.length.0 / 2;
        let confirmed = tokio::time::timeout(limit, self.log.barrier(GroupId::CONFIG)).await;
        match confirmed {
            Ok(Ok(_index)) => {}
            Ok(Err(error)) => return refuse_all(polls, &error.to_string()),
            Err(_elapsed) => return refuse_all(polls, "no quorum confirmed the log in time"),
        }
        let elapsed = self.clock.now().since(start);
        metrics::histogram!("cardamomtally_control_round_seconds").record(elapsed.as_secs_f64());
        let view = self.store.view();
        for poll in polls {
            let reply = self.reply(&view, poll.digest, poll.known);
            poll.call.answer(&Response::Poll(Box::new(reply)));
        }
    }

    fn reply(&self, view: &ConfigView, digest: Digest, known: bool) -> PollReply {
        let update = update(view, digest);
        let same = update.is_same();
        PollReply {
            index: view.config.index,
            lease: self.lease(),
            update,
            digest: (!same).then_some(view.digest),
            unknown: !known,
            stamp: (!same).then(|| self.events.stamp()),
        }
    }

    const fn lease(&self) -> Duration {
        self.settings.length.0
    }
}

/// Returns the update for a process that holds the configuration with the given
/// digest: nothing, a delta, or the whole configuration.
#[must_use]
pub fn update(view: &ConfigView, digest: Digest) -> Update {
    if digest == view.digest {
        return Update::Same;
    }
    match view.delta_from(digest) {
        Some(patch) => Update::Delta(serde_bytes::ByteBuf::from(patch)),
        None => Update::Whole(Arc::clone(&view.config)),
    }
}

fn refuse_all(polls: Vec<PendingPoll>, reason: &str) {
    for poll in polls {
        refuse(poll.call, reason);
    }
}

fn refuse(call: Call, reason: &str) {
    call.answer(&Response::Unavailable {
        reason: reason.to_owned(),
        refused: true,
    });
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
