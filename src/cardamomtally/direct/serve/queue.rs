//! The entry's queue of held requests.
//!
//! While overload control is active and backend servers have more work waiting than a
//! request's slack allows, the request is held here, before its first attempt. One task checks
//! the whole queue every 10 to 20 ms, only while something is held: one timer for each request
//! would cost small VMs more processor time than the decisions do. What is decided is in
//! [`crate::scheduling`].

use super::escalate;
use crate::{
    direct::{
        app::App,
        config::snapshot::ConfigSnapshot,
        fleet::{pacing::sharing_entries, registry::Requirements},
        request::{call::Call, prompt::Prompt, refusal::Refusal},
    },
    prelude::*,
    routing::rendezvous,
    scheduling::{
        held::{End, Group, HeldRequests, View, check_interval},
        level::Level,
        order::{self, Decision, Held},
        outlook::Outlook,
        settings::{Mode, SchedulingSettings},
    },
    site::document::Service,
};
use rand::Rng as _;
use slog::info;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// Memory that a held request takes besides its body: head, buffers of its connection and
/// the state of its task.
const REQUEST_BYTES: usize = 16 << 10;
/// Delay after which callers are asked to come back if the entry is stopping. Short, since
/// the balancer sends the retry to another entry.
const STOPPING_RETRY: Duration = Duration::from_millis(50);
/// Time without a request after which a service's wait counts as ended.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// What a held request needs of a backend server, and where its end is told.
#[derive(Debug)]
struct Waiter {
    service: Arc<Service>,
    session: u64,
    model: Option<Name>,
    prompt: Prompt,
    ended: oneshot::Sender<End>,
}

#[derive(Debug, Default)]
struct State {
    held: HeldRequests<Waiter>,
    levels: FastMap<Name, LevelEntry>,
    /// When the queue was last checked.
    checked: Mono,
    /// Whether a task checks the queue.
    running: bool,
    /// Whether the entry is stopping, so that nothing is held any more.
    closed: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct LevelEntry {
    level: Level,
    updated: Mono,
}

/// The entry's queue of held requests, and the overload levels of its services.
#[derive(Debug, Default)]
pub struct HoldQueue {
    state: Mutex<State>,
}

impl HoldQueue {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of held requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().held.len()
    }

    /// Tells whether no request is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the overload level of a service; 0 if none of its requests has met an active
    /// overload control yet.
    #[must_use]
    pub fn level(&self, service: &str) -> f64 {
        let state = self.lock();
        state.levels.get(service).map_or(0.0, |e| e.level.value())
    }

    /// Rejects all held requests. From now on none is held: what cannot be sent at once is
    /// rejected.
    pub fn close(&self) {
        let mut state = self.lock();
        state.closed = true;
        let held = state.held.drain();
        drop(state);
        finish(held.into_iter().map(|waiter| (waiter, End::Stopping)));
    }

    /// Lets the levels of services without requests fall, and reports all levels.
    pub fn sweep(&self, now: Mono) {
        let mut state = self.lock();
        for (service, entry) in &mut state.levels {
            if now.since(entry.updated) >= QUIET_TIME {
                entry.level.update(0.0, entry.level.shortest_target(), now);
            }
            metrics::gauge!("cardamomtally_direct_overload_level", "service" => service.to_string())
                .set(entry.level.value());
        }
    }
}

/// Tells requests why they are no longer held.
fn finish(ended: impl IntoIterator<Item = (Waiter, End)>) {
    for (waiter, end) in ended {
        // The caller may have left in the meantime.
        let _left = waiter.ended.send(end);
    }
}

/// Removes a request from the queue when it is dropped, so that a caller that leaves takes
/// its request with it.
struct Ticket<'a> {
    app: &'a App,
    call: &'a Call,
    id: u64,
    since: Mono,
    ended: bool,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.app.queue.lock().held.remove(self.id);
            log_end(self.app, self.call, self.since, "caller left");
        }
    }
}

