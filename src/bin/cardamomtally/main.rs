//! The operator's command line.
//!
//! Each verb in [`commands`] only translates its arguments into an options
//! struct and calls the function of [`cardamomtally::ops`] of the same name.

mod cli;
mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
