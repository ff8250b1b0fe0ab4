//! The `check` command, which checks settings and ticket files without a running system.
//!
//! A file does not say what it is, so its kind follows from its top-level keys.

use super::{Exit, OpContext};
use crate::{
    control::ticket,
    core::finding::Findings,
    settings::{self, AgentSettings, ControlSettings, EntrySettings},
};
use eyre::WrapErr as _;
use std::path::{Path, PathBuf};

/// Top-level keys that only a ticket has.
const TICKET_KEYS: [&str; 2] = ["partner", "number"];

/// Top-level keys that only a control member's settings have.
const CONTROL_KEYS: [&str; 6] = ["group", "operator", "lease", "tickets", "ledger", "health"];

/// Top-level keys that only an agent's settings have.
const AGENT_KEYS: [&str; 5] = ["backend", "admission", "records", "weights", "platform"];

/// Options of the `check` command.
#[derive(Clone, Debug, Default)]
pub struct CheckOptions {
    /// The files to check.
    pub files: Vec<PathBuf>,
}

/// Kind of a file, which decides what it is checked against.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FileKind {
    Agent,
    Control,
    Entry,
    Ticket,
}

/// Checks files, and prints the findings of all of them.
///
/// # Errors
///
/// Returns an error if a file cannot be read or is not UTF-8, and [`Exit::Refused`] if
/// there are findings.
pub fn run(context: &OpContext, options: &CheckOptions) -> eyre::Result<()> {
    let mut findings = Findings::default();
    for file in &options.files {
        let mut found = check_file(file)?;
        let verb = if found.0.is_empty() {
            "Checked"
        } else {
            "Refused"
        };
        context.shell.status(verb, file.display());
        findings.0.append(&mut found.0);
    }
    if findings.0.is_empty() {
        return Ok(());
    }
    if context.format == super::Format::Json {
        context.shell.result(serde_json::to_string(&findings)?);
    } else {
        context.shell.result(&findings);
    }
    Err(eyre::Report::new(Exit::Refused).wrap_err(format!("found {} faults", findings.0.len())))
}

fn check_file(path: &Path) -> eyre::Result<Findings> {
    let text =
        std::fs::read(path).wrap_err_with(|| format!("failed to read `{}`", path.display()))?;
    let text =
        String::from_utf8(text).wrap_err_with(|| format!("`{}` is not UTF-8", path.display()))?;
    let file = path.display().to_string();
    let outcome = match kind_of(&text) {
        FileKind::Agent => settings::parse::<AgentSettings>(&file, &text).map(drop),
        FileKind::Control => settings::parse::<ControlSettings>(&file, &text).map(drop),
        FileKind::Entry => settings::parse::<EntrySettings>(&file, &text).map(drop),
        FileKind::Ticket => ticket::check(&file, &text, None).map(drop),
    };
    Ok(outcome.err().unwrap_or_default())
}

/// Determines a file's kind from its top-level keys, also if the file does not parse as
/// a whole. A file with none of the special keys counts as settings of an entry.
fn kind_of(text: &str) -> FileKind {
    let (tree, _errors) = toml::de::DeTable::parse_recoverable(text);
    let has = |keys: &[&str]| keys.iter().any(|key| tree.get_ref().get(*key).is_some());
    if has(&TICKET_KEYS) {
        FileKind::Ticket
    } else if has(&CONTROL_KEYS) {
        FileKind::Control
    } else if has(&AGENT_KEYS) {
        FileKind::Agent
    } else {
        FileKind::Entry
    }
}
