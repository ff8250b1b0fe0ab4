//! Settings file of `cardamomtally-agent`, with its defaults and checks.

use super::{
    Document, Settings, checks,
    common::{HttpSettings, LogSettings, PollSettings, ProcessSettings, TimelineSettings},
    units::{Size, Span},
};
use crate::core::finding::Findings;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Contents of the settings file of `cardamomtally-agent`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Identity of the process. Its name must be the name that tickets give to
    /// the backend server of this agent.
    pub process: ProcessSettings,
    /// HTTP listener for entries, health checks and metrics.
    #[serde(default)]
    pub http: HttpSettings,
    /// Addresses and timing of polls to the control members.
    pub control: PollSettings,
    /// Backend server that this agent manages.
    pub backend: BackendSettings,
    /// Admission limit and queue.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// Retention of attempt records, answers and usage records.
    #[serde(default)]
    pub records: RecordSettings,
    /// Weight store that permits model loads.
    #[serde(default)]
    pub weights: WeightSettings,
    /// Platform API that lists the VMs.
    #[serde(default)]
    pub platform: PlatformSettings,
    /// Level and format of log lines.
    #[serde(default)]
    pub log: LogSettings,
    /// Storage of events for the time line.
    #[serde(default)]
    pub timeline: TimelineSettings,
}

impl Settings for AgentSettings {
    const EXAMPLE: &'static str = include_str!("../../../examples/agent.toml");

    fn check(&self, document: &Document<'_>, findings: &mut Findings) {
        checks::process(&self.process, document, findings);
        checks::http(&self.http, document, findings);
        checks::poll(&self.control, document, findings);
        checks::url(&self.backend.url, "backend.url", document, findings);
        checks::nonzero_span(
            self.backend.load_interval,
            "backend.load_interval",
            document,
            findings,
        );
        checks::nonzero_count(
            self.admission.cold_limit.into(),
            "admission.cold_limit",
            document,
            findings,
        );
        checks::nonzero_span(
            self.admission.target,
            "admission.target",
            document,
            findings,
        );
        if self.admission.cold_limit > self.admission.warm_limit {
            let message = "`cold_limit` must not be above `warm_limit`";
            document.add_finding(findings, "admission.cold_limit", message);
        }
        checks::optional_url(
            self.weights.url.as_deref(),
            "weights.url",
            document,
            findings,
        );
        checks::optional_url(
            self.platform.url.as_deref(),
            "platform.url",
            document,
            findings,
        );
        checks::nonzero_span(
            self.platform.interval,
            "platform.interval",
            document,
            findings,
        );
    }
}

/// Connection from the agent to its backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// URL of the backend server, such as `http://127.0.0.1:9000`.
    pub url: String,
    /// Longest time without data from the backend server during an attempt.
    /// After that, the agent treats the connection as failed.
    #[serde(default = "default_idle")]
    pub idle_timeout: Span,
    /// Time between requests for the backend server's load report.
    #[serde(default = "default_load_interval")]
    pub load_interval: Span,
}

const fn default_idle() -> Span {
    Span::secs(10)
}

const fn default_load_interval() -> Span {
    Span::ms(200)
}

/// Limits on the attempts that the agent runs and queues at the same time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Concurrency limit of a cold backend server. The limit never falls below
    /// this value.
    pub cold_limit: u32,
    /// Highest concurrency limit of a warm backend server.
    pub warm_limit: u32,
    /// Number of attempts by which each successful completion raises the limit
    /// while the backend server warms up.
    pub growth: f64,
    /// Highest acceptable time to first token. The agent lowers the limit when an
    /// attempt takes longer.
    pub target: Span,
    /// Queue capacity, in attempts. When the queue is full, the agent rejects an
    /// attempt.
    pub queue: u32,
    /// Longest time in the queue. After that, the agent rejects the attempt.
    pub queue_timeout: Span,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            cold_limit: 2,
            warm_limit: 64,
            growth: 0.5,
            target: Span::ms(330),
            queue: 32,
            queue_timeout: Span::secs(2),
        }
    }
}

/// Retention of attempt records, answers and usage records.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RecordSettings {
    /// Folder for usage records, so that they survive a restart of the agent.
    /// Without a folder, they are kept in memory only.
    pub folder: Option<PathBuf>,
    /// How long the record of an attempt is kept after the attempt has ended.
    pub keep: Span,
    /// Most bytes of an answer that are kept, so that an entry can resume reading
    /// after a broken connection.
    pub answer_limit: Size,
    /// How long the agent waits for an entry to report that it has committed the
    /// bill of a completed attempt. After that, the agent commits the bill, as the
    /// entry may have crashed.
    pub bill_grace: Span,
}

impl Default for RecordSettings {
    fn default() -> Self {
        Self {
            folder: None,
            keep: Span::secs(600),
            answer_limit: Size(1 << 20),
            bill_grace: Span::secs(15),
        }
    }
}

/// Weight store, which rate-limits the loading of model weights.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightSettings {
    /// URL of the weight store. Without a URL, the agent loads weights without a
    /// permit.
    pub url: Option<String>,
}

/// Platform API that lists the VMs and those that are about to be removed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// URL of the platform API. Without a URL, the agent does not learn of planned
    /// removals.
    pub url: Option<String>,
    /// Time between requests for the list.
    pub interval: Span,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            url: None,
            interval: Span::secs(2),
        }
    }
}
