//! Data-driven tests: settings files that must be accepted.

use cardamomtally::settings::{self, AgentSettings, ControlSettings, EntrySettings};
use std::path::Path;

type Outcome = datatest_stable::Result<()>;

fn good_settings(path: &Path) -> Outcome {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    match name.split('-').next() {
        Some("agent") => settings::load::<AgentSettings>(path).map(drop)?,
        Some("control") => settings::load::<ControlSettings>(path).map(drop)?,
        Some("entry") => settings::load::<EntrySettings>(path).map(drop)?,
        _ => return Err(format!("no daemon is named in `{name}`").into()),
    }
    Ok(())
}

datatest_stable::harness! {
    { test = good_settings, root = "tests/cases/settings/good", pattern = r".*\.toml$" },
}
