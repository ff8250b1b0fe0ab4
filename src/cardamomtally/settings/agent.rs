//! Settings of an agent.

use super::{
    Document, Settings, checks,
    common::{HttpSettings, LogSettings, PollSettings, ProcessSettings, TimelineSettings},
    units::{Size, Span},
};
use crate::core::finding::Findings;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Settings file of `cardamomtally-agent`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Who and where it is. The name is the backend server's in tickets.
    pub process: ProcessSettings,
    /// Its HTTP listener.
    #[serde(default)]
    pub http: HttpSettings,
    /// How it reaches control.
    pub control: PollSettings,
    /// The backend server beside it.
    pub backend: BackendSettings,
    /// Admission.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// Attempt and usage records.
    #[serde(default)]
    pub records: RecordSettings,
    /// The weight store.
    #[serde(default)]
    pub weights: WeightSettings,
    /// The platform's list of VMs.
    #[serde(default)]
    pub platform: PlatformSettings,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
    /// Time line settings.
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

/// The backend server beside the agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Its URL, such as `http://127.0.0.1:9000`.
    pub url: String,
    /// Longest silence in an answer.
    #[serde(default = "default_idle")]
    pub idle_timeout: Span,
    /// Time between readings of its load report.
    #[serde(default = "default_load_interval")]
    pub load_interval: Span,
}

const fn default_idle() -> Span {
    Span::secs(10)
}

const fn default_load_interval() -> Span {
    Span::ms(200)
}

/// Admission.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Attempts that a cold backend server bears at once.
    pub cold_limit: u32,
    /// Attempts that a warm one bears at once.
    pub warm_limit: u32,
    /// What each good completion adds to the limit while it warms up.
    pub growth: f64,
    /// Time to first token above which the limit shrinks.
    pub target: Span,
    /// Most attempts that wait.
    pub queue: u32,
    /// Longest wait.
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

/// Attempt and usage records.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RecordSettings {
    /// Folder for usage records that outlive the process; none keeps them in
    /// memory.
    pub folder: Option<PathBuf>,
    /// How long an attempt's record is kept after its end.
    pub keep: Span,
    /// Bytes of an answer that are kept for resumption.
    pub answer_limit: Size,
    /// How long the agent waits for an entry's bill before it bills itself.
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

/// The weight store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightSettings {
    /// Its URL; none if loads need no permit.
    pub url: Option<String>,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Its URL; none if there is no list.
    pub url: Option<String>,
    /// Time between readings.
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
