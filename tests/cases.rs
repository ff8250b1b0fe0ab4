//! Data-driven tests of settings files and of tickets that are checked offline.
//!
//! Files in a `good` folder must be accepted. Files in a `bad` folder must be
//! rejected with exactly the findings in the `.findings` file of the same name.

use cardamomtally::{
    control::ticket::{self, Ticket},
    core::finding::Findings,
    settings::{self, AgentSettings, ControlSettings, EntrySettings},
};
use std::path::Path;

type Outcome = datatest_stable::Result<()>;

/// Parses a settings file. The first word of the file name selects the daemon.
fn read_settings(path: &Path) -> datatest_stable::Result<Result<(), Findings>> {
    let text = std::fs::read_to_string(path)?;
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    Ok(match name.split(['-', '.']).next() {
        Some("agent") => settings::parse::<AgentSettings>(&name, &text).map(drop),
        Some("control") => settings::parse::<ControlSettings>(&name, &text).map(drop),
        Some("entry") => settings::parse::<EntrySettings>(&name, &text).map(drop),
        _ => return Err(format!("no daemon is named in `{name}`").into()),
    })
}

fn good_settings(path: &Path) -> Outcome {
    Ok(read_settings(path)??)
}

fn bad_settings(path: &Path) -> Outcome {
    let expected = std::fs::read_to_string(path.with_extension("findings"))?;

    let findings = read_settings(path)?.expect_err("the settings are faulty");

    assert_eq!(findings.to_string(), expected.trim_end());
    Ok(())
}

fn read_ticket(path: &Path) -> datatest_stable::Result<Result<Ticket, Findings>> {
    let text = std::fs::read_to_string(path)?;
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    Ok(ticket::check(&name, &text, None))
}

fn good_ticket(path: &Path) -> Outcome {
    read_ticket(path)??;
    Ok(())
}

fn bad_ticket(path: &Path) -> Outcome {
    let expected = std::fs::read_to_string(path.with_extension("findings"))?;

    let findings = read_ticket(path)?.expect_err("the ticket is faulty");

    assert_eq!(findings.to_string(), expected.trim_end());
    Ok(())
}

datatest_stable::harness! {
    { test = good_settings, root = "tests/cases/settings/good", pattern = r".*\.toml$" },
    { test = good_settings, root = "examples", pattern = r".*\.toml$" },
    { test = good_ticket, root = "tests/cases/tickets/good", pattern = r".*\.toml$" },
    { test = bad_ticket, root = "tests/cases/tickets/bad", pattern = r".*\.toml$" },
    { test = bad_settings, root = "tests/cases/settings/bad", pattern = r".*\.toml$" },
}
