//! `cardamomtally status`.

use cardamomtally::ops::{OpContext, status};
use clap::{Arg, ArgAction, ArgMatches, Command};

pub fn cli() -> Command {
    Command::new("status")
        .about("Shows the tickets in force, and where")
        .arg(
            Arg::new("all")
                .long("all")
                .help("List each process, not only those that lag or are silent")
                .action(ArgAction::SetTrue),
        )
}

pub fn exec(context: &OpContext, arguments: &ArgMatches) -> eyre::Result<()> {
    let options = status::StatusOptions {
        all: arguments.get_flag("all"),
    };
    status::run(context, &options)
}
