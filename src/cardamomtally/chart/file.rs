//! Serde types of a chart file, before its names are resolved.

use crate::core::finding::Findings;
use serde::Deserialize;
use serde_spanned::Spanned;

/// A state or event name and its byte range in the file.
pub(super) type SpannedName = Spanned<String>;

/// Contents of a chart file.
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

/// One `[[transition]]` table: on `event`, each state in `from` changes to `to`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTransition {
    pub(super) from: Vec<SpannedName>,
    pub(super) event: SpannedName,
    pub(super) to: SpannedName,
}

/// Parses a chart file without checking the names in it.
///
/// A syntax or type error is returned as a single finding.
pub(super) fn read(file: &str, text: &str) -> Result<RawChart, Findings> {
    toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        let mut findings = Findings::default();
        findings.add(file, text, offset, error.message());
        findings
    })
}
