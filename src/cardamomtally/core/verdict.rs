//! What a refusal says about whether the request ran.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a request that got no ordinary answer ran at a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No backend server ran it, and none will: proved, not assumed.
    NotRun,
    /// It ran; the full answer is not available any more.
    Ran,
    /// It may have run. It is not run again.
    Unknown,
}

impl Verdict {
    /// Returns the word used in headers and problem documents.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }

    /// Parses the word used in headers.
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
