//! State of the coordinator, and how it handles each message.

use super::{Admitted, Cancelled, Desk, DeskParts, Go, Incoming, Message, Rejection, View};
use crate::{
    agent::{
        admission::{self, Admission, Effect, Reading, Reason},
        answer::Answer,
        attempts::{self, Attempts, Refused, State},
        crashes::{Crashes, Seen},
    },
    core::{
        clock::Mono,
        digest::Digest,
        engine::{EngineError, EngineLoad},
        id::AttemptId,
        map::FastMap,
        verdict::Verdict,
    },
};
use arc_swap::ArcSwap;
use std::{
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError},
    },
    time::Duration,
};
use tokio::sync::oneshot;

/// Maximum number of attempt records, including tombstones.
const RECORD_LIMIT: usize = 131_072;

/// How long the tombstone of an attempt that did not run is kept, in seconds.
const BURY_SECS: u64 = 120;

/// Maximum total size of the answers of ended attempts that are kept for
/// resumption. Above it, answers are dropped in no particular order.
const KEPT_LIMIT_BYTES: u64 = 64 << 20;

/// Maximum time, in milliseconds, that the thread sleeps without a message.
const IDLE_MS: u64 = 100;

/// Number of consecutive load reports without an answer after which broken
/// attempts are treated as broken by a crash.
const SILENT_LIMIT: u32 = 3;

/// An attempt that waits or runs.
#[derive(Debug)]
struct Live {
    answer: Arc<Answer>,
    digest: Digest,
    repeatable: bool,
    suspect: bool,
    /// Reply to the waiting caller; taken when the attempt starts.
    reply: Option<oneshot::Sender<Admitted>>,
}

/// State that only the coordinator's thread accesses.
pub(super) struct Owner {
    parts: DeskParts,
    view: Arc<ArcSwap<View>>,
    attempts: Attempts,
    admission: Admission,
    crashes: Crashes,
    live: FastMap<AttemptId, Live>,
    ended: FastMap<AttemptId, Arc<Answer>>,
    kept_bytes: u64,
    broken: FastMap<AttemptId, oneshot::Sender<bool>>,
    broken_at: Mono,
    silent: u32,
    versions: Option<Vec<String>>,
}

impl Owner {
    pub(super) fn new(parts: DeskParts, desk: &Desk) -> Self {
        let limits = attempts::Limits {
            count: RECORD_LIMIT,
            keep: parts.settings.records.keep.0,
            bury: Duration::from_secs(BURY_SECS),
        };
        let settings = parts.settings.admission.clone();
        Self {
            view: Arc::clone(&desk.view),
            attempts: Attempts::new(limits, attempts::Breach::None),
            admission: Admission::new(settings, admission::Breach::None),
            crashes: Crashes::new(&parts.settings.process.name),
            live: FastMap::default(),
            ended: FastMap::default(),
            kept_bytes: 0,
            broken: FastMap::default(),
            broken_at: Mono::default(),
            silent: 0,
            versions: None,
            parts,
        }
    }

    pub(super) fn run(&mut self, messages: &Receiver<Message>) {
        loop {
            match messages.recv_timeout(self.sleep()) {
                Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => {}
            }
            let now = self.now();
            let effects = self.admission.wake(now);
            self.carry_out(effects);
            self.purge(now);
            self.publish(now);
        }
    }

    fn now(&self) -> Mono {
        self.parts.clock.now()
    }

    fn sleep(&self) -> Duration {
        let longest = Duration::from_millis(IDLE_MS);
        let now = self.now();
        self.admission
            .next_wake()
            .map_or(longest, |at| at.since(now).min(longest))
    }

