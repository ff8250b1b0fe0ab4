//! One module for each verb.

mod bills;
mod check;
mod completions;
mod demo;
mod status;
mod ticket;
mod timeline;

use cardamomtally::ops::OpContext;
use clap::{ArgMatches, Command};

/// Returns the commands of all verbs.
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

/// Runs a verb.
pub fn exec(context: &OpContext, verb: &str, arguments: &ArgMatches) -> eyre::Result<()> {
    match verb {
        "bills" => bills::exec(context, arguments),
        "check" => check::exec(context, arguments),
        "completions" => completions::exec(arguments),
        "demo" => demo::exec(context, arguments),
        "status" => status::exec(context, arguments),
        "ticket" => ticket::exec(context, arguments),
        "timeline" => timeline::exec(context, arguments),
        _ => unreachable!("clap knows only the verbs of `builtin`"),
    }
}
