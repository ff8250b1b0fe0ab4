//! The thread that polls control members and publishes the configurations that they
//! confirm.
//!
//! Each iteration sends one poll, waits for the reply and publishes the result as a
//! [`LeasedConfig`]. If a member does not reply in time, the next poll goes to another
//! member after a short backoff. [`LeaseState`] implements all rules about leases.

use super::{
    Lease, LeasedConfig,
    reports::Reports,
    rotation::Rotation,
    state::{InjectedFaults, LeaseState, Outcome},
};
use crate::{
    core::{
        clock::Mono,
        config::Config,
        digest::Digest,
        id::{Incarnation, Name},
        snapshot::Snapshot,
    },
    daemon::Context,
    net::{
        transport::Transport,
        wire::{self, CrashReport, HealthReport, Poll, PollReply, Request, Response, Role},
    },
    settings::common::PollSettings,
};
use arc_swap::ArcSwap;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::{
    collections::BTreeSet,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    thread,
    time::Duration,
};
use tokio::sync::Notify;

/// Wait after the first failed poll, before jitter. It doubles with each further
/// failure, up to the poll interval. A poll that follows up on a change or sends the
/// identity also waits for this time.
const BACKOFF_MIN: Duration = Duration::from_millis(20);

/// Delay before an urgent poll, so that a burst of reports is sent in few polls.
const URGENT_DELAY: Duration = Duration::from_millis(20);

/// Share of the poll interval by which the time between polls varies at random, in
/// either direction.
const JITTER: f64 = 0.1;

/// Identity that a process reports to the control members.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the process.
    pub name: Name,
    /// Role of the process.
    pub role: Role,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// Data centre of the process.
    pub centre: Name,
    /// HTTP address of the process from its settings. It is replaced by the bound address
    /// once the listener is bound.
    pub http: Name,
}

/// Polls control members on its own thread. Dropping the poller stops the thread.
pub struct Poller {
    shared: Arc<Shared>,
    thread: Option<thread::JoinHandle<()>>,
}

/// State shared between the polling thread and the rest of the process.
struct Shared {
    held: ArcSwap<LeasedConfig>,
    reports: Mutex<Reports>,
    wake: Notify,
    stop: Notify,
}

impl Poller {
    /// Starts the polling thread.
    ///
    /// # Panics
    ///
    /// Panics if the operating system cannot start a thread.
    pub fn start(
        settings: PollSettings,
        identity: Identity,
        transport: Arc<dyn Transport>,
        context: Context,
    ) -> Arc<Self> {
        let shared = Arc::new(Shared {
            held: ArcSwap::default(),
            reports: Mutex::default(),
            wake: Notify::new(),
            stop: Notify::new(),
        });
        let mut poll_loop =
            PollLoop::new(settings, identity, transport, context, Arc::clone(&shared));
        let thread = thread::Builder::new()
            .name("control poller".to_owned())
            .spawn(move || poll_loop.run())
            .expect("the operating system starts the polling thread");
        Arc::new(Self {
            shared,
            thread: Some(thread),
        })
    }
}

impl Lease for Poller {
    fn held(&self) -> Arc<LeasedConfig> {
        self.shared.held.load_full()
    }

    fn report_health(&self, health: HealthReport) {
        let mut reports = lock(&self.shared.reports);
        reports.add_health(health);
        let urgent = reports.is_urgent();
        drop(reports);
        if urgent {
            self.shared.wake.notify_one();
        }
    }

    fn report_crash(&self, report: CrashReport) {
        lock(&self.shared.reports).add_crash(report);
        self.shared.wake.notify_one();
    }

    fn report_cleared(&self, digest: Digest) {
        lock(&self.shared.reports).add_cleared(digest);
    }

    fn poll_now(&self) {
        self.shared.wake.notify_one();
    }
}

impl fmt::Debug for Poller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Poller").finish_non_exhaustive()
    }
}

impl Drop for Poller {
    fn drop(&mut self) {
        self.shared.stop.notify_one();
        if let Some(thread) = self.thread.take() {
            // If the thread panicked, the panic hook has already logged it.
            let _ignored = thread.join();
        }
    }
}

/// State that only the polling thread uses.
struct PollLoop {
    settings: PollSettings,
    identity: Identity,
    transport: Arc<dyn Transport>,
    context: Context,
    shared: Arc<Shared>,
    rng: SmallRng,
    state: LeaseState,
    rotation: Rotation,
    /// Members to which the next poll must send the identity, because they may not
    /// know it.
    needs_identity: BTreeSet<String>,
    backoff: Duration,
}

impl PollLoop {
    fn new(
        settings: PollSettings,
        identity: Identity,
        transport: Arc<dyn Transport>,
        context: Context,
        shared: Arc<Shared>,
    ) -> Self {
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let needs_identity = settings.members.iter().cloned().collect();
        let rotation = Rotation::new(&settings.members, context.clock.now(), &mut rng);
        Self {
            settings,
            identity,
            transport,
            context,
            shared,
            rng,
            state: LeaseState::new(InjectedFaults::default()),
            rotation,
            needs_identity,
            backoff: BACKOFF_MIN,
        }
    }

