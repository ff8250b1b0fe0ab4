//! Tickets: the operators' only way to change the configuration.
//!
//! [`check`] parses the TOML text ([`parse`], [`fields`]), then validates the
//! ticket against the configuration in force ([`rules`]). All faults are
//! collected with their places, so that an operator can correct them all at once.
//! The state machine validates the content again when it applies the ticket,
//! since another ticket may have been applied in the meantime.

mod fields;
mod objects;
mod parse;
mod rules;
mod workspaces;

pub use rules::{Fault, validate};

use crate::{
    core::{
        config::{
            Availability, BackendSite, BackendView, CascadeState, Config, ServiceState,
            VersionState, WorkspaceState,
        },
        digest::Digest,
        finding::{Finding, Findings, line_column},
        id::Name,
    },
    net::codec,
};
use parse::Offsets;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// File name in the findings of a ticket that was received over the network.
pub const NETWORK_FILE: &str = "ticket";

/// A ticket's change of a data centre.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CentreChange {
    /// The region; required if the data centre is new.
    pub region: Option<Name>,
    /// Whether the partner has the data centre in service.
    pub state: Availability,
}

/// A ticket's change of a backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BackendChange {
    /// Data centre, agent and fencing; required if the backend server is new.
    pub site: Option<BackendSite>,
    /// What the partner has on the backend server: its state, versions and
    /// services.
    pub view: BackendView,
}

/// A parsed ticket. It states the whole new state of each object that it names.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Ticket {
    /// The partner that submits the ticket and whose objects it changes.
    pub partner: Name,
    /// The ticket's number, which must be higher than those of earlier tickets.
    pub number: u64,
    /// Reason for the change, for other operators.
    pub reason: Name,
    /// Data centres by name.
    pub centres: BTreeMap<Name, CentreChange>,
    /// Backend servers by name.
    pub backends: BTreeMap<Name, BackendChange>,
    /// Model versions by name.
    pub versions: BTreeMap<Name, VersionState>,
    /// Cascades by name.
    pub cascades: BTreeMap<Name, CascadeState>,
    /// Plain services by name.
    pub services: BTreeMap<Name, ServiceState>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Name, WorkspaceState>,
}

impl Ticket {
    /// Returns the digest of the canonical content, which does not depend on the
    /// layout or comments of the text.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&codec::encode(self))
    }
}

/// Parses a ticket and validates it against a configuration. Offline, without a
/// configuration, only the ticket itself is checked.
///
/// # Errors
///
/// Returns all findings with their places in the text.
pub fn check(file: &str, text: &str, config: Option<&Config>) -> Result<Ticket, Findings> {
    let mut findings = Findings::default();
    let (ticket, offsets) = parse::read(file, text, &mut findings);
    let parse_findings = findings.clone();
    for fault in validate(&ticket, config) {
        // A header field that is missing or unreadable already has a finding from
        // parsing, so its empty value is not reported again.
        let in_header = fault.path.starts_with("ticket/");
        if in_header
            && (!offsets.has(&fault.path)
                || has_finding_at(&parse_findings, text, &offsets, &fault))
        {
            continue;
        }
        add_finding(file, text, &offsets, &fault, &mut findings);
    }
    findings.into_result(ticket)
}

/// Turns faults that the state machine found into findings with their places in
/// the text.
#[must_use]
pub fn locate_faults(text: &str, faults: &[Fault]) -> Findings {
    let mut findings = Findings::default();
    let (_ticket, offsets) = parse::read(NETWORK_FILE, text, &mut findings);
    for fault in faults {
        add_finding(NETWORK_FILE, text, &offsets, fault, &mut findings);
    }
    findings.0.sort();
    findings
}

/// Returns whether there is a finding at the place of a fault.
fn has_finding_at(findings: &Findings, text: &str, offsets: &Offsets, fault: &Fault) -> bool {
    let (line, column) = line_column(text, offsets.find(&fault.path));
    let at = |f: &Finding| f.line == line && f.column == column;
    findings.0.iter().any(at)
}

fn add_finding(file: &str, text: &str, offsets: &Offsets, fault: &Fault, findings: &mut Findings) {
    findings.add(file, text, offsets.find(&fault.path), fault.message.clone());
}
