//! What an entry does about content that ends backend servers.
//!
//! Before each attempt the guard tells whether the request may be sent, and how. After it,
//! the guard records how the run came out. Evidence is told to the other entries at once
//! and to control with the next poll.

use super::end_check::EndChecks;
use crate::{
    direct::{
        config::evidence::{EvidenceExchange, Outgoing},
        exchange::peers::Peers,
        fleet::registry::{Choice, Registry},
        request::call::Call,
    },
    prelude::*,
    quarantine::{
        evidence::End,
        fingerprint::{Fingerprint, ServerKey},
        pool::{Admission, Pool, QUIET_TIME, Run},
        report::{Report, ToldEnd},
        verdict::{Verdict, Verdicts},
    },
    routing::rendezvous,
};
use slog::{Logger, info, warn};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Longest time for which a retry waits to learn whether the backend server has ended. The
/// check goes on after it.
const END_CHECK_WAIT: Duration = Duration::from_millis(15);

/// Time after which a request may come back that waits for the outcome of a trial.
const TRIAL_RETRY: Duration = Duration::from_millis(500);

/// Age of a told end, in milliseconds, up to which nothing is sent to the backend server.
const RECENT_END_MS: u32 = 500;

/// Greatest number of pieces of content on which a poll reports evidence.
const MAX_POLL_ITEMS: usize = 48;

/// Greatest number of pieces of content on which other entries are told evidence at a time.
const MAX_NEWS_ITEMS: usize = 48;

/// The state behind the guard's lock.
#[derive(Debug, Default)]
struct State {
    pool: Pool,
    /// Log index of the verdicts that control has put in force.
    index: Index,
}

/// An entry's knowledge of content that ends backend servers.
#[derive(Debug)]
pub struct ContentGuard {
    entry: Name,
    registry: Arc<Registry>,
    state: Mutex<State>,
    checks: Arc<EndChecks>,
    peers: Arc<Peers>,
    clock: Arc<dyn Clock>,
    log: Logger,
}

/// Leave to send a request.
#[derive(Debug)]
pub struct Leave {
    /// Whether it goes where few others run.
    pub careful: bool,
    /// Ends the trial when the attempt has ended.
    _trial: Option<Trial>,
}

/// A trial that runs. If it is dropped before its outcome is known, the next one may begin.
#[derive(Debug)]
struct Trial {
    guard: Arc<ContentGuard>,
    run: Run,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.guard.lock().pool.end_trial(&self.run);
    }
}

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hold {
    /// What keeps it, in one sentence.
    pub detail: &'static str,
    /// Time after which it may come back.
    pub retry_after: Duration,
}

