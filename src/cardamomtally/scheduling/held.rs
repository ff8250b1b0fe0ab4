//! The requests that an entry holds: which are sent at a check, and which are rejected when
//! there are too many.

use super::{
    level::Level,
    order::{self, Decision, Held, Rank},
    outlook::Outlook,
    settings::SchedulingSettings,
};
use crate::prelude::*;
use std::cmp::Reverse;

/// Multiple of an entry's even share of its service's capacity that it may send at a check.
/// Entries differ in the demand that they get; the largest of the deployments known so far
/// gets two to three times the mean.
const SHARE_FACTOR: f64 = 4.0;
/// Longest time for which an unused share is kept. All entries see a free server at the same
/// time, so what they send together must stay small.
const MAX_SHARE_TIME: Duration = Duration::from_millis(20);
/// Greatest number of outlooks that one check asks for, since each looks at all servers.
const MAX_LOOKS: usize = 8;
/// Shortest time between two checks.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Random time that is added to it at most.
const CHECK_SPREAD: Duration = Duration::from_millis(10);

/// Returns the time until the next check. `random` is a number from 0 to 1, which keeps the
/// checks of the entries from coinciding.
#[must_use]
pub fn check_interval(random: f64) -> Duration {
    MIN_CHECK_INTERVAL + CHECK_SPREAD.mul_f64(random.clamp(0.0, 1.0))
}

/// Requests that meet about the same wait: those of one service and model.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Group {
    /// Key of the service.
    pub service: u64,
    /// Key of the model.
    pub model: u64,
}

/// What a held request would meet now.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// What it would meet at the backend server that would be chosen.
    pub outlook: Outlook,
    /// The overload level of its service.
    pub level: Level,
    /// The entry's even share of its service's capacity, in milliseconds of work per
    /// millisecond.
    pub share: f64,
}

/// Why a request is no longer held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// There is room for it, so it is sent.
    Room,
    /// It was held for as long as is allowed, so it is sent.
    Limit,
    /// No backend server can be chosen; it is sent so that the caller is told why.
    NoServer,
    /// It is rejected, since it cannot be answered by its deadline.
    Deadline(Duration),
    /// It is rejected, since too many are held and it has the lowest value per unit of work.
    Full(Duration),
    /// It is rejected, since the entry is stopping.
    Stopping,
}

#[derive(Debug)]
struct Item<T> {
    id: u64,
    held: Held,
    group: Group,
    outlook: Outlook,
    bytes: usize,
    payload: T,
}

impl<T> Item<T> {
    /// Returns the outlook with a wait that another request of the group has met.
    fn with_wait(&self, wait: f64) -> Outlook {
        let own = (self.outlook.first - self.outlook.wait).max(0.0);
        Outlook {
            wait,
            first: wait + own,
            ..self.outlook
        }
    }
}

/// The requests that an entry holds.
#[derive(Debug)]
pub struct HeldRequests<T> {
    items: Vec<Item<T>>,
    bytes: usize,
    next_id: u64,
    /// Number of checks, which selects the request that is looked at besides the first ones.
    checks: usize,
    /// Work in milliseconds that may be sent now, by service. Negative after a request with
    /// more work than the share.
    allowances: FastMap<u64, f64>,
}

impl<T> Default for HeldRequests<T> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            bytes: 0,
            next_id: 0,
            checks: 0,
            allowances: FastMap::default(),
        }
    }
}

