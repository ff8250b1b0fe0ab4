//! The state behind the configuration log, as pure logic.
//!
//! Every member applies the same commands in the same order, so nothing here
//! may depend on the member: no clock, no random numbers, no settings. What a
//! leader knows from its own clock (a verdict, the end of a suspension) comes
//! as a command.

use super::{
    orders, suspects,
    ticket::{Fault, Ticket, judge},
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
    settings::control::Numbering,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

/// Tickets of a partner whose text is kept.
const TEXTS_KEPT: usize = 256;

/// Bytes of ticket texts of a partner that are kept.
const TEXT_BYTES_KEPT: usize = 4 << 20;

/// Tickets of a partner whose number and digest are kept.
const RECORDS_KEPT: usize = 10_000;

/// A change of the state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// A ticket, with its text for the history.
    #[serde(rename = "t")]
    Ticket {
        /// The ticket, read and judged.
        #[serde(rename = "t")]
        ticket: Box<Ticket>,
        /// Its text.
        #[serde(rename = "x")]
        text: String,
        /// How the proposer numbers tickets.
        #[serde(rename = "n")]
        numbering: Numbering,
    },
    /// A verdict of version health.
    #[serde(rename = "s")]
    Suspend {
        /// The version.
        #[serde(rename = "v")]
        version: VersionId,
        /// What was seen, and for how long it holds.
        #[serde(rename = "s")]
        suspension: Suspension,
    },
    /// The end of a suspension that has run for its time.
    #[serde(rename = "l")]
    Lift {
        /// The version.
        #[serde(rename = "v")]
        version: VersionId,
        /// Which of its suspensions; another one stands.
        #[serde(rename = "c")]
        count: u32,
    },
    /// Crashes of backend servers.
    #[serde(rename = "c")]
    Crashes(Vec<CrashReport>),
    /// Suspected requests that have ended without a crash, or were forgotten.
    #[serde(rename = "k")]
    Clear(Vec<Digest>),
}

/// The state machine's answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// The command was applied, or changed nothing.
    #[serde(rename = "d")]
    Done,
    /// The ticket is accepted, now or before.
    #[serde(rename = "a")]
    Accepted {
        /// The number, digest and index of the first acceptance.
        accepted: Accepted,
        /// Whether it had been accepted before.
        repeated: bool,
    },
    /// Another ticket took the number.
    #[serde(rename = "c")]
    Conflict {
        /// The winner.
        winner: Accepted,
        /// Its partner.
        partner: Name,
    },
    /// A ticket with a higher number is in force.
    #[serde(rename = "o")]
    Superseded {
        /// The ticket in force.
        by: Accepted,
        /// Its partner.
        partner: Name,
    },
    /// The ticket does not fit the state in force.
    #[serde(rename = "f")]
    Faulty(Vec<Fault>),
    /// The members' settings disagree on how tickets are numbered.
    #[serde(rename = "n")]
    Numbering(Numbering),
    /// The version is not suspended: this workspace would have none left.
    #[serde(rename = "k")]
    Kept(Name),
}

/// One accepted ticket.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Its number, digest and index.
    pub accepted: Accepted,
    /// Its text, as long as it is kept.
    pub text: Option<Name>,
}

/// The whole state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// The configuration in force.
    pub config: ConfigRef,
    /// Accepted tickets by partner, oldest first.
    pub history: BTreeMap<Name, VecDeque<Record>>,
    /// How tickets are numbered, fixed by the first one.
    pub numbering: Option<Numbering>,
    /// How often each version has been suspended.
    pub suspensions: BTreeMap<VersionId, u32>,
}

impl State {
    /// Applies a command that the log committed.
    pub fn apply(&mut self, index: Index, command: Command) -> Reply {
        match command {
            Command::Ticket {
                ticket,
                text,
                numbering,
            } => self.take_ticket(index, &ticket, &text, numbering),
            Command::Suspend {
                version,
                suspension,
            } => self.suspend(index, version, suspension),
            Command::Lift { version, count } => self.lift(index, &version, count),
            Command::Crashes(crashes) => self.change(index, |config| {
                suspects::note(&mut config.suspects, &crashes)
            }),
            Command::Clear(digests) => self.change(index, |config| {
                suspects::clear(&mut config.suspects, &digests)
            }),
        }
    }