impl ContentGuard {
    /// Builds a guard that knows nothing. `limit` is the longest time to open a connection.
    #[must_use]
    pub fn new(
        entry: Name,
        registry: Arc<Registry>,
        peers: Arc<Peers>,
        limit: Duration,
        clock: Arc<dyn Clock>,
        log: Logger,
    ) -> Self {
        Self {
            entry,
            registry,
            state: Mutex::default(),
            checks: Arc::new(EndChecks::new(limit)),
            peers,
            clock,
            log,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides whether a request may be sent now.
    ///
    /// # Errors
    ///
    /// Returns why not: its content is quarantined, or a trial of it runs.
    pub fn admit(self: &Arc<Self>, call: &Call) -> Result<Leave, Hold> {
        let mut state = self.lock();
        if state.pool.is_empty() {
            return Ok(Leave {
                careful: false,
                _trial: None,
            });
        }
        let run = call.run();
        let (now, wall) = (self.clock.now(), self.clock.wall_micros() / 1_000);
        let admission = state.pool.admit(&run, &self.entry, wall, now);
        drop(state);
        match admission {
            Admission::Free | Admission::Careful => Ok(Leave {
                careful: admission == Admission::Careful,
                _trial: None,
            }),
            Admission::Trial => Ok(self.begin_trial(call, run)),
            Admission::Busy(found) => Err(self.hold_back(call, found, false)),
            Admission::Quarantined(found) => Err(self.hold_back(call, found, true)),
        }
    }

    fn begin_trial(self: &Arc<Self>, call: &Call, run: Run) -> Leave {
        info!(self.log, "content: trial"; "request" => call.id_text());
        self.peers.mark_changed();
        let guard = Arc::clone(self);
        Leave {
            careful: true,
            _trial: Some(Trial { guard, run }),
        }
    }

    fn hold_back(&self, call: &Call, found: Fingerprint, quarantined: bool) -> Hold {
        let kind = if quarantined { "quarantined" } else { "trial" };
        metrics::counter!("cardamomtally_direct_content_refused_total", "why" => kind).increment(1);
        info!(self.log, "content: held back"; "request" => call.id_text(),
            "content" => found.to_string(), "why" => kind);
        if quarantined {
            Hold {
                detail: "its content ends backend servers",
                retry_after: QUIET_TIME,
            }
        } else {
            Hold {
                detail: "a trial of its content runs",
                retry_after: TRIAL_RETRY,
            }
        }
    }

    /// Tells whether a request whose last attempt failed may be sent again at once, as far
    /// as its content goes.
    #[must_use]
    pub fn may_repeat(&self, call: &Call) -> bool {
        let state = self.lock();
        state.pool.is_empty() || state.pool.may_repeat(&call.run())
    }

    /// Records that a request was answered in full.
    pub fn record_good(&self, call: &Call) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.pool.is_empty() {
            let content = &call.content;
            state.pool.record_parts(content.caller, &content.parts, now);
            return;
        }
        let news = state.pool.record_good(&call.run(), now);
        drop(state);
        if news {
            self.peers.mark_changed();
        }
    }

    /// Records that the connection of an attempt has failed, if that shows to be because
    /// the backend server has ended. The attempt was sent at `began`.
    pub async fn record_break(self: &Arc<Self>, call: &Call, choice: &Choice, began: Mono) {
        let guard = Arc::clone(self);
        let (backend, run) = (choice.backend.clone(), call.run());
        let at = self.clock.now();
        let check = tokio::spawn(async move {
            if guard.checks.has_ended(&backend).await {
                let server = ServerKey(rendezvous::seed(&backend.instance));
                let end = End {
                    server,
                    caller: run.caller,
                    request: run.whole.tag(),
                    depth: 0,
                    began,
                    at,
                };
                guard.record_end(&backend.instance, &run, end);
            }
        });
        let _late = tokio::time::timeout(END_CHECK_WAIT, check).await;
    }

    fn record_end(&self, instance: &Name, run: &Run, end: End) {
        metrics::counter!("cardamomtally_direct_runs_ended_total").increment(1);
        info!(self.log, "content: backend server ended under it"; "instance" => &**instance,
            "end" => format!("{:016x}", end.server.0), "content" => run.to_string());
        self.registry.record_ended(end.server.0);
        let now = self.clock.now();
        let decided = self.lock().pool.record_end(run, end, now);
        self.log_verdicts(&decided);
        self.peers.mark_changed();
    }

    /// Adds the evidence of another entry.
    pub fn merge(&self, report: &Report) {
        for ToldEnd(server, .., age) in report.iter().flat_map(|item| &item.ends) {
            if *age < RECENT_END_MS {
                self.registry.record_ended(server.0);
            }
        }
        let decided = self.lock().pool.merge(report, self.clock.now());
        self.log_verdicts(&decided);
    }

    /// Returns the evidence to tell the other entries, which changed lately.
    #[must_use]
    pub fn news(&self) -> Report {
        self.lock().pool.news(MAX_NEWS_ITEMS, self.clock.now())
    }

    /// Drops what is too old.
    pub fn sweep(&self) {
        self.lock().pool.sweep(self.clock.now());
    }

    fn log_verdicts(&self, decided: &[(Fingerprint, Verdict)]) {
        for (content, verdict) in decided {
            metrics::counter!("cardamomtally_direct_content_quarantined_total").increment(1);
            let ends = verdict.ends.iter().map(|end| format!("{:016x}", end.0));
            warn!(self.log, "content: quarantined"; "content" => content.to_string(),
                "scope" => format!("{:?}", verdict.scope),
                "ends" => ends.collect::<Vec<_>>().join(","));
        }
    }
}

impl EvidenceExchange for ContentGuard {
    fn outgoing(&self) -> Outgoing {
        let mut state = self.lock();
        Outgoing {
            index: state.index,
            report: state.pool.report(MAX_POLL_ITEMS, self.clock.now()),
            hits: state.pool.take_hits(),
        }
    }

    fn put_back(&self, hits: Vec<Fingerprint>) {
        self.lock().pool.put_back_hits(hits);
    }

    fn apply(&self, verdicts: &Verdicts) {
        let mut state = self.lock();
        if verdicts.index < state.index {
            return;
        }
        state.index = verdicts.index;
        state.pool.apply(verdicts, self.clock.now());
        info!(self.log, "content: verdicts in force"; "index" => verdicts.index.0,
            "count" => verdicts.in_force.len());
    }
}
