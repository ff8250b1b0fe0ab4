//! Settings file of `cardamomtally-control`, with its defaults and checks.

use super::{
    Document, Settings, checks,
    common::{HttpSettings, LogSettings, ProcessSettings, TimelineSettings},
    units::{Size, Span},
};
use crate::core::finding::Findings;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Contents of the settings file of `cardamomtally-control`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Identity of the process. Its name must be one of the group's members.
    pub process: ProcessSettings,
    /// HTTP listener for operators, health checks and metrics.
    #[serde(default)]
    pub http: HttpSettings,
    /// Members of the control group and parameters of its replicated log.
    pub group: GroupSettings,
    /// Credentials of the operators who may submit tickets.
    #[serde(default, rename = "operator")]
    pub operators: Vec<OperatorSettings>,
    /// Duration of configuration leases.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Numbering of tickets.
    #[serde(default)]
    pub tickets: TicketSettings,
    /// Sharding and replication of the ledger.
    #[serde(default)]
    pub ledger: LedgerSettings,
    /// Detection and suspension of bad versions.
    #[serde(default)]
    pub health: HealthSettings,
    /// Level and format of log lines.
    #[serde(default)]
    pub log: LogSettings,
    /// Storage of events for the time line.
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
    /// Returns all addresses of the file, to detect two that are the same.
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

/// Name and addresses of a control member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// Process name of the member.
    pub name: String,
    /// Address at which the member answers polls and claims, `IP:PORT`.
    pub poll: String,
    /// Address at which the member receives replication messages, `IP:PORT`.
    pub peer: String,
}

/// Members of the control group and parameters of its replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSettings {
    /// Folder for the member's log and snapshots.
    pub folder: PathBuf,
    /// All initial members, including this one.
    #[serde(rename = "member")]
    pub members: Vec<MemberSettings>,
    /// Address to bind for polls, if it differs from this member's poll address.
    #[serde(default)]
    pub bind_poll: Option<String>,
    /// Address to bind for replication, if it differs from this member's peer
    /// address.
    #[serde(default)]
    pub bind_peer: Option<String>,
    /// Port at which members that are not listed above receive replication
    /// messages. The process names of such members are their IP addresses. Without
    /// this port, only listed members may join the group.
    #[serde(default)]
    pub peer_port: Option<u16>,
    /// Number of members whose disks may be lost at once. A group that others may join keeps
    /// twice as many voters and one more, as soon as it has them.
    #[serde(default = "default_losses")]
    pub losses: u8,
    /// Whether this member may take part in forming a new group.
    #[serde(default = "default_form")]
    pub form: bool,
    /// Time between two heartbeats of the leader.
    #[serde(default = "default_heartbeat")]
    pub heartbeat: Span,
    /// Shortest election timeout: a follower that has not heard from the leader
    /// for this time may start an election.
    #[serde(default = "default_election")]
    pub election: Span,
    /// Number of log entries after which the member writes a snapshot.
    #[serde(default = "default_snapshot_entries")]
    pub snapshot_entries: u64,
    /// Size at which a log segment is closed and a new one is started.
    #[serde(default = "default_segment")]
    pub segment: Size,
}

const fn default_losses() -> u8 {
    1
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

/// Credential of an operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Partner for which the operator may submit tickets.
    pub partner: String,
    /// SHA-256 of the operator's bearer token, as 64 hexadecimal digits.
    pub token_sha256: String,
}

/// Duration of configuration leases, and timing of the rounds that grant them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// How long a process may use a configuration, counted from the moment at
    /// which the process sent the poll.
    pub length: Span,
    /// Time between two quorum rounds. Each round answers all polls that have
    /// arrived since the previous round.
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

/// Which tickets share a sequence of numbers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Numbering {
    /// Each partner has its own sequence.
    #[default]
    PerPartner,
    /// The tickets of all partners share one sequence.
    Shared,
}

/// Numbering of tickets. All control members must have the same values.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TicketSettings {
    /// Which tickets share a sequence of numbers.
    pub numbering: Numbering,
}

/// Sharding and replication of the ledger. All control members must have the same
/// values.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerSettings {
    /// Number of shards, each with its own replicated log.
    pub shards: u16,
    /// Number of control members that replicate a shard. The number must be odd:
    /// one more replica would enlarge the majority without tolerating another
    /// failure.
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

/// Parameters of the statistical test that detects bad versions, and of their
/// suspension.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthSettings {
    /// Failure rate that is normal for a good version, from 0 to 1.
    pub good_rate: f64,
    /// Failure rate that marks a bad version, from 0 to 1. The value must be above
    /// `good_rate`.
    pub bad_rate: f64,
    /// Accepted probability that the test suspends a good version.
    pub false_rate: f64,
    /// Duration of a version's first suspension. The duration doubles with each
    /// further suspension of the version, up to a limit.
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
