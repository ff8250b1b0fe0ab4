//! Settings: one TOML file for each process.
//!
//! Each file is read by [`load`], which collects all faults with their places.
//! Durations and sizes carry their unit in the text (`"250ms"`, `"4KiB"`).

pub mod agent;
pub mod common;
pub mod control;
pub mod entry;
pub mod units;

pub use agent::AgentSettings;
pub use control::ControlSettings;
pub use entry::EntrySettings;

use crate::core::finding::Findings;
use eyre::WrapErr as _;
use serde::de::DeserializeOwned;
use std::path::Path;

/// A daemon's settings.
pub trait Settings: DeserializeOwned {
    /// Collects faults that no single field shows, such as clashing ports.
    fn check(&self, file: &str, text: &str, findings: &mut Findings);
}

/// Reads a daemon's settings file.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or all its [`Findings`].
pub fn load<T: Settings>(path: &Path) -> eyre::Result<T> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("failed to read settings file `{}`", path.display()))?;
    let settings = parse(&path.display().to_string(), &text)?;
    Ok(settings)
}

/// Reads a daemon's settings from text.
///
/// # Errors
///
/// Returns all faults with their places.
pub fn parse<T: Settings>(file: &str, text: &str) -> Result<T, Findings> {
    let mut findings = Findings::default();
    let settings: T = match toml::from_str(text) {
        Ok(settings) => settings,
        Err(error) => {
            let offset = error.span().map_or(0, |span| span.start);
            findings.add(file, text, offset, error.message());
            return Err(findings);
        }
    };
    settings.check(file, text, &mut findings);
    findings.into_result(settings)
}
