//! The control daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    cardamomtally::daemon::launch::run("cardamomtally-control", cardamomtally::control::run)
}
