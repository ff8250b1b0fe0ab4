//! Settings of a control member.

use super::{
    Document, Settings, checks,
    common::{HttpSettings, LogSettings, ProcessSettings, TimelineSettings},
    units::{Size, Span},
};
use crate::core::finding::Findings;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Settings file of `cardamomtally-control`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Who and where it is.
    pub process: ProcessSettings,
    /// Its HTTP listener, for operators.
    #[serde(default)]
    pub http: HttpSettings,
    /// The control group.
    pub group: GroupSettings,
    /// Operators' credentials.
    #[serde(default, rename = "operator")]
    pub operators: Vec<OperatorSettings>,
    /// Leases.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Ticket numbers.
    #[serde(default)]
    pub tickets: TicketSettings,
    /// The ledger.
    #[serde(default)]
    pub ledger: LedgerSettings,
    /// Version health.
    #[serde(default)]
    pub health: HealthSettings,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
    /// Time line settings.
    #[serde(default)]
    pub timeline: TimelineSettings,
}

impl Settings for ControlSettings {
    const EXAMPLE: &'static str = include_str!("../../../examples/control.toml");

    fn check(&self, document: &Document<'_>, findings: &mut Findings) {
        checks::process(&self.process, document, findings);
        checks::http(&self.http, document, findings);
        checks::group(&self.group, &self.process.name, document, findings);
        checks::distinct_addresses(&self.addresses(), document, findings);
        checks::operators(&self.operators, document, findings);
        checks::nonzero_span(self.lease.length, "lease.length", document, findings);
        checks::not_longer_than(
            (self.lease.round, "lease.round"),
            (self.lease.length, "lease.length"),
            document,
            findings,
        );
        checks::nonzero_count(
            self.ledger.shards.into(),
            "ledger.shards",
            document,
            findings,
        );
        if self.ledger.replicas.is_multiple_of(2) {
            let message = "`replicas` must be odd, so that a majority is smallest";
            document.add_finding(findings, "ledger.replicas", message);
        }
        checks::ratio(
            self.health.good_rate,
            "health.good_rate",
            document,
            findings,
        );
        checks::ratio(self.health.bad_rate, "health.bad_rate", document, findings);
        checks::ratio(
            self.health.false_rate,
            "health.false_rate",
            document,
            findings,
        );
        if self.health.good_rate >= self.health.bad_rate {
            let message = "`good_rate` must be below `bad_rate`";
            document.add_finding(findings, "health.good_rate", message);
        }
    }
}

impl ControlSettings {
    /// Returns all addresses with their places, to find clashes.
    fn addresses(&self) -> Vec<checks::Address> {
        let mut found = vec![checks::Address::new(
            &self.http.listen,
            "http.listen".to_owned(),
        )];
        for (i, member) in self.group.members.iter().enumerate() {
            found.push(checks::Address::new(
                &member.poll,
                format!("group.member.{i}.poll"),
            ));
            found.push(checks::Address::new(
                &member.peer,
                format!("group.member.{i}.peer"),
            ));
        }
        found
    }
}

/// One control member's addresses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// Its process name.
    pub name: String,
    /// Address at which it answers polls and claims, `IP:PORT`.
    pub poll: String,
    /// Address at which it takes replication messages, `IP:PORT`.
    pub peer: String,
}

/// The control group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSettings {
    /// Folder for the member's state.
    pub folder: PathBuf,
    /// All initial members, this one included.
    #[serde(rename = "member")]
    pub members: Vec<MemberSettings>,
    /// Where this member binds for polls, if not at its member address.
    #[serde(default)]
    pub bind_poll: Option<String>,
    /// Where this member binds for replication, if not at its member address.
    #[serde(default)]
    pub bind_peer: Option<String>,
    /// Port at which members that are not listed take replication messages;
    /// their process names are their IP addresses. Without it, only listed
    /// members may join.
    #[serde(default)]
    pub peer_port: Option<u16>,
    /// Whether this member may help to form a new group.
    #[serde(default = "default_form")]
    pub form: bool,
    /// Time between a leader's heartbeats.
    #[serde(default = "default_heartbeat")]
    pub heartbeat: Span,
    /// Shortest silence of a leader after which a member stands for election.
    #[serde(default = "default_election")]
    pub election: Span,
    /// Entries after which a snapshot is taken.
    #[serde(default = "default_snapshot_entries")]
    pub snapshot_entries: u64,
    /// Size at which a log segment is closed.
    #[serde(default = "default_segment")]
    pub segment: Size,
}

const fn default_form() -> bool {
    true
}

const fn default_heartbeat() -> Span {
    Span::ms(100)
}

const fn default_election() -> Span {
    Span::ms(500)
}

const fn default_snapshot_entries() -> u64 {
    10_000
}

const fn default_segment() -> Size {
    Size(8 << 20)
}

/// An operator's credential.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The partner whose tickets it may submit.
    pub partner: String,
    /// SHA-256 of the bearer token, in hexadecimal.
    pub token_sha256: String,
}

/// Leases.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// How long a process may use a configuration after it sent the poll.
    pub length: Span,
    /// Time between quorum rounds that answer waiting polls.
    pub round: Span,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            length: Span::secs(4),
            round: Span::ms(250),
        }
    }
}

/// How ticket numbers run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Numbering {
    /// Each partner counts its own tickets.
    #[default]
    PerPartner,
    /// All partners share one sequence.
    Shared,
}

/// Ticket settings. All members must agree.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TicketSettings {
    /// How ticket numbers run.
    pub numbering: Numbering,
}

/// Ledger settings. All members must agree.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerSettings {
    /// Number of shards.
    pub shards: u16,
    /// Replicas of a shard.
    pub replicas: u16,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            shards: 1,
            replicas: 3,
        }
    }
}

/// Version health.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthSettings {
    /// Failure rate of a good version.
    pub good_rate: f64,
    /// Failure rate of a bad version.
    pub bad_rate: f64,
    /// Accepted probability of a false suspension.
    pub false_rate: f64,
    /// How long a suspension lasts.
    pub suspension: Span,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            good_rate: 0.02,
            bad_rate: 0.3,
            false_rate: 1e-9,
            suspension: Span::secs(600),
        }
    }
}
