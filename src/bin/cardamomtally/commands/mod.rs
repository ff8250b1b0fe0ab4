//! One module for each verb.

mod check;
mod completions;
mod demo;
mod timeline;

use cardamomtally::ops::OpContext;
use clap::{ArgMatches, Command};

/// Returns the commands of all verbs.
pub fn builtin() -> Vec<Command> {
    vec![
        check::cli(),
        completions::cli(),
        demo::cli(),
        timeline::cli(),
    ]
}

/// Runs a verb.
pub fn exec(context: &OpContext, verb: &str, arguments: &ArgMatches) -> eyre::Result<()> {
    match verb {
        "check" => check::exec(context, arguments),
        "completions" => completions::exec(arguments),
        "demo" => demo::exec(context, arguments),
        "timeline" => timeline::exec(context, arguments),
        _ => unreachable!("clap knows only the verbs of `builtin`"),
    }
}
