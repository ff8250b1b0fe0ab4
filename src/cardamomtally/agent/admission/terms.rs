//! What goes into admission and what comes out.

use crate::core::{clock::Mono, id::AttemptId};
use std::fmt;

/// A rule that is broken on purpose, for tests. Daemons break none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Breach {
    /// None.
    #[default]
    None,
    /// A cold turn leaves the limit as it is.
    StayWarm,
    /// Suspects run beside each other.
    SuspectsTogether,
    /// The queue has no bound.
    LongQueue,
    /// Attempts start after their deadline.
    StartLate,
}

/// An attempt that asks to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// The attempt.
    pub attempt: AttemptId,
    /// Priority, 0 first.
    pub priority: u8,
    /// When its answer is due.
    pub deadline: Mono,
    /// Whether it may crash the backend server.
    pub suspect: bool,
}

/// Why an attempt is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The backend server does not answer.
    Down,
    /// The queue is full.
    Full,
    /// Its time ran out in the queue.
    Late,
    /// The backend server leaves, or the agent stops.
    Leaving,
    /// More urgent work took its place in the queue.
    Shed,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Down => "the backend server does not answer",
            Self::Full => "the backend server's queue is full",
            Self::Late => "the time ran out in the queue",
            Self::Leaving => "the backend server takes no new work",
            Self::Shed => "more urgent work took the place in the queue",
        })
    }
}

/// What is to be done with an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send it to the backend server now.
    Start(AttemptId),
    /// Reject it now: it did not run.
    Reject(AttemptId, Reason),
}

/// How a started attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// With a whole answer.
    Good,
    /// With an error of the backend server.
    Error,
    /// The connection was refused or broke; see [`super::Admission::broke`].
    Broken,
    /// It was cancelled; this says nothing of the backend server.
    Cancelled,
}

/// A reading of the backend server's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// When the reading was asked for.
    pub sent: Mono,
    /// The engine's run.
    pub incarnation: u64,
    /// Share of the prefix cache in use.
    pub cache_used: f64,
}
