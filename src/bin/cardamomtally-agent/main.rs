//! The agent daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    cardamomtally::daemon::launch::run("cardamomtally-agent", cardamomtally::agent::run)
}
