//! The stages of an entry's planned stop.
//!
//! Callers learn late that an entry stops, and keep connections until it is gone. Until then
//! each of their requests gets an answer. What is received while the entry drains must be
//! answered before the stop ends. Later nothing is passed on any more: a refusal tells
//! truly that the request has not run. What still runs shortly before the end is given up,
//! with an answer that promises nothing.

use crate::prelude::*;
use tokio::sync::watch;

#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
enum Stage {
    #[default]
    Running,
    /// Requests are passed on if they can be answered by `end`.
    Draining { end: Mono },
    /// No further request is passed on.
    Refusing { end: Mono },
    /// Requests that still run are given up.
    Ending,
}

/// How far a planned stop has come.
#[derive(Debug, Default)]
pub struct PlannedStop {
    stage: watch::Sender<Stage>,
}

impl PlannedStop {
    /// Begins the stop. Requests are answered until `end`.
    pub fn drain(&self, end: Mono) {
        self.stage.send_replace(Stage::Draining { end });
    }

    /// Has further requests refused, if the stop has begun.
    pub fn refuse(&self) {
        self.stage.send_if_modified(|stage| {
            let Stage::Draining { end } = *stage else {
                return false;
            };
            *stage = Stage::Refusing { end };
            true
        });
    }

    /// Has requests given up that still run.
    pub fn give_up(&self) {
        self.stage.send_replace(Stage::Ending);
    }

    /// Returns the time by which a request must be answered that is received now, if a stop
    /// has begun.
    #[must_use]
    pub fn end(&self) -> Option<Mono> {
        match *self.stage.borrow() {
            Stage::Draining { end } | Stage::Refusing { end } => Some(end),
            Stage::Running | Stage::Ending => None,
        }
    }

    /// Returns whether no further request may be passed on.
    #[must_use]
    pub fn refuses(&self) -> bool {
        matches!(*self.stage.borrow(), Stage::Refusing { .. } | Stage::Ending)
    }

    /// Waits until requests that still run are given up.
    pub async fn given_up(&self) {
        let mut stage = self.stage.subscribe();
        // The sender lives as long as this value.
        let _ended = stage.wait_for(|stage| *stage == Stage::Ending).await;
    }
}
