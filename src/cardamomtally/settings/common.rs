//! Settings tables that occur in the files of several daemons.

use super::units::{Size, Span};
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Errors that need action by an operator.
    Error,
    /// Errors that the process handles by itself.
    Warning,
    /// Normal operation, for operators.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogForm {
    /// Text if standard error is a terminal, JSON otherwise.
    #[default]
    Auto,
    /// One JSON object on each line.
    Json,
    /// Text for people, in colour on a terminal.
    Text,
}

/// Level and format of log lines.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest severity that is logged. Less severe lines are discarded.
    pub level: Level,
    /// Format of log lines.
    pub form: LogForm,
}

/// Identity and location of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name of the process, unique in the system.
    pub name: String,
    /// Data centre of the process, as named in tickets.
    pub data_centre: String,
}

/// Address and limits of a daemon's HTTP listener.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HttpSettings {
    /// Address to bind, `IP:PORT`. With port 0, the operating system chooses a
    /// free port.
    pub listen: String,
    /// Address that other processes connect to, if it differs from the bound
    /// address.
    pub advertise: Option<String>,
    /// Largest request body. Larger bodies are refused.
    pub body_limit: Size,
    /// Longest time to receive a request body. After that, the request is refused.
    pub body_timeout: Span,
    /// Memory for request bodies and responses of all requests together. Beyond it, a request
    /// whose body is not small is refused.
    pub body_memory: Size,
    /// Largest number of open connections. At most two fifths of the file descriptors that
    /// the process may open are used. Beyond it, the connection that sends least is closed.
    pub connection_limit: u32,
    /// Largest head of a request.
    pub head_limit: Size,
    /// Longest time to receive the head of a request. After that, the connection is closed.
    pub head_timeout: Span,
    /// Time after which a connection without a request is closed. Longer than clients
    /// commonly keep one for reuse (90 s).
    pub idle_timeout: Span,
    /// Most requests that are served at the same time; more are refused.
    pub request_limit: u32,
    /// Worker threads of the daemon's async runtime.
    pub threads: usize,
    /// How long a stopping daemon waits for requests in flight to end.
    pub drain_timeout: Span,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_owned(),
            advertise: None,
            body_limit: Size(1 << 20),
            body_timeout: Span::secs(10),
            body_memory: Size(64 << 20),
            connection_limit: 2_048,
            head_limit: Size(32 << 10),
            head_timeout: Span::secs(10),
            idle_timeout: Span::secs(120),
            request_limit: 8_192,
            threads: 4,
            drain_timeout: Span::secs(60),
        }
    }
}

/// Addresses and timing with which an entry or agent polls the control members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PollSettings {
    /// Poll addresses of the control members, `IP:PORT`.
    pub members: Vec<String>,
    /// Time between polls.
    pub interval: Span,
    /// Longest wait for an answer. After that, the process polls the next member.
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

/// Storage of events for the time line.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimelineSettings {
    /// Number of latest events that are kept in memory. With 0, events are not
    /// recorded at all.
    pub events: usize,
    /// File to which events are appended as JSON lines, if any.
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
