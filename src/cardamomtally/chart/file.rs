//! The form of a chart file.

use crate::core::finding::Findings;
use serde::Deserialize;
use serde_spanned::Spanned;

/// A name and where it stands.
pub(super) type SpannedName = Spanned<String>;

/// A chart as it is written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawChart {
    pub(super) initial: SpannedName,
    #[serde(rename = "final")]
    pub(super) terminal: Vec<SpannedName>,
    pub(super) states: Vec<SpannedName>,
    pub(super) events: Vec<SpannedName>,
    #[serde(rename = "transition")]
    pub(super) transitions: Vec<RawTransition>,
}

/// A transition as it is written: from each of some states to one state.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTransition {
    pub(super) from: Vec<SpannedName>,
    pub(super) event: SpannedName,
    pub(super) to: SpannedName,
}

/// Reads a chart file, without a look at what its names mean.
pub(super) fn read(file: &str, text: &str) -> Result<RawChart, Findings> {
    toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        let mut findings = Findings::default();
        findings.add(file, text, offset, error.message());
        findings
    })
}
