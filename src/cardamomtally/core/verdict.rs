//! Whether a request ran, as stated in refusals and failed answers.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a request that got no regular answer ran at a backend server. Callers
/// use it to decide whether to send the request again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It is proved that no backend server ran the request or will run it.
    NotRun,
    /// The request ran, and its complete answer is no longer available.
    Ran,
    /// The request may have run. The system does not run it again.
    Unknown,
}

impl Verdict {
    /// Returns the value for headers and problem documents.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }

    /// Parses the value of a header. Returns `None` for any other text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        [Self::NotRun, Self::Ran, Self::Unknown]
            .into_iter()
            .find(|v| v.as_str() == text)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
