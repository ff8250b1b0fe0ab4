//! Settings of the daemons: one TOML file for each process.
//!
//! [`load`] reads a file and reports all its faults together, each with its line
//! and column. Durations and sizes are strings with a unit (`"250ms"`, `"4KiB"`).

pub mod agent;
mod checks;
pub mod common;
pub mod control;
pub mod document;
pub mod entry;
pub mod units;

pub use agent::AgentSettings;
pub use control::ControlSettings;
pub use document::Document;
pub use entry::EntrySettings;

use crate::core::finding::Findings;
use eyre::WrapErr as _;
use serde::de::DeserializeOwned;
use std::path::Path;

/// Settings of one kind of daemon.
pub trait Settings: DeserializeOwned {
    /// A valid settings file of this daemon. Validation takes values from this file
    /// to continue after a missing or wrong value.
    const EXAMPLE: &'static str;

    /// Adds faults that the field types cannot detect to `findings`, such as two
    /// listeners with the same address.
    fn check(&self, document: &Document<'_>, findings: &mut Findings);
}

/// Reads a daemon's settings file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is not UTF-8, or the
/// [`Findings`] if its contents are invalid.
pub fn load<T: Settings>(path: &Path) -> eyre::Result<T> {
    let text = std::fs::read(path)
        .wrap_err_with(|| format!("failed to read settings file `{}`", path.display()))?;
    let text = String::from_utf8(text)
        .wrap_err_with(|| format!("settings file `{}` is not UTF-8", path.display()))?;
    let settings = parse(&path.display().to_string(), &text)?;
    Ok(settings)
}

/// Parses and validates a daemon's settings. `file` is the name that findings
/// show.
///
/// # Errors
///
/// Returns all faults with their line and column.
pub fn parse<T: Settings>(file: &str, text: &str) -> Result<T, Findings> {
    let mut findings = Findings::default();
    let Some(mut document) = Document::parse(file, text, &mut findings) else {
        return Err(findings);
    };
    let Some(settings) = document.read::<T>(T::EXAMPLE, &mut findings) else {
        return Err(findings);
    };
    settings.check(&document, &mut findings);
    findings.into_result(settings)
}
