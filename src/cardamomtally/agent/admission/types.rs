//! Input and output types of admission control.

use crate::core::{clock::Mono, id::AttemptId};
use std::fmt;

/// A fault that tests inject to show that their checks detect it. Daemons always
/// use [`InjectedFault::None`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// The limit is not reset when the backend server turns cold.
    KeepLimit,
    /// Several suspect attempts run at the same time.
    ConcurrentSuspects,
    /// The queue is unbounded.
    UnboundedQueue,
    /// Attempts start after their deadline.
    StartExpired,
}

/// An attempt that requests to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// When the answer is due.
    pub deadline: Mono,
    /// Whether the attempt may crash the backend server.
    pub suspect: bool,
}

/// Why an attempt is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The backend server refuses connections.
    Unreachable,
    /// The queue is full.
    QueueFull,
    /// The attempt's time ran out while it was in the queue.
    Expired,
    /// The backend server is leaving, or the agent is stopping.
    Leaving,
    /// The queue was full, and a more urgent attempt took this attempt's place.
    Shed,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "the backend server does not answer",
            Self::QueueFull => "the backend server's queue is full",
            Self::Expired => "the time ran out in the queue",
            Self::Leaving => "the backend server takes no new work",
            Self::Shed => "more urgent work took the place in the queue",
        })
    }
}

/// What the caller must do with an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send the attempt to the backend server now.
    Start(AttemptId),
    /// Reject the attempt now. It did not run.
    Reject(AttemptId, Reason),
}

/// How a started attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// With a complete answer.
    Success,
    /// With an error of the backend server.
    Error,
    /// The connection was refused or broke; see
    /// [`super::Admission::on_disconnect`].
    Disconnected,
    /// The attempt was cancelled, which says nothing about the backend server.
    Cancelled,
}

/// A load report of the backend server, as far as admission control uses it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// When the agent requested the report.
    pub requested_at: Mono,
    /// The engine's incarnation.
    pub incarnation: u64,
    /// Share of the prefix cache in use, from 0 to 1.
    pub cache_used: f64,
}
