//! Arguments of `cardamomtally check`.

use cardamomtally::ops::{OpContext, check};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::path::PathBuf;

pub fn cli() -> Command {
    Command::new("check")
        .about("Checks settings and ticket files, without a running system")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("Settings or ticket file")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf)),
        )
}

pub fn exec(context: &OpContext, arguments: &ArgMatches) -> eyre::Result<()> {
    let files = arguments.get_many("file").unwrap_or_default().cloned();
    let options = check::CheckOptions {
        files: files.collect(),
    };
    check::run(context, &options)
}
