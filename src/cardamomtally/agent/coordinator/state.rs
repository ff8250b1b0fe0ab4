//! State of the coordinator, and how it handles each message.

use super::{
    AdmitResult, CancelOutcome, CoordinatorHandle, CoordinatorParts, IncomingAttempt, Message,
    Rejection, StartGrant, View,
};
use crate::{
    agent::{
        admission::{self, Admission, Effect, LoadReport, Reason},
        answer::Answer,
        attempts::{self, AttemptTable, Refused, State},
        crashes::{CrashDetector, Observation},
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
const MAX_RECORDS: usize = 131_072;

/// How long the tombstone of an attempt that did not run is kept, in seconds.
const TOMBSTONE_SECS: u64 = 120;

/// Maximum total size of the answers of ended attempts that are kept for
/// resumption. Above it, answers are dropped in no particular order.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Maximum time, in milliseconds, that the thread sleeps without a message.
const MAX_SLEEP_MS: u64 = 100;

/// Number of consecutive load reports without an answer after which broken
/// attempts are treated as broken by a crash.
const MAX_MISSED_REPORTS: u32 = 3;

/// An attempt that waits or runs.
#[derive(Debug)]
struct ActiveAttempt {
    answer: Arc<Answer>,
    digest: Digest,
    repeatable: bool,
    suspect: bool,
    /// Reply to the waiting caller; taken when the attempt starts.
    reply: Option<oneshot::Sender<AdmitResult>>,
}

/// State that only the coordinator's thread accesses.
pub(super) struct Coordinator {
    parts: CoordinatorParts,
    view: Arc<ArcSwap<View>>,
    attempts: AttemptTable,
    admission: Admission,
    crashes: CrashDetector,
    active: FastMap<AttemptId, ActiveAttempt>,
    /// Answers of ended attempts, kept for resumption.
    finished: FastMap<AttemptId, Arc<Answer>>,
    /// Total size of the answers in `finished`.
    answer_bytes: u64,
    /// Callers that wait to learn whether a crash broke their attempt.
    crash_waiters: FastMap<AttemptId, oneshot::Sender<bool>>,
    /// When an attempt last broke, or ended with an error that a crash may have
    /// caused. A load report that was requested earlier does not show whether the
    /// backend server crashed.
    last_break: Mono,
    missed_reports: u32,
    versions: Option<Vec<String>>,
}

impl Coordinator {
    pub(super) fn new(parts: CoordinatorParts, handle: &CoordinatorHandle) -> Self {
        let limits = attempts::Limits {
            max_records: MAX_RECORDS,
            retention: parts.settings.records.keep.0,
            tombstone_retention: Duration::from_secs(TOMBSTONE_SECS),
        };
        let settings = parts.settings.admission.clone();
        Self {
            view: Arc::clone(&handle.view),
            attempts: AttemptTable::new(limits, attempts::InjectedFault::None),
            admission: Admission::new(settings, admission::InjectedFault::None),
            crashes: CrashDetector::new(&parts.settings.process.name),
            active: FastMap::default(),
            finished: FastMap::default(),
            answer_bytes: 0,
            crash_waiters: FastMap::default(),
            last_break: Mono::default(),
            missed_reports: 0,
            versions: None,
            parts,
        }
    }

    pub(super) fn run(&mut self, messages: &Receiver<Message>) {
        loop {
            match messages.recv_timeout(self.sleep_time()) {
                Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => {}
            }
            let now = self.now();
            let effects = self.admission.wake(now);
            self.apply_effects(effects);
            self.drop_expired(now);
            self.publish(now);
        }
    }

    fn now(&self) -> Mono {
        self.parts.clock.now()
    }

    fn sleep_time(&self) -> Duration {
        let longest = Duration::from_millis(MAX_SLEEP_MS);
        let now = self.now();
        self.admission
            .next_wake()
            .map_or(longest, |at| at.since(now).min(longest))
    }

    fn handle(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Admit(incoming, reply) => self.admit(incoming, reply, now),
            Message::Query(attempt, reply) => {
                let _caller_gone = reply.send(self.attempts.query(attempt, now));
            }
            Message::FindAnswer(attempt, reply) => {
                let _caller_gone = reply.send(self.find_answer(attempt));
            }
            Message::Cancel(attempt, reply) => {
                let _caller_gone = reply.send(self.cancel(attempt, now));
            }
            Message::FirstToken(attempt, delay) => {
                self.admission.on_first_token(attempt, delay, now);
            }
            Message::CheckCrash(attempt, reply) => self.await_crash_check(attempt, reply, now),
            Message::EarlyClose => self.admission.on_disconnect(now),
            Message::Disconnect(attempt, reply) => self.on_disconnect(attempt, reply, now),
            Message::End(attempt, outcome, state) => self.on_end(attempt, outcome, state, now),
            Message::Billed(attempt) => self.drop_answer(attempt),
            Message::Report(requested_at, load) => self.on_report(requested_at, load, now),
            Message::SetLeaving(leaving) => {
                let effects = self.admission.set_leaving(leaving);
                self.apply_effects(effects);
            }
            Message::Stop => {}
        }
    }

    fn admit(&mut self, incoming: IncomingAttempt, reply: oneshot::Sender<AdmitResult>, now: Mono) {
        let attempt = incoming.arrival.attempt;
        if let Err(refused) = self.attempts.register(attempt) {
            let _caller_gone = reply.send(Err(rejection(refused)));
            return;
        }
        let limit = self.parts.settings.records.answer_limit.0;
        self.active.insert(
            attempt,
            ActiveAttempt {
                answer: Arc::new(Answer::new(limit)),
                digest: incoming.digest,
                repeatable: incoming.repeatable,
                suspect: incoming.arrival.suspect,
                reply: Some(reply),
            },
        );
        let effects = self.admission.on_arrival(incoming.arrival, now);
        self.apply_effects(effects);
    }

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start(attempt) => self.start(attempt),
                Effect::Reject(attempt, reason) => self.reject(attempt, reason),
            }
        }
    }

    fn start(&mut self, attempt: AttemptId) {
        let Some(active) = self.active.get_mut(&attempt) else {
            return;
        };
        let Some(reply) = active.reply.take() else {
            return;
        };
        self.crashes.on_start(attempt, active.digest);
        let grant = StartGrant {
            answer: Arc::clone(&active.answer),
            epoch: self.admission.epoch(),
        };
        if reply.send(Ok(grant)).is_err() {
            // The request handler is gone, so nothing will be sent.
            let (outcome, state) = (admission::Outcome::Cancelled, State::NotRun);
            self.on_end(attempt, outcome, state, self.now());
        }
    }

    fn reject(&mut self, attempt: AttemptId, reason: Reason) {
        let now = self.now();
        if let Some(reply) = self.remove_waiting(attempt, now) {
            let _caller_gone = reply.send(Err(Rejection {
                reason: reason.to_string().into(),
                verdict: Verdict::NotRun,
                retry: true,
            }));
        }
        slog::debug!(self.parts.log, "admission: attempt rejected";
            "attempt" => %attempt, "reason" => %reason);
        metrics::counter!("cardamomtally_agent_rejections_total").increment(1);
    }

    /// Removes a waiting attempt, which did not run. If its request may not be
    /// repeated, the attempt leaves a tombstone, so that a delayed copy does not run.
    fn remove_waiting(
        &mut self,
        attempt: AttemptId,
        now: Mono,
    ) -> Option<oneshot::Sender<AdmitResult>> {
        let active = self.active.remove(&attempt)?;
        if active.repeatable {
            self.attempts.remove_unstarted(attempt);
        } else {
            self.attempts.finish(attempt, State::NotRun, now);
        }
        active.reply
    }

    fn find_answer(&self, attempt: AttemptId) -> Option<Arc<Answer>> {
        let active = self.active.get(&attempt).map(|active| &active.answer);
        active.or_else(|| self.finished.get(&attempt)).cloned()
    }

    fn cancel(&mut self, attempt: AttemptId, now: Mono) -> CancelOutcome {
        if self.admission.withdraw(attempt) {
            if let Some(reply) = self.remove_waiting(attempt, now) {
                let _caller_gone = reply.send(Err(Rejection {
                    reason: "the attempt was cancelled".into(),
                    verdict: Verdict::NotRun,
                    retry: false,
                }));
            }
            return CancelOutcome::Dequeued;
        }
        match self.active.get(&attempt) {
            Some(active) if active.repeatable => CancelOutcome::Running,
            Some(_) => CancelOutcome::Ignored,
            None => {
                // Leaves a tombstone, so that a copy that arrives later does not
                // run.
                self.attempts.query(attempt, now);
                CancelOutcome::Ignored
            }
        }
    }

    /// Leaves the outcome of a broken attempt open until a load report shows
    /// whether the backend server crashed.
    fn on_disconnect(&mut self, attempt: AttemptId, reply: oneshot::Sender<bool>, now: Mono) {
        self.admission.on_disconnect(now);
        self.await_crash_check(attempt, reply, now);
    }

    fn await_crash_check(&mut self, attempt: AttemptId, reply: oneshot::Sender<bool>, now: Mono) {
        self.crashes.on_disconnect(attempt);
        self.crash_waiters.insert(attempt, reply);
        self.last_break = now;
    }

    fn on_end(&mut self, attempt: AttemptId, outcome: admission::Outcome, state: State, now: Mono) {
        self.crashes.on_end(attempt);
        self.attempts.finish(attempt, state, now);
        if let Some(active) = self.active.remove(&attempt)
            && state == State::Ended
        {
            if active.suspect {
                self.parts.lease.report_cleared(active.digest);
            }
            self.answer_bytes += active.answer.buffered_bytes();
            self.finished.insert(attempt, active.answer);
        }
        let effects = self.admission.on_end(attempt, outcome, now);
        self.apply_effects(effects);
    }

    fn on_report(&mut self, requested_at: Mono, load: Result<EngineLoad, EngineError>, now: Mono) {
        let fresh = requested_at >= self.last_break;
        let (observation, effects) = match load {
            Ok(load) => {
                let report = LoadReport {
                    requested_at,
                    incarnation: load.incarnation,
                    cache_used: load.cache_used,
                };
                self.versions = Some(load.versions);
                let observation = Observation::Run(report.incarnation);
                (observation, self.admission.on_report(report, now))
            }
            Err(EngineError::NotSent(_)) => (Observation::Refused, self.admission.on_refused(now)),
            Err(_) => (Observation::NoAnswer, Vec::new()),
        };
        if fresh {
            self.check_for_crash(observation);
        }
        self.apply_effects(effects);
    }

    fn check_for_crash(&mut self, observation: Observation) {
        let outcome = self.crashes.evaluate(observation);
        if let Some(crash) = outcome.crash {
            slog::warn!(self.parts.log, "crashes: the backend server crashed";
                "in_flight" => crash.digests.len(), "run" => %crash.incarnation);
            metrics::counter!("cardamomtally_agent_crashes_total").increment(1);
            self.parts.lease.report_crash(crash);
        }
        for (attempt, crashed) in outcome.broken {
            if let Some(reply) = self.crash_waiters.remove(&attempt) {
                let _caller_gone = reply.send(crashed);
            }
        }
        if observation == Observation::NoAnswer {
            self.missed_reports += 1;
        } else {
            self.missed_reports = 0;
        }
        if observation != Observation::NoAnswer || self.missed_reports >= MAX_MISSED_REPORTS {
            // The attempts that still wait are treated as broken by a crash. Either
            // an earlier crash report has already named them as in flight, or the
            // backend server does not answer at all, which is as suspicious as a
            // crash.
            for (_, reply) in self.crash_waiters.drain() {
                let _caller_gone = reply.send(true);
            }
        }
    }

    fn drop_answer(&mut self, attempt: AttemptId) {
        if let Some(answer) = self.finished.remove(&attempt) {
            self.answer_bytes = self.answer_bytes.saturating_sub(answer.buffered_bytes());
            answer.discard();
            self.attempts.mark_answer_lost(attempt);
        }
    }

    fn drop_expired(&mut self, now: Mono) {
        for attempt in self.attempts.remove_expired(now) {
            self.drop_answer(attempt);
        }
        while self.answer_bytes > MAX_ANSWER_BYTES {
            let Some(attempt) = self.finished.keys().next().copied() else {
                self.answer_bytes = 0;
                return;
            };
            self.drop_answer(attempt);
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

fn rejection(refused: Refused) -> Rejection {
    let (reason, verdict) = match refused {
        Refused::Recorded(State::NotRun) => ("the attempt was rejected before", Verdict::NotRun),
        Refused::Recorded(_) => ("a copy of the attempt arrived before", Verdict::Unknown),
        Refused::TableFull => ("the agent keeps too many attempt records", Verdict::NotRun),
    };
    Rejection {
        reason: reason.into(),
        verdict,
        retry: refused == Refused::TableFull,
    }
}
