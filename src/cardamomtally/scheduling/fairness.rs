//! Shares of the workspaces in a service's capacity while that is insufficient.
//!
//! Each entry keeps, for each workspace, the work that its requests need (offered) and the
//! work of those that were sent to backend servers (started), as decaying rates. The entries
//! tell each other these rates. The sum of the started rates is what the backend servers
//! achieve, so no capacity has to be configured. It is divided among the workspaces that
//! offer work: each gets an equal share by its weight, and what one does not use goes to the
//! others (max-min fairness). Offering more than its share gains a workspace nothing.
//!
//! A workspace that offers more than its share is over it, and its requests yield to those of
//! workspaces within theirs. Since the others then take no more than they offer, it still
//! gets its whole share.

use crate::{prelude::*, routing::rendezvous};

/// Time constant of the rates. A workspace that sends eight times its usual load is over
/// its share within a second, and one that stops is within it again after some seconds.
const RATE_TIME: Duration = Duration::from_secs(2);
/// Age from which the rates of another entry are dropped.
const PEER_RATES_TTL: Duration = Duration::from_secs(1);
/// Rate in milliseconds of work per second below which a workspace is not reported and its
/// account is dropped.
const MIN_RATE: f64 = 0.5;
/// Least weight of a workspace, so that shares stay finite.
const MIN_WEIGHT: f64 = 1e-3;
/// Least share of a workspace, in milliseconds per second, by which its excess is measured.
const MIN_SHARE: f64 = 1e-3;

/// Identifies a workspace in messages between entries.
pub type WorkspaceKey = u32;

/// Rates of workspaces: offered and started work in milliseconds per second.
pub type WorkSums = Vec<(WorkspaceKey, u32, u32)>;

/// Returns the key of a workspace. All requests without a workspace have the same key.
#[must_use]
pub fn key(workspace: Option<&str>) -> WorkspaceKey {
    workspace.map_or(0, |name| rendezvous::seed(name) as u32)
}

/// Offered and started work in milliseconds per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Rates {
    offered: f64,
    started: f64,
}

impl Rates {
    fn add(&mut self, other: Self) {
        self.offered += other.offered;
        self.started += other.started;
    }
}

/// This entry's account of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    rates: Rates,
    updated: Mono,
}

impl Account {
    fn at(&self, now: Mono) -> Rates {
        let passed = now.since(self.updated).as_secs_f64();
        let kept = (-passed / RATE_TIME.as_secs_f64()).exp();
        Rates {
            offered: self.rates.offered * kept,
            started: self.rates.started * kept,
        }
    }
}

#[derive(Debug, Default)]
struct PeerRates {
    at: Mono,
    sums: WorkSums,
}

/// Work and shares of the workspaces of one service.
#[derive(Debug, Default)]
pub struct Fairness {
    own: FastMap<WorkspaceKey, Account>,
    peers: FastMap<Name, PeerRates>,
    /// Excess of the workspaces that are over their share.
    excess: FastMap<WorkspaceKey, f64>,
}

impl Fairness {
    /// Records a request that has arrived and needs `work` milliseconds. A retry of the same
    /// request is not recorded again.
    pub fn record_offered(&mut self, workspace: WorkspaceKey, work: f64, now: Mono) {
        self.record(workspace, now, |rates, rate| rates.offered += rate, work);
    }

    /// Records that a request which needs `work` milliseconds was sent to a backend server.
    pub fn record_started(&mut self, workspace: WorkspaceKey, work: f64, now: Mono) {
        self.record(workspace, now, |rates, rate| rates.started += rate, work);
    }

    fn record(
        &mut self,
        workspace: WorkspaceKey,
        now: Mono,
        add: impl FnOnce(&mut Rates, f64),
        work: f64,
    ) {
        if !work.is_finite() {
            return;
        }
        let account = self.own.entry(workspace).or_default();
        account.rates = account.at(now);
        account.updated = now;
        add(&mut account.rates, work.max(0.0) / RATE_TIME.as_secs_f64());
    }

    /// Replaces the rates that another entry has reported.
    pub fn merge(&mut self, entry: &Name, sums: WorkSums, now: Mono) {
        self.peers
            .insert(Arc::clone(entry), PeerRates { at: now, sums });
    }