    /// Returns what a ticket's number and digest decide, before its content is
    /// looked at; nothing if the number is new.
    pub fn decide_number(
        &self,
        partner: &Name,
        number: u64,
        digest: Digest,
        numbering: Numbering,
    ) -> Option<Reply> {
        if let Some(held) = self.numbering.filter(|held| *held != numbering) {
            return Some(Reply::Numbering(held));
        }
        let (holder, last) = self.last(partner, numbering)?;
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
                partner: holder,
            },
        })
    }

    /// Returns the ticket with the highest number of the partner's sequence.
    fn last(&self, partner: &Name, numbering: Numbering) -> Option<(Name, Accepted)> {
        let sequence = self.sequence(partner, numbering);
        sequence
            .filter_map(|(owner, records)| Some((owner, records.back()?.accepted)))
            .max_by_key(|(_, accepted)| accepted.number)
            .map(|(owner, accepted)| (Arc::clone(owner), accepted))
    }

    fn find(&self, partner: &Name, number: u64, numbering: Numbering) -> Option<(Name, Accepted)> {
        let mut sequence = self.sequence(partner, numbering);
        sequence.find_map(|(owner, records)| {
            let at = records.binary_search_by_key(&number, |r| r.accepted.number);
            at.ok().map(|at| (Arc::clone(owner), records[at].accepted))
        })
    }

    /// Returns the histories that share a sequence with a partner's tickets.
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

    fn take_ticket(
        &mut self,
        index: Index,
        ticket: &Ticket,
        text: &str,
        numbering: Numbering,
    ) -> Reply {
        let digest = ticket.digest();
        if let Some(reply) = self.decide_number(&ticket.partner, ticket.number, digest, numbering) {
            return reply;
        }
        let faults = judge(ticket, Some(&self.config));
        if !faults.is_empty() {
            return Reply::Faulty(faults);
        }
        let accepted = Accepted {
            number: ticket.number,
            digest,
            index,
        };
        let config = Arc::make_mut(&mut self.config);
        let before = orders::loaded(config);
        apply_ticket(config, ticket, accepted);
        orders::derive(config, &before, index);
        config.index = index;
        self.numbering = Some(numbering);
        self.remember(&ticket.partner, accepted, text);
        Reply::Accepted {
            accepted,
            repeated: false,
        }
    }

    fn remember(&mut self, partner: &Name, accepted: Accepted, text: &str) {
        let records = self.history.entry(Arc::clone(partner)).or_default();
        records.push_back(Record {
            accepted,
            text: Some(text.into()),
        });
        if records.len() > RECORDS_KEPT {
            records.pop_front();
        }
        let mut bytes = 0;
        for (age, record) in records.iter_mut().rev().enumerate() {
            let Some(text) = &record.text else {
                break;
            };
            bytes += text.len();
            if age >= TEXTS_KEPT || bytes > TEXT_BYTES_KEPT {
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
        if let Some(workspace) = last_of(&self.config, &version) {
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

    /// Changes the configuration, and its index if anything changed.
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

/// Returns a workspace for which the version is the last that can serve. A
/// statistical verdict stops no workspace; that is left to operators.
fn last_of(config: &Config, version: &VersionId) -> Option<Name> {
    let own = config.partners.get(&version.partner)?;
    let open = |name: &Name| {
        let id = VersionId {
            partner: Arc::clone(&version.partner),
            name: Arc::clone(name),
        };
        let stated = own.versions.get(name);
        stated.is_some_and(|v| v.stage != Stage::Withdrawn) && !is_suspended(config, &id)
    };
    if !open(&version.name) {
        return None;
    }
    let relies = |w: &crate::core::config::WorkspaceState| {
        let others = w.versions.iter().filter(|v| **v != version.name);
        w.versions.contains(&version.name) && others.filter(|v| open(v)).count() == 0
    };
    let mut workspaces = own.workspaces.iter();
    workspaces
        .find(|(_, workspace)| relies(workspace))
        .map(|(name, _)| Arc::clone(name))
}

/// Writes the ticket's whole new state of each object that it names.
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
    forget_old_suspensions(config, ticket);
}

/// A ticket that withdraws a version ends its suspension.
fn forget_old_suspensions(config: &mut Config, ticket: &Ticket) {
    config.suspended.retain(|(version, _)| {
        let stated = ticket.versions.get(&version.name);
        version.partner != ticket.partner || stated.is_none_or(|v| v.stage != Stage::Withdrawn)
    });
}

fn apply_backend(
    config: &mut Config,
    partner: &Name,
    name: &Name,
    site: Option<&crate::core::config::BackendSite>,
    view: &BackendView,
) {
    let held = config.backends.get_mut(name);
    match (held, site) {
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
        // The ticket's judge lets no new backend server without a site pass.
        (None, None) => {}
    }
}