/// Holds a new request as long as it has to wait. Returns whether it was held.
///
/// # Errors
///
/// Returns the answer to the caller if the request is rejected.
pub async fn admit(app: &Arc<App>, call: &Call) -> Result<bool, Refusal> {
    let Some(settings) = app.scheduling.filter(|s| s.mode != Mode::Off) else {
        return Ok(false);
    };
    let config = app.config.current();
    let model = first_model(call);
    let wanted = Requirements {
        service: &call.service,
        session: call.session,
        model,
        prompt: call.prompt,
        tried: &[],
        careful: false,
    };
    let outlook = app.registry.outlook(&config, &wanted);
    let Some(outlook) = outlook.filter(|outlook| outlook.active) else {
        return Ok(false);
    };
    let now = app.clock.now();
    let (receiver, ticket) = match offer(app, call, model, &config, outlook, &settings) {
        Offer::Send => return Ok(false),
        Offer::Reject(end) => return Err(reject(app, call, end)),
        Offer::Hold(receiver, id) => {
            let ticket = Ticket {
                app,
                call,
                id,
                since: now,
                ended: false,
            };
            (receiver, ticket)
        }
    };
    let mut ticket = ticket;
    count(call, "held");
    // The sender is only dropped without a message if the task that checks the queue has
    // failed. The request is sent then, as without overload control.
    let end = receiver.await.unwrap_or(End::Room);
    ticket.ended = true;
    log_end(app, call, now, label(end));
    match end {
        End::Room | End::Limit | End::NoServer => {
            count(call, "released");
            Ok(true)
        }
        End::Deadline(_) | End::Full(_) | End::Stopping => Err(reject(app, call, end)),
    }
}

/// What happens to a new request.
enum Offer {
    Send,
    Hold(oneshot::Receiver<End>, u64),
    Reject(End),
}

fn offer(
    app: &Arc<App>,
    call: &Call,
    model: Option<&str>,
    config: &ConfigSnapshot,
    outlook: Outlook,
    settings: &SchedulingSettings,
) -> Offer {
    let now = app.clock.now();
    let held = Held::new(
        call.received,
        call.deadline,
        call.route.target,
        call.route.pause,
        call.priority,
    );
    let group = Group {
        service: rendezvous::seed(&call.service.name),
        model: model.map_or(0, rendezvous::seed),
    };
    let mut state = app.queue.lock();
    let state = &mut *state;
    let level = update_level(&mut state.levels, &call.service, config, &outlook, now);
    let others = &state.held;
    match order::decide(&held, &outlook, &level, settings, now) {
        Decision::Reject { retry_after } => return Offer::Reject(End::Deadline(retry_after)),
        Decision::Send if !others.goes_after(&held, group, &outlook, &level, settings, now) => {
            return Offer::Send;
        }
        Decision::Send | Decision::Hold(_) if state.closed => return Offer::Reject(End::Stopping),
        Decision::Send | Decision::Hold(_) => {}
    }
    let (ended, receiver) = oneshot::channel();
    let waiter = Waiter {
        service: Arc::clone(&call.service),
        session: call.session,
        model: model.map(Name::from),
        prompt: call.prompt,
        ended,
    };
    let bytes = call.body.len() + REQUEST_BYTES;
    let id = state.held.push(held, group, outlook, bytes, waiter);
    finish(state.held.shed(settings, now));
    if !state.running && !state.held.is_empty() {
        state.running = true;
        state.checked = now;
        tokio::spawn(run(Arc::clone(app), *settings));
    }
    Offer::Hold(receiver, id)
}

/// Ends the task's work on the queue. If the task has failed, all held requests are sent.
struct RunGuard(Arc<App>);

impl Drop for RunGuard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let mut state = self.0.queue.lock();
            state.running = false;
            let held = state.held.drain();
            drop(state);
            finish(held.into_iter().map(|waiter| (waiter, End::Room)));
        }
    }
}

