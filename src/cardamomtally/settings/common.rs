//! Settings that several daemons share.

use super::units::{Size, Span};
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Faults that need an operator.
    Error,
    /// Faults that the process handles.
    Warning,
    /// What an operator wants to know.
    #[default]
    Info,
    /// What a developer wants to know.
    Debug,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogForm {
    /// Text on a terminal, JSON otherwise.
    #[default]
    Auto,
    /// JSON lines.
    Json,
    /// Text.
    Text,
}

/// Log settings.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: Level,
    /// Form of log lines.
    pub form: LogForm,
}

/// Who and where the process is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// The process's name, unique in the system.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
}

/// An HTTP listener.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HttpSettings {
    /// Address, `IP:PORT`; port 0 takes a free one.
    pub listen: String,
    /// Address that other processes use, if it differs from the bound one.
    pub advertise: Option<String>,
    /// Longest body.
    pub body_limit: Size,
    /// Longest time to receive a body.
    pub body_timeout: Span,
    /// Most requests served at once; more are refused.
    pub request_limit: u32,
    /// Worker threads.
    pub threads: usize,
    /// How long a stop waits for requests in flight.
    pub drain_timeout: Span,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_owned(),
            advertise: None,
            body_limit: Size(1 << 20),
            body_timeout: Span::secs(10),
            request_limit: 8_192,
            threads: 4,
            drain_timeout: Span::secs(60),
        }
    }
}

/// How an entry or agent reaches control.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PollSettings {
    /// Addresses of control members, `IP:PORT`.
    pub members: Vec<String>,
    /// Time between polls.
    pub interval: Span,
    /// Longest wait for one answer before the next member is asked.
    pub timeout: Span,
}

impl Default for PollSettings {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            interval: Span::secs(1),
            timeout: Span::ms(750),
        }
    }
}

/// Time line settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimelineSettings {
    /// Events kept in memory; 0 records none.
    pub events: usize,
    /// File that events are appended to, if any.
    pub file: Option<PathBuf>,
}

impl Default for TimelineSettings {
    fn default() -> Self {
        Self {
            events: 4_096,
            file: None,
        }
    }
}
