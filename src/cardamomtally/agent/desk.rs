//! The control thread of an agent.
//!
//! One thread owns the attempt records ([`super::attempts`]), admission
//! ([`super::admission`]) and the crash watch ([`super::crashes`]). Traffic
//! tasks send it messages and wait for its answers; it publishes the load as an
//! immutable snapshot.

use super::{
    admission::{self, Admission, Arrival, Effect, Reading, Reason},
    answer::Answer,
    attempts::{self, Attempts, Refused, State},
    crashes::{Crashes, Seen},
};
use crate::{
    core::{
        clock::{Clock, Mono},
        digest::Digest,
        engine::{EngineError, EngineLoad},
        id::{AttemptId, Name},
        map::FastMap,
        verdict::Verdict,
    },
    lease::Lease,
    net::run::{Asked, Load},
    settings::AgentSettings,
};
use arc_swap::ArcSwap;
use std::{
    fmt,
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    },
    time::Duration,
};
use tokio::sync::{Notify, oneshot};

/// Most attempt records.
const RECORD_LIMIT: usize = 131_072;

/// How long the tombstone of an attempt that did not run is kept.
const BURY_SECS: u64 = 120;

/// Most bytes of ended answers kept for resumption.
const KEPT_LIMIT_BYTES: u64 = 64 << 20;

/// Longest sleep of the thread.
const IDLE_MS: u64 = 100;

/// Silent readings after which broken attempts are no longer held.
const SILENT_LIMIT: u32 = 3;

/// Why an attempt is rejected. It has not run and will not.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// What happened.
    pub reason: Name,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// Whether a later try may succeed.
    pub retry: bool,
}

/// An attempt may be sent to the backend server.
#[derive(Clone, Debug)]
pub struct Go {
    /// Where its answer goes.
    pub answer: Arc<Answer>,
    /// The epoch of admission; in a later one it must not be sent any more.
    pub epoch: u64,
}

/// Answer to an attempt that arrives.
pub type Admitted = Result<Go, Rejection>;

/// An attempt that arrives.
#[derive(Clone, Copy, Debug)]
pub struct Incoming {
    /// What admission needs.
    pub arrival: Arrival,
    /// Digest of the request.
    pub digest: Digest,
    /// Whether it may be repeated.
    pub repeatable: bool,
}

/// What is done with a cancel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cancelled {
    /// It waited and was taken out: it did not run.
    Waiting,
    /// It runs, and the backend server is to be told.
    Running,
    /// It runs and may not be cancelled, or it is not known.
    Nothing,
}

/// A message to the control thread.
#[derive(Debug)]
enum Message {
    Arrive(Incoming, oneshot::Sender<Admitted>),
    Ask(AttemptId, oneshot::Sender<Asked>),
    Find(AttemptId, oneshot::Sender<Option<Arc<Answer>>>),
    Cancel(AttemptId, oneshot::Sender<Cancelled>),
    FirstToken(AttemptId, Duration),
    Cut,
    Doubt(AttemptId, oneshot::Sender<bool>),
    Broke(AttemptId, oneshot::Sender<bool>),
    Ended(AttemptId, admission::Outcome, State),
    Billed(AttemptId),
    Read(Mono, Result<EngineLoad, EngineError>),
    Leaving(bool),
    Stop,
}

/// The state that the control thread publishes.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The load.
    pub load: Load,
    /// Versions whose weights are loaded, once the engine has been read.
    pub versions: Option<Vec<String>>,
    /// The engine's run.
    pub incarnation: Option<u64>,
    /// The epoch of admission.
    pub epoch: u64,
}

/// A handle to the control thread.
#[derive(Clone, Debug)]
pub struct Desk {
    queue: Sender<Message>,
    view: Arc<ArcSwap<View>>,
    /// Asks for a reading of the backend server at once.
    pub read_now: Arc<Notify>,
}

/// What the control thread works with.
pub struct DeskParts {
    /// Settings.
    pub settings: AgentSettings,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Where crashes are reported.
    pub lease: Arc<dyn Lease>,
    /// The log.
    pub log: slog::Logger,
}

impl fmt::Debug for DeskParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DeskParts").finish_non_exhaustive()
    }
}

impl Desk {
    /// Starts the control thread. It ends with the last handle or at a stop.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot start.
    pub fn start(parts: DeskParts) -> eyre::Result<Self> {
        let (queue, messages) = channel();
        let desk = Self {
            queue,
            view: Arc::default(),
            read_now: Arc::default(),
        };
        let mut owner = Owner::new(parts, &desk);
        std::thread::Builder::new()
            .name("agent control".to_owned())
            .spawn(move || owner.run(&messages))?;
        Ok(desk)
    }

