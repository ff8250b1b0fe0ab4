//! The agent daemon, which runs beside a backend server and passes attempts to it.

use std::process::ExitCode;

fn main() -> ExitCode {
    cardamomtally::daemon::launch::run("cardamomtally-agent", cardamomtally::agent::run)
}
