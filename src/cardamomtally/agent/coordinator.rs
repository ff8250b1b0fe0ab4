//! The agent's control thread and the handle to it.
//!
//! One thread, the coordinator, owns the attempt records ([`super::attempts`]),
//! admission control ([`super::admission`]) and the crash detector
//! ([`super::crashes`]). Tasks that carry traffic send messages to the
//! coordinator and wait for its replies. The coordinator publishes the load as an
//! immutable snapshot, which tasks read without a message.

mod state;

use super::{
    admission::{self, Arrival},
    answer::Answer,
    attempts::State,
};
use crate::{
    core::{
        clock::{Clock, Mono},
        digest::Digest,
        engine::{EngineError, EngineLoad},
        id::{AttemptId, Name},
        verdict::Verdict,
    },
    lease::Lease,
    net::run::{AttemptStatus, Load},
    settings::AgentSettings,
};
use arc_swap::ArcSwap;
use state::Coordinator;
use std::{
    fmt,
    sync::{
        Arc,
        mpsc::{Sender, channel},
    },
    time::Duration,
};
use tokio::sync::{Notify, oneshot};

/// Why an attempt is rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// Why the attempt was rejected, as text for the caller.
    pub reason: Name,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// Whether a retry may succeed.
    pub retry: bool,
}

/// Permission to send an attempt to the backend server.
#[derive(Clone, Debug)]
pub struct StartGrant {
    /// Buffer for the attempt's answer.
    pub answer: Arc<Answer>,
    /// The epoch of admission control. In a later epoch, the attempt must no
    /// longer be sent.
    pub epoch: u64,
}

/// Reply to an attempt that arrives.
pub type AdmitResult = Result<StartGrant, Rejection>;

/// An attempt that arrives.
#[derive(Clone, Copy, Debug)]
pub struct IncomingAttempt {
    /// The part that admission control uses.
    pub arrival: Arrival,
    /// Digest of the request.
    pub digest: Digest,
    /// Whether the request may be repeated.
    pub repeatable: bool,
}

/// Result of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    /// The attempt was waiting and has been removed from the queue. It did not
    /// run.
    Dequeued,
    /// The attempt is running, and the backend server must be notified.
    Running,
    /// The attempt is running and may not be cancelled, or it is unknown.
    Ignored,
}

/// A message to the coordinator.
#[derive(Debug)]
enum Message {
    Admit(IncomingAttempt, oneshot::Sender<AdmitResult>),
    Query(AttemptId, oneshot::Sender<AttemptStatus>),
    FindAnswer(AttemptId, oneshot::Sender<Option<Arc<Answer>>>),
    Cancel(AttemptId, oneshot::Sender<CancelOutcome>),
    FirstToken(AttemptId, Duration),
    EarlyClose,
    CheckCrash(AttemptId, oneshot::Sender<bool>),
    Disconnect(AttemptId, oneshot::Sender<bool>),
    End(AttemptId, admission::Outcome, State),
    Billed(AttemptId),
    Report(Mono, Result<EngineLoad, EngineError>),
    SetLeaving(bool),
    Stop,
}

/// State that the coordinator publishes.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The load.
    pub load: Load,
    /// Versions whose weights are loaded; `None` before the first load report.
    pub versions: Option<Vec<String>>,
    /// The engine's incarnation; `None` before the first load report.
    pub incarnation: Option<u64>,
    /// The epoch of admission control.
    pub epoch: u64,
}

/// A handle to the coordinator.
#[derive(Clone, Debug)]
pub struct CoordinatorHandle {
    queue: Sender<Message>,
    view: Arc<ArcSwap<View>>,
    /// Requests an immediate load report from the backend server.
    pub refresh: Arc<Notify>,
}

/// Settings and dependencies of the coordinator.
pub struct CoordinatorParts {
    /// Settings of the agent.
    pub settings: AgentSettings,
    /// Clock for deadlines and retention periods.
    pub clock: Arc<dyn Clock>,
    /// Where crashes are reported.
    pub lease: Arc<dyn Lease>,
    /// Logger.
    pub log: slog::Logger,
}

impl fmt::Debug for CoordinatorParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CoordinatorParts").finish_non_exhaustive()
    }
}

