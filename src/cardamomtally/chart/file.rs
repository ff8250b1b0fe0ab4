//! The form of a chart file.

use crate::core::finding::Findings;
use serde::Deserialize;
use serde_spanned::Spanned;

/// A name and where it stands.
pub(super) type Place = Spanned<String>;

/// A chart as it is written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChartForm {
    pub(super) initial: Place,
    #[serde(rename = "final")]
    pub(super) terminal: Vec<Place>,
    pub(super) states: Vec<Place>,
    pub(super) events: Vec<Place>,
    #[serde(rename = "transition")]
    pub(super) transitions: Vec<TransitionForm>,
}

/// A transition as it is written: from each of some states to one state.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TransitionForm {
    pub(super) from: Vec<Place>,
    pub(super) event: Place,
    pub(super) to: Place,
}

/// Reads a chart file, without a look at what its names mean.
pub(super) fn read(file: &str, text: &str) -> Result<ChartForm, Findings> {
    toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        let mut findings = Findings::default();
        findings.add(file, text, offset, error.message());
        findings
    })
}
