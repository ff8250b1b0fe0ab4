//! Settings: one TOML file for each process.
//!
//! Each file is read by [`load`], which collects all faults with their places.
//! Durations and sizes carry their unit in the text (`"250ms"`, `"4KiB"`).

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

/// A daemon's settings.
pub trait Settings: DeserializeOwned {
    /// A valid settings file of this daemon.
    const EXAMPLE: &'static str;

    /// Collects faults that no single field shows, such as clashing ports.
    fn check(&self, document: &Document<'_>, findings: &mut Findings);
}

/// Reads a daemon's settings file.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or all its [`Findings`].
pub fn load<T: Settings>(path: &Path) -> eyre::Result<T> {
    let text = std::fs::read(path)
        .wrap_err_with(|| format!("failed to read settings file `{}`", path.display()))?;
    let text = String::from_utf8(text)
        .wrap_err_with(|| format!("settings file `{}` is not UTF-8", path.display()))?;
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
    let Some(mut document) = Document::parse(file, text, &mut findings) else {
        return Err(findings);
    };
    let Some(settings) = document.read::<T>(T::EXAMPLE, &mut findings) else {
        return Err(findings);
    };
    settings.check(&document, &mut findings);
    findings.into_result(settings)
}