impl CoordinatorHandle {
    /// Starts the coordinator's thread. The thread ends when the last handle is
    /// dropped or after [`Self::stop`].
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot start.
    pub fn start(parts: CoordinatorParts) -> eyre::Result<Self> {
        let (queue, messages) = channel();
        let handle = Self {
            queue,
            view: Arc::default(),
            refresh: Arc::default(),
        };
        let mut coordinator = Coordinator::new(parts, &handle);
        std::thread::Builder::new()
            .name("agent control".to_owned())
            .spawn(move || coordinator.run(&messages))?;
        Ok(handle)
    }

    /// Returns the state that the coordinator published last.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Records an attempt and waits until it may start.
    ///
    /// # Errors
    ///
    /// Returns why the attempt may not start.
    pub async fn admit(&self, incoming: IncomingAttempt) -> AdmitResult {
        self.call(|reply| Message::Admit(incoming, reply))
            .await
            .unwrap_or_else(|| {
                Err(Rejection {
                    reason: "the agent is stopping".into(),
                    verdict: Verdict::NotRun,
                    retry: true,
                })
            })
    }

    /// Answers a query about an attempt. An unknown attempt gets a tombstone.
    pub async fn query(&self, attempt: AttemptId) -> AttemptStatus {
        self.call(|reply| Message::Query(attempt, reply))
            .await
            .unwrap_or(AttemptStatus::Unknown)
    }

    /// Returns the answer buffer of an attempt, if the attempt is active or its
    /// answer is still kept.
    pub async fn find_answer(&self, attempt: AttemptId) -> Option<Arc<Answer>> {
        self.call(|reply| Message::FindAnswer(attempt, reply))
            .await
            .flatten()
    }

    /// Cancels an attempt if it may be cancelled.
    pub async fn cancel(&self, attempt: AttemptId) -> CancelOutcome {
        self.call(|reply| Message::Cancel(attempt, reply))
            .await
            .unwrap_or(CancelOutcome::Ignored)
    }

    /// Reports an attempt's time to first token.
    pub fn on_first_token(&self, attempt: AttemptId, delay: Duration) {
        self.send(Message::FirstToken(attempt, delay));
    }

    /// Reports that a connection to the backend server broke or ended early,
    /// which may be the first sign that the backend server turned cold. No
    /// attempt starts until the next load report.
    pub fn on_early_close(&self) {
        self.send(Message::EarlyClose);
        self.refresh.notify_one();
    }

    /// Reports that an attempt's connection broke, and waits for the next load
    /// report. Returns whether the backend server crashed.
    pub async fn on_disconnect(&self, attempt: AttemptId) -> bool {
        self.refresh.notify_one();
        self.call(|reply| Message::Disconnect(attempt, reply))
            .await
            .unwrap_or(false)
    }

    /// Waits for the next load report after an attempt ended with an error, and
    /// returns whether the backend server crashed. Other attempts may start in
    /// the meantime.
    pub async fn check_crash(&self, attempt: AttemptId) -> bool {
        self.refresh.notify_one();
        self.call(|reply| Message::CheckCrash(attempt, reply))
            .await
            .unwrap_or(false)
    }

    /// Reports how an attempt ended.
    pub fn on_end(&self, attempt: AttemptId, outcome: admission::Outcome, state: State) {
        self.send(Message::End(attempt, outcome, state));
    }

    /// Reports that an attempt's bill is committed, so its answer will not be
    /// fetched any more.
    pub fn on_billed(&self, attempt: AttemptId) {
        self.send(Message::Billed(attempt));
    }

    /// Passes on the result of a load report that was requested at `requested_at`.
    pub fn on_report(&self, requested_at: Mono, load: Result<EngineLoad, EngineError>) {
        self.send(Message::Report(requested_at, load));
    }

    /// Sets whether the backend server is leaving or the agent is stopping.
    pub fn set_leaving(&self, leaving: bool) {
        self.send(Message::SetLeaving(leaving));
    }

    /// Ends the coordinator's thread.
    pub fn stop(&self) {
        self.send(Message::Stop);
    }

    fn send(&self, message: Message) {
        // After a stop, messages no longer have any effect.
        let _stopped = self.queue.send(message);
    }

    async fn call<T>(&self, build: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.send(build(reply));
        answer.await.ok()
    }
}
