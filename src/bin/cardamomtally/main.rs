//! The operator's command line.
//!
//! A module in [`commands`] only converts the arguments of its command into an options
//! struct and passes it to the function in [`cardamomtally::ops`] that does the work.

mod cli;
mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
