//! The state that the configuration log replicates, as pure logic.
//!
//! Every member applies the same commands in the same order and must reach the
//! same state, so nothing here may depend on the member: no clock, no random
//! numbers, no settings. A decision that depends on the leader's clock (a
//! suspension, or its end) arrives as a command.

use super::{
    orders,
    ticket::{Fault, Ticket, validate},
};
use crate::{
    core::{
        config::{
            Accepted, BackendState, BackendView, CentreState, Config, ConfigRef, Stage, Suspension,
            VersionId,
        },
        digest::Digest,
        id::{Index, Name},
    },
    net::wire::CrashReport,
    quarantine::suspects,
    settings::control::Numbering,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

/// Maximum number of tickets of one partner whose text is stored; the texts of
/// older tickets are dropped.
const MAX_TEXTS: usize = 256;

/// Maximum total size of one partner's stored ticket texts, in bytes; the oldest
/// texts are dropped first.
const MAX_TEXT_BYTES: usize = 4 << 20;

/// Maximum number of tickets of one partner whose number and digest are stored;
/// older ones are forgotten. If a forgotten ticket is submitted again, the answer
/// is [`Reply::Superseded`].
const MAX_RECORDS: usize = 10_000;

/// A command that changes the state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// Accepts a ticket.
    #[serde(rename = "t")]
    Ticket {
        /// The ticket, parsed and validated by the proposer.
        #[serde(rename = "t")]
        ticket: Box<Ticket>,
        /// The ticket's TOML text, for the history.
        #[serde(rename = "x")]
        text: String,
        /// The numbering scheme in the proposer's settings.
        #[serde(rename = "n")]
        numbering: Numbering,
    },
    /// Suspends a version that version health found bad.
    #[serde(rename = "s")]
    Suspend {
        /// The version to suspend.
        #[serde(rename = "v")]
        version: VersionId,
        /// Reason and length of the suspension. The state machine sets the count.
        #[serde(rename = "s")]
        suspension: Suspension,
    },
    /// Lifts a suspension that has expired.
    #[serde(rename = "l")]
    Lift {
        /// The suspended version.
        #[serde(rename = "v")]
        version: VersionId,
        /// The number of the suspension to lift. A later suspension of the same
        /// version has a higher count and stays.
        #[serde(rename = "c")]
        count: u32,
    },
    /// Records crashes of backend servers.
    #[serde(rename = "c")]
    Crashes(Vec<CrashReport>),
    /// Clears suspects: requests that have ended without a crash, or that have
    /// expired.
    #[serde(rename = "k")]
    Clear(Vec<Digest>),
}

/// The state machine's answer to a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// The command was applied, or had nothing to change.
    #[serde(rename = "d")]
    Done,
    /// The ticket was accepted by this command or by an earlier one.
    #[serde(rename = "a")]
    Accepted {
        /// Number, digest and log index of the first acceptance.
        accepted: Accepted,
        /// Whether an earlier command had accepted the ticket.
        repeated: bool,
    },
    /// Another ticket with the same number was accepted before.
    #[serde(rename = "c")]
    Conflict {
        /// The ticket that was accepted.
        winner: Accepted,
        /// The partner of the accepted ticket.
        partner: Name,
    },
    /// A ticket with a higher number is in force, and the history has no ticket
    /// with this number.
    #[serde(rename = "o")]
    Superseded {
        /// The ticket in force.
        by: Accepted,
        /// The partner of the ticket in force.
        partner: Name,
    },
    /// The ticket was refused because its content does not fit the configuration
    /// in force.
    #[serde(rename = "f")]
    Faulty(Vec<Fault>),
    /// The ticket was refused because the proposer's numbering scheme differs from
    /// the given one, which the first ticket fixed.
    #[serde(rename = "n")]
    NumberingMismatch(Numbering),
    /// The version was not suspended, because this workspace has no other version
    /// that can serve.
    #[serde(rename = "k")]
    Kept(Name),
}

/// An accepted ticket in the history.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Number, digest and log index of the ticket.
    pub accepted: Accepted,
    /// The ticket's TOML text, until it is dropped to bound the history's size.
    pub text: Option<Name>,
}

/// The replicated state; its encoding is the log's snapshot.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// The configuration in force.
    pub config: ConfigRef,
    /// Accepted tickets by partner, in ascending order of number.
    pub history: BTreeMap<Name, VecDeque<Record>>,
    /// The numbering scheme, fixed by the first accepted ticket.
    pub numbering: Option<Numbering>,
    /// Number of suspensions of each version so far.
    pub suspensions: BTreeMap<VersionId, u32>,
}

