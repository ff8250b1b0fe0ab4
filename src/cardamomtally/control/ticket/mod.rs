//! Tickets: the operators' only way to change the configuration.
//!
//! [`check`] reads the TOML text ([`parse`] with the help of [`fields`]), then
//! judges the ticket against the state in force ([`rules`]). Every fault is
//! collected with its place, so that an operator corrects a ticket once. The
//! state machine judges an accepted text's content again when it is applied,
//! since another ticket may have come between.

mod fields;
mod objects;
mod parse;
mod rules;
mod workspaces;

pub use rules::{Fault, judge};

use crate::{
    core::{
        config::{
            BackendSite, BackendView, CascadeState, Config, Service, ServiceState, VersionState,
            WorkspaceState,
        },
        digest::Digest,
        finding::{Finding, Findings, line_column},
        id::Name,
    },
    net::codec,
};
use parse::Places;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// File name of findings in a ticket that came over the network.
pub const NETWORK_FILE: &str = "ticket";

/// What a ticket states of a data centre.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CentreChange {
    /// The region; needed when the data centre is new.
    pub region: Option<Name>,
    /// Whether the partner has it in service.
    pub state: Service,
}

/// What a ticket states of a backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BackendChange {
    /// Where it is; needed when the backend server is new.
    pub site: Option<BackendSite>,
    /// The partner's view.
    pub view: BackendView,
}

/// A ticket, read.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Ticket {
    /// The partner.
    pub partner: Name,
    /// Its number.
    pub number: u64,
    /// Why, for other operators.
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
    /// Returns the digest of the canonical content, whatever its layout.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&codec::encode(self))
    }
}

/// Reads a ticket and judges it against a configuration, or offline against
/// itself alone if there is none.
///
/// # Errors
///
/// Returns all faults with their places.
pub fn check(file: &str, text: &str, config: Option<&Config>) -> Result<Ticket, Findings> {
    let mut findings = Findings::default();
    let (ticket, places) = parse::read(file, text, &mut findings);
    let unread = findings.clone();
    for fault in judge(&ticket, config) {
        // A field that is missing or cannot be read has been reported as such.
        let head = fault.path.starts_with("ticket/");
        if head && (!places.has(&fault.path) || stands_at(&unread, text, &places, &fault)) {
            continue;
        }
        place(file, text, &places, &fault, &mut findings);
    }
    findings.into_result(ticket)
}

/// Gives faults that the state machine found their places in the text.
#[must_use]
pub fn place_faults(text: &str, faults: &[Fault]) -> Findings {
    let mut findings = Findings::default();
    let (_ticket, places) = parse::read(NETWORK_FILE, text, &mut findings);
    for fault in faults {
        place(NETWORK_FILE, text, &places, fault, &mut findings);
    }
    findings.0.sort();
    findings
}

/// Tells whether there is a finding at the place of a fault.
fn stands_at(findings: &Findings, text: &str, places: &Places, fault: &Fault) -> bool {
    let (line, column) = line_column(text, places.find(&fault.path));
    let at = |f: &Finding| f.line == line && f.column == column;
    findings.0.iter().any(at)
}

fn place(file: &str, text: &str, places: &Places, fault: &Fault, findings: &mut Findings) {
    findings.add(file, text, places.find(&fault.path), fault.message.clone());
}