/// Checks the queue until it is empty.
async fn run(app: Arc<App>, settings: SchedulingSettings) {
    let _guard = RunGuard(Arc::clone(&app));
    loop {
        let random = rand::rng().random();
        tokio::time::sleep(check_interval(random)).await;
        if !check(&app, &settings) {
            return;
        }
    }
}

/// Checks the queue once. Returns whether requests are still held.
fn check(app: &App, settings: &SchedulingSettings) -> bool {
    let config = app.config.current();
    let now = app.clock.now();
    let mut state = app.queue.lock();
    let state = &mut *state;
    let passed = now.since(state.checked);
    state.checked = now;
    let levels = &mut state.levels;
    let view = |waiter: &Waiter| {
        let wanted = Requirements {
            service: &waiter.service,
            session: waiter.session,
            model: waiter.model.as_deref(),
            prompt: waiter.prompt,
            tried: &[],
            careful: false,
        };
        let outlook = app.registry.outlook(&config, &wanted)?;
        Some(View {
            outlook,
            level: update_level(levels, &waiter.service, &config, &outlook, now),
            share: share(&config, &waiter.service),
        })
    };
    finish(state.held.check(now, passed, settings, view));
    state.running = !state.held.is_empty();
    state.running
}

/// Updates the overload level of a service by an outlook of one of its requests.
fn update_level(
    levels: &mut FastMap<Name, LevelEntry>,
    service: &Service,
    config: &ConfigSnapshot,
    outlook: &Outlook,
    now: Mono,
) -> Level {
    if !levels.contains_key(&service.name) {
        levels.insert(Arc::clone(&service.name), LevelEntry::default());
    }
    let Some(entry) = levels.get_mut(&service.name) else {
        return Level::default();
    };
    let table = config.table.as_ref();
    let shortest = table.and_then(|table| table.shortest_target(&service.name));
    entry.updated = now;
    entry
        .level
        .update(outlook.mean_wait, shortest.unwrap_or_default(), now);
    entry.level
}

/// Returns the entry's even share of a service's capacity, in servers.
fn share(config: &ConfigSnapshot, service: &Service) -> f64 {
    let backends = config.fleet.backends.iter();
    let ready = backends.filter(|b| b.ready && b.service == service.name);
    ready.count() as f64 / f64::from(sharing_entries(config))
}

/// Returns the model that the first attempt asks for.
fn first_model(call: &Call) -> Option<&str> {
    let cascade = &call.route.cascade;
    let first = cascade.get(escalate::first(cascade.len()));
    let first = first.filter(|_| call.any_model).map(|model| &**model);
    first.or(call.model.as_deref())
}

fn reject(app: &App, call: &Call, end: End) -> Refusal {
    count(call, "rejected");
    let (detail, delay) = match end {
        End::Full(delay) => ("too many requests wait", delay),
        End::Stopping => ("the entry is stopping", STOPPING_RETRY),
        End::Deadline(delay) => ("it cannot be answered by its deadline", delay),
        End::Room | End::Limit | End::NoServer => ("it is not sent", STOPPING_RETRY),
    };
    let delay = order::spread(delay, rand::rng().random());
    let refusal = Refusal::unavailable(detail, delay);
    app.log_refusal(call, &refusal, 0);
    refusal
}

const fn label(end: End) -> &'static str {
    match end {
        End::Room => "sent, there is room",
        End::Limit => "sent, held for the longest time",
        End::NoServer => "sent, no backend server may be chosen",
        End::Deadline(_) => "rejected, deadline",
        End::Full(_) => "rejected, queue full",
        End::Stopping => "rejected, stopping",
    }
}

fn log_end(app: &App, call: &Call, since: Mono, why: &str) {
    info!(app.log, "hold: {}", why; "request" => call.id_text(),
        "route" => &*call.route.name, "priority" => call.priority,
        "ms" => app.clock.now().since(since).as_millis() as u64);
}

fn count(call: &Call, kind: &'static str) {
    let route = call.route.name.to_string();
    metrics::counter!("cardamomtally_direct_hold_total", "kind" => kind, "route" => route)
        .increment(1);
}
