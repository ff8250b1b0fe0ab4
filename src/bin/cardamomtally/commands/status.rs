//! Arguments of `cardamomtally status`.

use cardamomtally::ops::{OpContext, status};
use clap::{Arg, ArgAction, ArgMatches, Command};

pub fn cli() -> Command {
    Command::new("status")
        .about("Shows which tickets are in force, and the state of members and processes")
        .arg(
            Arg::new("all")
                .long("all")
                .help("List all processes, not only those that are out of date or no longer poll")
                .action(ArgAction::SetTrue),
        )
}

pub fn exec(context: &OpContext, arguments: &ArgMatches) -> eyre::Result<()> {
    let options = status::StatusOptions {
        all: arguments.get_flag("all"),
    };
    status::run(context, &options)
}
