//! The attempts that wait: which of them starts next, and which are rejected.

use super::{Admission, Arrival, Effect, InjectedFault, Reason, SUSPECT_RUN_LIMIT, Waiting};
use crate::core::{clock::Mono, id::AttemptId};

impl Admission {
    /// Rejects the least urgent attempts until the queue is within its bound.
    pub(super) fn shed_excess(&mut self, newcomer: AttemptId) -> Vec<Effect> {
        let mut effects = Vec::new();
        let bound = self.settings.queue as usize;
        while self.queue.len() > bound && self.fault != InjectedFault::UnboundedQueue {
            let last = (0..self.queue.len()).max_by_key(|at| self.rank(*at));
            let Some(at) = last else { break };
            let attempt = self.queue.remove(at).arrival.attempt;
            let reason = if attempt == newcomer {
                Reason::QueueFull
            } else {
                Reason::Shed
            };
            effects.push(Effect::Reject(attempt, reason));
        }
        effects
    }

    pub(super) fn reject_expired(&mut self, now: Mono) -> Vec<Effect> {
        if self.fault == InjectedFault::StartExpired {
            return Vec::new();
        }
        let (expired, rest) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|waiting| now >= self.expiry(waiting));
        self.queue = rest;
        reject(expired, Reason::Expired)
    }

    pub(super) fn reject_all(&mut self, reason: Reason) -> Vec<Effect> {
        reject(std::mem::take(&mut self.queue), reason)
    }

    pub(super) fn expiry(&self, waiting: &Waiting) -> Mono {
        let longest = waiting.queued_at + self.settings.queue_timeout.0;
        longest.min(waiting.arrival.deadline)
    }

    /// Returns the queue position of the most urgent attempt that may start.
    pub(super) fn next_start(&self, now: Mono) -> Option<usize> {
        if self.report_needed.is_some() || self.running.len() as u32 >= self.limit(now) {
            return None;
        }
        (0..self.queue.len())
            .filter(|at| !self.queue[*at].arrival.suspect || self.may_run_suspect())
            .min_by_key(|at| self.rank(*at))
    }

    /// Returns the sort key of the attempt at a queue position; the lowest key is
    /// the most urgent.
    fn rank(&self, at: usize) -> (u8, Mono, Mono) {
        let waiting = &self.queue[at];
        let Arrival {
            priority, deadline, ..
        } = waiting.arrival;
        (priority, deadline, waiting.queued_at)
    }

    /// Returns whether a suspect attempt may start now.
    fn may_run_suspect(&self) -> bool {
        if self.fault == InjectedFault::ConcurrentSuspects {
            return true;
        }
        let alone = !self.running.iter().any(|r| r.suspect);
        alone && (self.running.len() as u32) < SUSPECT_RUN_LIMIT
    }
}

fn reject(waiting: Vec<Waiting>, reason: Reason) -> Vec<Effect> {
    waiting
        .into_iter()
        .map(|w| Effect::Reject(w.arrival.attempt, reason))
        .collect()
}