    fn handle(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Arrive(incoming, reply) => self.arrive(incoming, reply, now),
            Message::Ask(attempt, reply) => {
                let _gone = reply.send(self.attempts.ask(attempt, now));
            }
            Message::Find(attempt, reply) => {
                let _gone = reply.send(self.find(attempt));
            }
            Message::Cancel(attempt, reply) => {
                let _gone = reply.send(self.cancel(attempt, now));
            }
            Message::FirstToken(attempt, delay) => {
                self.admission.first_token(attempt, delay, now);
            }
            Message::Doubt(attempt, reply) => self.doubt(attempt, reply, now),
            Message::Cut => self.admission.broke(now),
            Message::Broke(attempt, reply) => self.broke(attempt, reply, now),
            Message::Ended(attempt, outcome, state) => self.end(attempt, outcome, state, now),
            Message::Billed(attempt) => self.forget_answer(attempt),
            Message::Read(sent, load) => self.read(sent, load, now),
            Message::Leaving(leaving) => {
                let effects = self.admission.set_leaving(leaving);
                self.carry_out(effects);
            }
            Message::Stop => {}
        }
    }

    fn arrive(&mut self, incoming: Incoming, reply: oneshot::Sender<Admitted>, now: Mono) {
        let attempt = incoming.arrival.attempt;
        if let Err(refused) = self.attempts.arrive(attempt) {
            let _gone = reply.send(Err(refuse(refused)));
            return;
        }
        let limit = self.parts.settings.records.answer_limit.0;
        self.live.insert(
            attempt,
            Live {
                answer: Arc::new(Answer::new(limit)),
                digest: incoming.digest,
                repeatable: incoming.repeatable,
                suspect: incoming.arrival.suspect,
                reply: Some(reply),
            },
        );
        let effects = self.admission.arrive(incoming.arrival, now);
        self.carry_out(effects);
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start(attempt) => self.start(attempt),
                Effect::Reject(attempt, reason) => self.reject(attempt, reason),
            }
        }
    }

    fn start(&mut self, attempt: AttemptId) {
        let Some(live) = self.live.get_mut(&attempt) else {
            return;
        };
        let Some(reply) = live.reply.take() else {
            return;
        };
        self.crashes.start(attempt, live.digest);
        let go = Go {
            answer: Arc::clone(&live.answer),
            epoch: self.admission.epoch(),
        };
        if reply.send(Ok(go)).is_err() {
            // The request handler is gone, so nothing will be sent.
            let (outcome, state) = (admission::Outcome::Cancelled, State::NotRun);
            self.end(attempt, outcome, state, self.now());
        }
    }

    fn reject(&mut self, attempt: AttemptId, reason: Reason) {
        let now = self.now();
        if let Some(reply) = self.drop_waiting(attempt, now) {
            let _gone = reply.send(Err(Rejection {
                reason: reason.to_string().into(),
                verdict: Verdict::NotRun,
                retry: true,
            }));
        }
        slog::debug!(self.parts.log, "admission: attempt rejected";
            "attempt" => %attempt, "reason" => %reason);
        metrics::counter!("cardamomtally_agent_rejections_total").increment(1);
    }

    /// Removes a waiting attempt, which did not run. If it may not be repeated,
    /// it leaves a tombstone, so that a delayed copy does not run.
    fn drop_waiting(&mut self, attempt: AttemptId, now: Mono) -> Option<oneshot::Sender<Admitted>> {
        let live = self.live.remove(&attempt)?;
        if live.repeatable {
            self.attempts.forget(attempt);
        } else {
            self.attempts.end(attempt, State::NotRun, now);
        }
        live.reply
    }

    fn find(&self, attempt: AttemptId) -> Option<Arc<Answer>> {
        let live = self.live.get(&attempt).map(|live| &live.answer);
        live.or_else(|| self.ended.get(&attempt)).cloned()
    }

    fn cancel(&mut self, attempt: AttemptId, now: Mono) -> Cancelled {
        if self.admission.withdraw(attempt) {
            if let Some(reply) = self.drop_waiting(attempt, now) {
                let _gone = reply.send(Err(Rejection {
                    reason: "the attempt was cancelled".into(),
                    verdict: Verdict::NotRun,
                    retry: false,
                }));
            }
            return Cancelled::Waiting;
        }
        match self.live.get(&attempt) {
            Some(live) if live.repeatable => Cancelled::Running,
            Some(_) => Cancelled::Nothing,
            None => {
                // Leaves a tombstone, so that a copy that arrives later does not
                // run.
                self.attempts.ask(attempt, now);
                Cancelled::Nothing
            }
        }
    }

    /// Leaves the outcome of a broken attempt open until a load report shows
    /// whether the backend server crashed.
    fn broke(&mut self, attempt: AttemptId, reply: oneshot::Sender<bool>, now: Mono) {
        self.admission.broke(now);
        self.doubt(attempt, reply, now);
    }

    fn doubt(&mut self, attempt: AttemptId, reply: oneshot::Sender<bool>, now: Mono) {
        self.crashes.broke(attempt);
        self.broken.insert(attempt, reply);
        self.broken_at = now;
    }

    fn end(&mut self, attempt: AttemptId, outcome: admission::Outcome, state: State, now: Mono) {
        self.crashes.end(attempt);
        self.attempts.end(attempt, state, now);
        if let Some(live) = self.live.remove(&attempt)
            && state == State::Ended
        {
            if live.suspect {
                self.parts.lease.cleared(live.digest);
            }
            self.kept_bytes += live.answer.kept();
            self.ended.insert(attempt, live.answer);
        }
        let effects = self.admission.end(attempt, outcome, now);
        self.carry_out(effects);
    }

    fn read(&mut self, sent: Mono, load: Result<EngineLoad, EngineError>, now: Mono) {
        let fresh = sent >= self.broken_at;
        let (seen, effects) = match load {
            Ok(load) => {
                let reading = Reading {
                    sent,
                    incarnation: load.incarnation,
                    cache_used: load.cache_used,
                };
                self.versions = Some(load.versions);
                let seen = Seen::Run(reading.incarnation);
                (seen, self.admission.read(reading, now))
            }
            Err(EngineError::NotSent(_)) => (Seen::Refused, self.admission.refused(now)),
            Err(_) => (Seen::Silent, Vec::new()),
        };
        if fresh {
            self.judge(seen);
        }
        self.carry_out(effects);
    }

    fn judge(&mut self, seen: Seen) {
        let outcome = self.crashes.judge(seen);
        if let Some(crash) = outcome.crash {
            slog::warn!(self.parts.log, "crashes: the backend server crashed";
                "in_flight" => crash.digests.len(), "run" => %crash.incarnation);
            metrics::counter!("cardamomtally_agent_crashes_total").increment(1);
            self.parts.lease.crash(crash);
        }
        for (attempt, crashed) in outcome.broken {
            if let Some(reply) = self.broken.remove(&attempt) {
                let _gone = reply.send(crashed);
            }
        }
        if seen == Seen::Silent {
            self.silent += 1;
        } else {
            self.silent = 0;
        }
        if seen != Seen::Silent || self.silent >= SILENT_LIMIT {
            // An attempt whose outcome is still open was either already reported
            // as in flight at a crash, or the backend server does not answer at
            // all, which is as suspicious as a crash.
            for (_, reply) in self.broken.drain() {
                let _gone = reply.send(true);
            }
        }
    }

    fn forget_answer(&mut self, attempt: AttemptId) {
        if let Some(answer) = self.ended.remove(&attempt) {
            self.kept_bytes = self.kept_bytes.saturating_sub(answer.kept());
            answer.discard();
            self.attempts.forget_answer(attempt);
        }
    }

    fn purge(&mut self, now: Mono) {
        for attempt in self.attempts.purge(now) {
            self.forget_answer(attempt);
        }
        while self.kept_bytes > KEPT_LIMIT_BYTES {
            let Some(attempt) = self.ended.keys().next().copied() else {
                self.kept_bytes = 0;
                return;
            };
            self.forget_answer(attempt);
        }
    }

    fn publish(&self, now: Mono) {
        let load = self.admission.load(now);
        metrics::gauge!("cardamomtally_agent_running_attempts").set(load.running);
        metrics::gauge!("cardamomtally_agent_limit_attempts").set(load.limit);
        self.view.store(Arc::new(View {
            load,
            versions: self.versions.clone(),
            incarnation: self.admission.incarnation(),
            epoch: self.admission.epoch(),
        }));
    }
}

fn refuse(refused: Refused) -> Rejection {
    let (reason, verdict) = match refused {
        Refused::Seen(State::NotRun) => ("the attempt was rejected before", Verdict::NotRun),
        Refused::Seen(_) => ("a copy of the attempt arrived before", Verdict::Unknown),
        Refused::Full => ("the agent keeps too many attempt records", Verdict::NotRun),
    };
    Rejection {
        reason: reason.into(),
        verdict,
        retry: refused == Refused::Full,
    }
}