impl State {
    /// Applies a committed command. `index` is its position in the log.
    pub fn apply(&mut self, index: Index, command: Command) -> Reply {
        match command {
            Command::Ticket {
                ticket,
                text,
                numbering,
            } => self.accept_ticket(index, &ticket, &text, numbering),
            Command::Suspend {
                version,
                suspension,
            } => self.suspend(index, version, suspension),
            Command::Lift { version, count } => self.lift(index, &version, count),
            Command::Crashes(crashes) => self.change(index, |config| {
                suspects::record_crashes(&mut config.suspects, &crashes)
            }),
            Command::Clear(digests) => self.change(index, |config| {
                suspects::clear(&mut config.suspects, &digests)
            }),
        }
    }

    /// Returns the reply that follows from a ticket's number and digest alone:
    /// numbers must rise within a sequence, and a ticket that is submitted again
    /// gets its first answer. Returns `None` if the number is higher than all
    /// earlier ones, in which case the ticket's content decides.
    pub fn check_number(
        &self,
        partner: &Name,
        number: u64,
        digest: Digest,
        numbering: Numbering,
    ) -> Option<Reply> {
        if let Some(fixed) = self.numbering.filter(|fixed| *fixed != numbering) {
            return Some(Reply::NumberingMismatch(fixed));
        }
        let (last_owner, last) = self.last(partner, numbering)?;
        if number > last.number {
            return None;
        }
        let found = self.find(partner, number, numbering);
        Some(match found {
            Some((owner, accepted)) if owner == *partner && accepted.digest == digest => {
                Reply::Accepted {
                    accepted,
                    repeated: true,
                }
            }
            Some((partner, winner)) => Reply::Conflict { winner, partner },
            None => Reply::Superseded {
                by: last,
                partner: last_owner,
            },
        })
    }

    /// Returns the ticket with the highest number in the partner's sequence, and
    /// the partner that it belongs to.
    fn last(&self, partner: &Name, numbering: Numbering) -> Option<(Name, Accepted)> {
        let sequence = self.sequence(partner, numbering);
        sequence
            .filter_map(|(owner, records)| Some((owner, records.back()?.accepted)))
            .max_by_key(|(_, accepted)| accepted.number)
            .map(|(owner, accepted)| (Arc::clone(owner), accepted))
    }

    /// Returns the ticket with a number in the partner's sequence, and the partner
    /// that it belongs to, if the ticket is still in the history.
    fn find(&self, partner: &Name, number: u64, numbering: Numbering) -> Option<(Name, Accepted)> {
        let mut sequence = self.sequence(partner, numbering);
        sequence.find_map(|(owner, records)| {
            let at = records.binary_search_by_key(&number, |r| r.accepted.number);
            at.ok().map(|at| (Arc::clone(owner), records[at].accepted))
        })
    }

    /// Returns the histories that share a sequence of numbers with a partner: all
    /// histories under shared numbering, else only the partner's own.
    fn sequence<'a>(
        &'a self,
        partner: &'a Name,
        numbering: Numbering,
    ) -> impl Iterator<Item = (&'a Name, &'a VecDeque<Record>)> {
        let shared = numbering == Numbering::Shared;
        self.history
            .iter()
            .filter(move |(owner, _)| shared || *owner == partner)
    }

    fn accept_ticket(
        &mut self,
        index: Index,
        ticket: &Ticket,
        text: &str,
        numbering: Numbering,
    ) -> Reply {
        let digest = ticket.digest();
        if let Some(reply) = self.check_number(&ticket.partner, ticket.number, digest, numbering) {
            return reply;
        }
        let faults = validate(ticket, Some(&self.config));
        if !faults.is_empty() {
            return Reply::Faulty(faults);
        }
        let accepted = Accepted {
            number: ticket.number,
            digest,
            index,
        };
        let config = Arc::make_mut(&mut self.config);
        let before = orders::desired_versions(config);
        apply_ticket(config, ticket, accepted);
        orders::add_orders(config, &before, index);
        config.index = index;
        self.numbering = Some(numbering);
        self.add_to_history(&ticket.partner, accepted, text);
        Reply::Accepted {
            accepted,
            repeated: false,
        }
    }

    fn add_to_history(&mut self, partner: &Name, accepted: Accepted, text: &str) {
        let records = self.history.entry(Arc::clone(partner)).or_default();
        records.push_back(Record {
            accepted,
            text: Some(text.into()),
        });
        if records.len() > MAX_RECORDS {
            records.pop_front();
        }
        let mut bytes = 0;
        for (age, record) in records.iter_mut().rev().enumerate() {
            let Some(text) = &record.text else {
                break;
            };
            bytes += text.len();
            if age >= MAX_TEXTS || bytes > MAX_TEXT_BYTES {
                record.text = None;
            }
        }
    }

    fn suspend(&mut self, index: Index, version: VersionId, suspension: Suspension) -> Reply {
        let known = self
            .config
            .partners
            .get(&version.partner)
            .is_some_and(|p| p.versions.contains_key(&version.name));
        if !known {
            return Reply::Done;
        }
        if is_suspended(&self.config, &version) {
            return Reply::Done;
        }
        if let Some(workspace) = dependent_workspace(&self.config, &version) {
            return Reply::Kept(workspace);
        }
        let count = self.suspensions.entry(version.clone()).or_default();
        *count += 1;
        let suspension = Suspension {
            count: *count,
            ..suspension
        };
        self.change(index, |config| {
            config.suspended.push((version, suspension));
            true
        })
    }

    fn lift(&mut self, index: Index, version: &VersionId, count: u32) -> Reply {
        self.change(index, |config| {
            let before = config.suspended.len();
            config
                .suspended
                .retain(|(v, s)| v != version || s.count != count);
            config.suspended.len() < before
        })
    }

    /// Edits the configuration, and sets its index if `edit` returns that anything
    /// changed. Without a change the configuration's index and digest stay.
    fn change(&mut self, index: Index, edit: impl FnOnce(&mut Config) -> bool) -> Reply {
        let mut config = Arc::clone(&self.config);
        if edit(Arc::make_mut(&mut config)) {
            Arc::make_mut(&mut config).index = index;
            self.config = config;
        }
        Reply::Done
    }
}

