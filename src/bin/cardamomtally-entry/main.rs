//! The entry daemon, which receives callers' requests and routes them to agents.

use std::process::ExitCode;

fn main() -> ExitCode {
    cardamomtally::daemon::launch::run("cardamomtally-entry", cardamomtally::entry::run)
}