    /// Returns this entry's own rates, those with the most offered work first, at most `max`.
    #[must_use]
    pub fn own_sums(&self, max: usize, now: Mono) -> WorkSums {
        let rates = self
            .own
            .iter()
            .map(|(key, account)| (*key, account.at(now)));
        let known = rates.filter(|(_, rates)| rates.offered.max(rates.started) >= MIN_RATE);
        let round = |rate: f64| rate.round() as u32;
        let mut sums: WorkSums = known
            .map(|(key, rates)| (key, round(rates.offered), round(rates.started)))
            .collect();
        sums.sort_unstable_by_key(|(key, offered, _)| (std::cmp::Reverse(*offered), *key));
        sums.truncate(max);
        sums
    }

    /// Computes anew which workspaces are over their share, and drops outdated rates. `level`
    /// is the service's level of overload: at 0 no workspace is over its share. `weight`
    /// gives the weight of a workspace; 1 for all means equal shares.
    ///
    /// Takes time in proportion to the number of workspaces and entries, so it is called
    /// every tenth of a second and not for each request.
    pub fn refresh(&mut self, level: f64, weight: impl Fn(WorkspaceKey) -> f64, now: Mono) {
        self.peers
            .retain(|_, peer| now.since(peer.at) < PEER_RATES_TTL);
        self.own.retain(|_, account| {
            let rates = account.at(now);
            rates.offered.max(rates.started) >= MIN_RATE
        });
        self.excess.clear();
        if level > 0.0 {
            let total = self.total(now);
            self.excess = excesses(&total, weight);
        }
    }

    /// Returns the rates of all entries together.
    fn total(&self, now: Mono) -> FastMap<WorkspaceKey, Rates> {
        let mut total: FastMap<WorkspaceKey, Rates> = FastMap::default();
        for (key, account) in &self.own {
            total.entry(*key).or_default().add(account.at(now));
        }
        for (key, offered, started) in self.peers.values().flat_map(|peer| &peer.sums) {
            total.entry(*key).or_default().add(Rates {
                offered: f64::from(*offered),
                started: f64::from(*started),
            });
        }
        total
    }

    /// Returns by how much a workspace is over its share: 0 if it offers no more than its
    /// share or there is room, and otherwise the work that was started for it over its share,
    /// at least [`f64::MIN_POSITIVE`]. Requests with a lower excess go first.
    #[must_use]
    pub fn excess(&self, workspace: WorkspaceKey) -> f64 {
        self.excess.get(&workspace).copied().unwrap_or(0.0)
    }
}

/// Returns the excess of the workspaces that are over their share.
fn excesses(
    total: &FastMap<WorkspaceKey, Rates>,
    weight: impl Fn(WorkspaceKey) -> f64,
) -> FastMap<WorkspaceKey, f64> {
    let usable = |weight: f64| {
        if weight.is_finite() {
            weight.max(MIN_WEIGHT)
        } else {
            1.0
        }
    };
    let weighted = total
        .iter()
        .map(|(key, rates)| (*key, *rates, usable(weight(*key))));
    let weighted: Vec<(WorkspaceKey, Rates, f64)> = weighted.collect();
    let Some(share) = share_per_weight(&weighted) else {
        return FastMap::default();
    };
    let over = weighted
        .into_iter()
        .filter(|(_, rates, weight)| rates.offered > share * weight);
    over.map(|(key, rates, weight)| {
        let own_share = (share * weight).max(MIN_SHARE);
        (key, (rates.started / own_share).max(f64::MIN_POSITIVE))
    })
    .collect()
}

/// Divides the started work of all workspaces among them and returns the share of one with
/// weight 1. Workspaces that offer less than their share get what they offer. Returns `None`
/// if all get what they offer.
fn share_per_weight(workspaces: &[(WorkspaceKey, Rates, f64)]) -> Option<f64> {
    let mut left: f64 = workspaces.iter().map(|(_, rates, _)| rates.started).sum();
    let mut weights: f64 = workspaces.iter().map(|(_, _, weight)| weight).sum();
    let mut demands: Vec<(f64, f64)> = workspaces
        .iter()
        .map(|(_, rates, weight)| (rates.offered, *weight))
        .collect();
    demands
        .sort_unstable_by(|(a, a_weight), (b, b_weight)| (a / a_weight).total_cmp(&(b / b_weight)));
    for (offered, weight) in demands {
        let share = left.max(0.0) / weights;
        if offered > share * weight {
            return Some(share);
        }
        left -= offered;
        weights -= weight;
    }
    None
}