impl<T> HeldRequests<T> {
    /// Returns the number of held requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.items.len()
    }

    /// Tells whether no request is held.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Tells whether a request that might be sent now must wait for the next check, since
    /// others of its group that go first might be sent as well.
    #[must_use]
    pub fn goes_after(
        &self,
        held: &Held,
        group: Group,
        outlook: &Outlook,
        level: &Level,
        settings: &SchedulingSettings,
        now: Mono,
    ) -> bool {
        let rank = held.rank(outlook, settings, now);
        self.items.iter().any(|item| {
            let outlook = item.with_wait(outlook.wait);
            let decide = || order::decide(&item.held, &outlook, level, settings, now);
            item.group == group
                && item.held.rank(&outlook, settings, now) < rank
                && decide() == Decision::Send
        })
    }

    /// Adds a request and returns its id. `bytes` is the memory that it takes.
    pub fn push(
        &mut self,
        held: Held,
        group: Group,
        outlook: Outlook,
        bytes: usize,
        payload: T,
    ) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.bytes += bytes;
        self.items.push(Item {
            id,
            held,
            group,
            outlook,
            bytes,
            payload,
        });
        id
    }

    /// Removes a request, for example because its caller has left.
    pub fn remove(&mut self, id: u64) -> Option<T> {
        let at = self.items.iter().position(|item| item.id == id)?;
        Some(self.take(at).payload)
    }

    /// Removes all requests.
    pub fn drain(&mut self) -> Vec<T> {
        self.bytes = 0;
        self.items.drain(..).map(|item| item.payload).collect()
    }

    /// Removes the requests with the lowest value per unit of work until number and memory
    /// are within their bounds. Among equals the latest goes.
    pub fn shed(&mut self, settings: &SchedulingSettings, now: Mono) -> Vec<(T, End)> {
        let mut ended = Vec::new();
        while self.items.len() > settings.max_held || self.bytes > settings.max_held_bytes {
            let density = |item: &Item<T>| item.held.density(&item.outlook, settings, now);
            let least = (0..self.items.len()).min_by(|a, b| {
                let (a, b) = (&self.items[*a], &self.items[*b]);
                density(a).total_cmp(&density(b)).then(b.id.cmp(&a.id))
            });
            let Some(at) = least else { break };
            let item = self.take(at);
            let delay = order::retry_after(&item.outlook);
            ended.push((item.payload, End::Full(delay)));
        }
        ended
    }

    /// Removes the requests that are sent or rejected now. `passed` is the time since the
    /// last check, and `view` returns what a request would meet now, or `None` if no backend
    /// server can be chosen for it.
    ///
    /// A request is sent only after a view of its own. The wait that others of its group have
    /// met tells whether that is worth it, so that a check stays cheap with many requests.
    pub fn check(
        &mut self,
        now: Mono,
        passed: Duration,
        settings: &SchedulingSettings,
        mut view: impl FnMut(&T) -> Option<View>,
    ) -> Vec<(T, End)> {
        let mut order: Vec<(Rank, usize)> = Vec::with_capacity(self.items.len());
        for (at, item) in self.items.iter().enumerate() {
            order.push((item.held.rank(&item.outlook, settings, now), at));
        }
        order.sort_unstable();
        self.checks = self.checks.wrapping_add(1);
        let sample = self.checks % order.len().max(1);
        let mut check = Check {
            now,
            passed,
            settings,
            looks: MAX_LOOKS,
            least: FastMap::default(),
            refilled: FastSet::default(),
        };
        let mut ended: Vec<(usize, End)> = Vec::new();
        for (place, (_, at)) in order.into_iter().enumerate() {
            let item = &mut self.items[at];
            if !check.is_worth_a_view(item, place == sample) {
                continue;
            }
            let end = match view(&item.payload) {
                None => Some(End::NoServer),
                Some(view) => {
                    item.outlook = view.outlook;
                    check.decide(item, &view, &mut self.allowances)
                }
            };
            ended.extend(end.map(|end| (at, end)));
        }
        ended.sort_unstable_by_key(|(at, _)| Reverse(*at));
        let mut removed: Vec<(T, End)> = Vec::with_capacity(ended.len());
        for (at, end) in ended {
            removed.push((self.take(at).payload, end));
        }
        if self.items.is_empty() {
            self.allowances.clear();
        }
        removed
    }

    fn take(&mut self, at: usize) -> Item<T> {
        let item = self.items.swap_remove(at);
        self.bytes -= item.bytes;
        item
    }
}

/// The state of one check.
struct Check<'s> {
    now: Mono,
    passed: Duration,
    settings: &'s SchedulingSettings,
    /// Number of views that may still be asked for.
    looks: usize,
    /// The view with the least wait of each group.
    least: FastMap<Group, View>,
    /// Services whose allowance was raised in this check.
    refilled: FastSet<u64>,
}

impl Check<'_> {
    /// Tells whether a request is looked at. A request of a group without a view is, one that
    /// would be sent at the least wait known, and one at its limit.
    fn is_worth_a_view<T>(&mut self, item: &Item<T>, sample: bool) -> bool {
        let due = self.now >= item.held.hold_limit(self.settings);
        let promising = self.least.get(&item.group).is_none_or(|view| {
            let outlook = item.with_wait(view.outlook.wait);
            let decision =
                order::decide(&item.held, &outlook, &view.level, self.settings, self.now);
            !matches!(decision, Decision::Hold(_))
        });
        if due {
            return true;
        }
        let asks = (promising || sample) && self.looks > 0;
        self.looks -= usize::from(asks);
        asks
    }

    fn decide<T>(
        &mut self,
        item: &Item<T>,
        view: &View,
        allowances: &mut FastMap<u64, f64>,
    ) -> Option<End> {
        let least = self.least.entry(item.group).or_insert(*view);
        if view.outlook.wait < least.outlook.wait {
            *least = *view;
        }
        match order::decide(
            &item.held,
            &view.outlook,
            &view.level,
            self.settings,
            self.now,
        ) {
            Decision::Hold(_) => None,
            Decision::Reject { retry_after } => Some(End::Deadline(retry_after)),
            Decision::Send if self.now >= item.held.hold_limit(self.settings) => Some(End::Limit),
            Decision::Send => self
                .spend(item.group.service, view, allowances)
                .then_some(End::Room),
        }
    }

    /// Takes the work of a request from the entry's allowance at a service. Returns whether
    /// some was left.
    fn spend(&mut self, service: u64, view: &View, allowances: &mut FastMap<u64, f64>) -> bool {
        let rate = number(view.share) * SHARE_FACTOR;
        let most = rate * MAX_SHARE_TIME.as_secs_f64() * 1e3;
        let allowance = allowances.entry(service).or_insert(most);
        if self.refilled.insert(service) {
            *allowance = (*allowance + rate * self.passed.as_secs_f64() * 1e3).min(most);
        }
        // Without a known share the allowance would stay negative for ever.
        let spent = *allowance > 0.0 || most <= 0.0;
        if spent {
            *allowance -= order::work(&view.outlook);
        }
        spent
    }
}

fn number(value: f64) -> f64 {
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}
