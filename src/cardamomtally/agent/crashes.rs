//! Crashes of the backend server and who was in flight there.
//!
//! All connections of a crashed backend server break at about the same time,
//! but a single broken connection is no crash. Broken attempts are therefore
//! held until the next reading tells: a refused connection or a new engine run
//! is a crash of the run before, the same run is none.

use crate::{
    core::{
        digest::Digest,
        id::{AttemptId, Incarnation, Name},
        map::FastMap,
    },
    net::wire::CrashReport,
};
use std::sync::Arc;

/// What a reading of the backend server shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Seen {
    /// It answered, as this engine run.
    Run(u64),
    /// It refused the connection.
    Refused,
    /// It did not answer in time, or the connection broke.
    Silent,
}

/// What a reading says about broken attempts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// The crash, if there was one with attempts in flight.
    pub crash: Option<CrashReport>,
    /// Broken attempts, and whether the crash broke them.
    pub broken: Vec<(AttemptId, bool)>,
}

/// Tells crashes from single broken connections.
#[derive(Debug)]
pub struct Crashes {
    backend: Name,
    run: Option<u64>,
    flying: FastMap<AttemptId, Digest>,
    broken: FastMap<AttemptId, Digest>,
}

impl Crashes {
    /// Builds the watch over one backend server.
    #[must_use]
    pub fn new(backend: &str) -> Self {
        Self {
            backend: backend.into(),
            run: None,
            flying: FastMap::default(),
            broken: FastMap::default(),
        }
    }

    /// Notes that an attempt is sent.
    pub fn start(&mut self, attempt: AttemptId, digest: Digest) {
        self.flying.insert(attempt, digest);
    }

    /// Notes that an attempt ended otherwise than by a broken connection.
    pub fn end(&mut self, attempt: AttemptId) {
        self.flying.remove(&attempt);
    }

    /// Notes that an attempt's connection broke.
    pub fn broke(&mut self, attempt: AttemptId) {
        if let Some(digest) = self.flying.remove(&attempt) {
            self.broken.insert(attempt, digest);
        }
    }

    /// Judges the broken attempts by a reading that began after they broke.
    pub fn judge(&mut self, seen: Seen) -> Outcome {
        let crashed = match seen {
            Seen::Run(run) => self.run.is_some_and(|before| before != run),
            Seen::Refused => self.run.is_some(),
            Seen::Silent => return Outcome::default(),
        };
        let before = self.run;
        self.run = match seen {
            Seen::Run(run) => Some(run),
            Seen::Refused | Seen::Silent => None,
        };
        let broken = std::mem::take(&mut self.broken);
        let crash = before
            .filter(|_| crashed)
            .and_then(|run| self.report(run, broken.values().copied()));
        let broken = broken.into_keys().map(|id| (id, crashed)).collect();
        Outcome { crash, broken }
    }

    fn report(&mut self, run: u64, broken: impl Iterator<Item = Digest>) -> Option<CrashReport> {
        let flying = std::mem::take(&mut self.flying);
        let mut digests: Vec<Digest> = flying.into_values().chain(broken).collect();
        digests.sort_unstable();
        digests.dedup();
        (!digests.is_empty()).then(|| CrashReport {
            backend: Arc::clone(&self.backend),
            incarnation: Incarnation(run),
            digests,
        })
    }
}