    fn run(&mut self) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .expect("a runtime without I/O starts");
        let shared = Arc::clone(&self.shared);
        runtime.block_on(async {
            tokio::select! {
                () = shared.stop.notified() => {}
                () = self.poll_forever() => {}
            }
        });
    }

    async fn poll_forever(&mut self) {
        loop {
            let wait = self.poll_once().await;
            self.update_ready();
            let shared = Arc::clone(&self.shared);
            tokio::select! {
                () = shared.wake.notified() => tokio::time::sleep(URGENT_DELAY).await,
                () = tokio::time::sleep(wait) => {}
            }
        }
    }

    /// Sends one poll and returns how long to wait before the next.
    async fn poll_once(&mut self) -> Duration {
        let now = self.context.clock.now();
        let Some(member) = self.rotation.current(now, &mut self.rng) else {
            return self.settings.interval.0;
        };
        let poll = self.build_poll(&member);
        let polled = poll.holds;
        let reported = (poll.crashes.clone(), poll.cleared.clone());
        let sent = self.context.clock.now();
        let timeout = self.settings.timeout.0;
        let answer = self
            .transport
            .call(&member, Request::Poll(poll), timeout)
            .await;
        let reason = match answer {
            Ok(Response::Poll(reply)) => {
                lock(&self.shared.reports).acknowledge(&reported.0, &reported.1);
                return self.handle_reply(&member, polled, sent, &reply);
            }
            Ok(Response::Unavailable { reason, .. }) => reason,
            Ok(_) => "the member sent a reply of an unexpected type".to_owned(),
            Err(error) => error.reason,
        };
        self.handle_failure(&member, &reason)
    }

    fn build_poll(&mut self, member: &str) -> Poll {
        let mut poll = Poll {
            incarnation: self.identity.incarnation,
            ..Poll::default()
        };
        self.state.fill_poll(&mut poll);
        lock(&self.shared.reports).drain_into(&mut poll);
        let bound = self.context.http_address.get().cloned();
        let http = bound.unwrap_or_else(|| Arc::clone(&self.identity.http));
        if http != self.identity.http {
            self.identity.http = http;
            self.needs_identity.insert(member.to_owned());
        }
        if self.needs_identity.contains(member) {
            poll.identity = Some(self.wire_identity());
        }
        poll
    }

    fn wire_identity(&self) -> wire::Identity {
        wire::Identity {
            name: Arc::clone(&self.identity.name),
            role: self.identity.role,
            centre: Arc::clone(&self.identity.centre),
            http: Arc::clone(&self.identity.http),
        }
    }

    fn handle_reply(
        &mut self,
        member: &str,
        polled: crate::core::id::Index,
        sent: Mono,
        reply: &PollReply,
    ) -> Duration {
        let before = Arc::clone(self.state.config());
        let received = self.context.clock.now();
        let outcome = self.state.apply_reply(polled, sent, received, reply);
        if let Some(stamp) = reply.stamp {
            self.context.events.observe(stamp);
        }
        self.publish(outcome);
        if outcome == Outcome::Changed {
            self.record_ticket_changes(&before);
        }
        metrics::counter!("cardamomtally_lease_polls_total").increment(1);
        metrics::gauge!("cardamomtally_lease_index_entries").set(self.state.index().0 as f64);
        self.backoff = BACKOFF_MIN;
        if reply.unknown {
            self.needs_identity.insert(member.to_owned());
            return BACKOFF_MIN;
        }
        self.needs_identity.remove(member);
        match outcome {
            // Poll again soon: to report the new configuration to the member, or to ask
            // for the whole configuration.
            Outcome::Changed | Outcome::Mismatch => BACKOFF_MIN,
            Outcome::Renewed | Outcome::Stale => self.interval(sent),
        }
    }

    fn publish(&self, outcome: Outcome) {
        let held = self.shared.held.load();
        let next = match outcome {
            Outcome::Changed => LeasedConfig {
                snapshot: Arc::new(Snapshot::compile(self.state.config())),
                config: Arc::clone(self.state.config()),
                until: self.state.until(),
            },
            Outcome::Renewed => LeasedConfig {
                until: self.state.until(),
                ..LeasedConfig::clone(&held)
            },
            Outcome::Stale | Outcome::Mismatch => return,
        };
        self.shared.held.store(Arc::new(next));
    }

    fn record_ticket_changes(&self, before: &Config) {
        let config = self.state.config();
        for (partner, state) in &config.partners {
            let held = before.partners.get(partner).map(|p| p.ticket);
            if held != Some(state.ticket) {
                let subject = format!("ticket {partner}/{}", state.ticket.number);
                self.context.events.record("config", &subject, "held here");
            }
        }
        slog::debug!(self.context.log, "config: new configuration adopted";
            "index" => config.index.0);
    }

    fn handle_failure(&mut self, member: &str, reason: &str) -> Duration {
        slog::debug!(self.context.log, "config: poll failed";
            "member" => member, "reason" => reason);
        metrics::counter!("cardamomtally_lease_failures_total").increment(1);
        let now = self.context.clock.now();
        self.rotation.record_failure(now, &mut self.rng);
        let wait = self.backoff.mul_f64(self.rng.random_range(0.5..1.0));
        self.backoff = (self.backoff * 2).min(self.settings.interval.0);
        wait
    }

    /// Returns the time that remains of the poll interval, which began when the poll
    /// was sent.
    fn interval(&mut self, sent: Mono) -> Duration {
        let factor = self.rng.random_range(1.0 - JITTER..1.0 + JITTER);
        let interval = self.settings.interval.0.mul_f64(factor);
        interval.saturating_sub(self.context.clock.now().since(sent))
    }

    fn update_ready(&self) {
        let valid = self.state.is_valid(self.context.clock.now());
        let ready = valid && !self.context.requests.is_closed();
        let before = self.context.ready.swap(ready, Ordering::AcqRel);
        if before && !valid {
            slog::warn!(
                self.context.log,
                "config: lease expired; no new work is accepted until a poll succeeds"
            );
            let subject = format!("index {}", self.state.index());
            self.context
                .events
                .record("config", &subject, "lease ran out");
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