fn is_suspended(config: &Config, version: &VersionId) -> bool {
    config.suspended.iter().any(|(v, _)| v == version)
}

/// Returns a workspace for which the version is the last one that can serve. A
/// statistical verdict must not stop a workspace altogether; only an operator may
/// do that.
fn dependent_workspace(config: &Config, version: &VersionId) -> Option<Name> {
    let own = config.partners.get(&version.partner)?;
    let can_serve = |name: &Name| {
        let id = VersionId {
            partner: Arc::clone(&version.partner),
            name: Arc::clone(name),
        };
        let state = own.versions.get(name);
        state.is_some_and(|v| v.stage != Stage::Withdrawn) && !is_suspended(config, &id)
    };
    if !can_serve(&version.name) {
        return None;
    }
    let depends = |w: &crate::core::config::WorkspaceState| {
        let others = w.versions.iter().filter(|v| **v != version.name);
        w.versions.contains(&version.name) && others.filter(|v| can_serve(v)).count() == 0
    };
    let mut workspaces = own.workspaces.iter();
    workspaces
        .find(|(_, workspace)| depends(workspace))
        .map(|(name, _)| Arc::clone(name))
}

/// Replaces the state of each object that the ticket names; other objects stay.
fn apply_ticket(config: &mut Config, ticket: &Ticket, accepted: Accepted) {
    let partner = &ticket.partner;
    for (name, change) in &ticket.centres {
        let centre = config
            .centres
            .entry(Arc::clone(name))
            .or_insert_with(|| CentreState {
                region: Name::default(),
                views: BTreeMap::new(),
            });
        if let Some(region) = &change.region {
            centre.region = Arc::clone(region);
        }
        centre.views.insert(Arc::clone(partner), change.state);
    }
    for (name, change) in &ticket.backends {
        apply_backend(config, partner, name, change.site.as_ref(), &change.view);
    }
    let own = config.partners.entry(Arc::clone(partner)).or_default();
    own.ticket = accepted;
    own.versions.extend(ticket.versions.clone());
    own.cascades.extend(ticket.cascades.clone());
    own.services.extend(ticket.services.clone());
    own.workspaces.extend(ticket.workspaces.clone());
    drop_withdrawn_suspensions(config, ticket);
}

/// Drops the suspensions of versions that the ticket withdraws.
fn drop_withdrawn_suspensions(config: &mut Config, ticket: &Ticket) {
    config.suspended.retain(|(version, _)| {
        let state = ticket.versions.get(&version.name);
        version.partner != ticket.partner || state.is_none_or(|v| v.stage != Stage::Withdrawn)
    });
}

fn apply_backend(
    config: &mut Config,
    partner: &Name,
    name: &Name,
    site: Option<&crate::core::config::BackendSite>,
    view: &BackendView,
) {
    let existing = config.backends.get_mut(name);
    match (existing, site) {
        (Some(backend), site) => {
            if let Some(site) = site.filter(|_| backend.owner == *partner) {
                backend.site = site.clone();
            }
            backend.views.insert(Arc::clone(partner), view.clone());
        }
        (None, Some(site)) => {
            let backend = BackendState {
                owner: Arc::clone(partner),
                site: site.clone(),
                views: BTreeMap::from([(Arc::clone(partner), view.clone())]),
            };
            config.backends.insert(Arc::clone(name), backend);
        }
        // Validation has refused any ticket with a new backend server that has no
        // site, so this case does not occur.
        (None, None) => {}
    }
}
