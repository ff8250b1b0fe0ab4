//! The commands, one module for each.
//!
//! `cli` builds a command's parser, and `exec` runs the command with parsed arguments.

mod bills;
mod check;
mod completions;
mod demo;
mod status;
mod ticket;
mod timeline;

use cardamomtally::ops::OpContext;
use clap::{ArgMatches, Command};

/// Returns the parsers of all commands.
pub fn builtin() -> Vec<Command> {
    vec![
        bills::cli(),
        check::cli(),
        completions::cli(),
        demo::cli(),
        status::cli(),
        ticket::cli(),
        timeline::cli(),
    ]
}

/// Runs the command of this name.
///
/// # Panics
///
/// Panics if [`builtin`] has no command of this name, which the parser rules out.
pub fn exec(context: &OpContext, command: &str, arguments: &ArgMatches) -> eyre::Result<()> {
    match command {
        "bills" => bills::exec(context, arguments),
        "check" => check::exec(context, arguments),
        "completions" => completions::exec(arguments),
        "demo" => demo::exec(context, arguments),
        "status" => status::exec(context, arguments),
        "ticket" => ticket::exec(context, arguments),
        "timeline" => timeline::exec(context, arguments),
        _ => unreachable!("clap accepts only the commands of `builtin`"),
    }
}
