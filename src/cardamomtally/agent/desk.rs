//! The control thread of an agent.
//!
//! One thread owns the attempt records ([`super::attempts`]), admission
//! ([`super::admission`]) and the crash watch ([`super::crashes`]). Traffic
//! tasks send it messages and wait for its answers; it publishes the load as an
//! immutable snapshot.

mod owner;

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
    net::run::{Asked, Load},
    settings::AgentSettings,
};
use arc_swap::ArcSwap;
use owner::Owner;
use std::{
    fmt,
    sync::{
        Arc,
        mpsc::{Sender, channel},
    },
    time::Duration,
};
use tokio::sync::{Notify, oneshot};

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
