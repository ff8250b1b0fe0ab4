//! The entry daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    cardamomtally::daemon::launch::run("cardamomtally-entry", cardamomtally::entry::run)
}