    /// Returns what the control thread published last.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Records an attempt and waits until it may start.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub async fn arrive(&self, incoming: Incoming) -> Admitted {
        self.call(|reply| Message::Arrive(incoming, reply))
            .await
            .unwrap_or_else(|| {
                Err(Rejection {
                    reason: "the agent is stopping".into(),
                    verdict: Verdict::NotRun,
                    retry: true,
                })
            })
    }

    /// Answers a question about an attempt.
    pub async fn ask(&self, attempt: AttemptId) -> Asked {
        self.call(|reply| Message::Ask(attempt, reply))
            .await
            .unwrap_or(Asked::Unknown)
    }

    /// Finds an attempt's answer.
    pub async fn find(&self, attempt: AttemptId) -> Option<Arc<Answer>> {
        self.call(|reply| Message::Find(attempt, reply))
            .await
            .flatten()
    }

    /// Cancels an attempt as far as it may be cancelled.
    pub async fn cancel(&self, attempt: AttemptId) -> Cancelled {
        self.call(|reply| Message::Cancel(attempt, reply))
            .await
            .unwrap_or(Cancelled::Nothing)
    }

    /// Notes an attempt's time to first token.
    pub fn first_token(&self, attempt: AttemptId, delay: Duration) {
        self.send(Message::FirstToken(attempt, delay));
    }

    /// Notes that a connection to the backend server broke or ended early, which
    /// may be the first sign of a cold turn. Nothing starts until a reading.
    pub fn cut(&self) {
        self.send(Message::Cut);
        self.read_now.notify_one();
    }

    /// Notes that an attempt's connection broke, and tells whether the backend
    /// server crashed.
    pub async fn broke(&self, attempt: AttemptId) -> bool {
        self.read_now.notify_one();
        self.call(|reply| Message::Broke(attempt, reply))
            .await
            .unwrap_or(false)
    }

    /// Tells whether the backend server crashed under an attempt that ended with
    /// an error. Other attempts may start meanwhile.
    pub async fn crashed(&self, attempt: AttemptId) -> bool {
        self.read_now.notify_one();
        self.call(|reply| Message::Doubt(attempt, reply))
            .await
            .unwrap_or(false)
    }

    /// Notes how an attempt ended.
    pub fn ended(&self, attempt: AttemptId, outcome: admission::Outcome, state: State) {
        self.send(Message::Ended(attempt, outcome, state));
    }

    /// Notes that an attempt's bill is committed, so its answer is not fetched
    /// any more.
    pub fn billed(&self, attempt: AttemptId) {
        self.send(Message::Billed(attempt));
    }

    /// Passes on a reading that was asked for at `sent`.
    pub fn read(&self, sent: Mono, load: Result<EngineLoad, EngineError>) {
        self.send(Message::Read(sent, load));
    }

    /// Notes whether the backend server leaves or the agent stops.
    pub fn set_leaving(&self, leaving: bool) {
        self.send(Message::Leaving(leaving));
    }

    /// Ends the control thread.
    pub fn stop(&self) {
        self.send(Message::Stop);
    }

    fn send(&self, message: Message) {
        // After a stop nobody needs the message.
        let _stopped = self.queue.send(message);
    }

    async fn call<T>(&self, build: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.send(build(reply));
        answer.await.ok()
    }
}

/// An attempt that waits or runs.
#[derive(Debug)]
struct Live {
    answer: Arc<Answer>,
    digest: Digest,
    repeatable: bool,
    suspect: bool,
    /// Set until the attempt starts.
    reply: Option<oneshot::Sender<Admitted>>,
}

/// The state of the control thread.
struct Owner {
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
    fn new(parts: DeskParts, desk: &Desk) -> Self {
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

    fn run(&mut self, messages: &Receiver<Message>) {
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
            // Its handler has gone, so nothing will be sent.
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

    /// Takes out an attempt that did not run. One that may not be repeated
    /// leaves a tombstone.
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
                // A copy that still arrives is not run.
                self.attempts.ask(attempt, now);
                Cancelled::Nothing
            }
        }
    }

    /// Holds a broken attempt until a reading tells whether its backend server
    /// crashed.
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
            // What is still held was already reported as in flight at a crash,
            // or the backend server says nothing at all, which is as suspicious.
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
