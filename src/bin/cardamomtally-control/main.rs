//! The control daemon, a member of the replicated group that stores the configuration.

use std::process::ExitCode;

fn main() -> ExitCode {
    cardamomtally::daemon::launch::run("cardamomtally-control", cardamomtally::control::run)
}
