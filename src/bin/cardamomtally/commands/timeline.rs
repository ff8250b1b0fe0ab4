//! Arguments of `cardamomtally timeline`.

use cardamomtally::ops::{OpContext, timeline};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::path::PathBuf;

pub fn cli() -> Command {
    Command::new("timeline")
        .about("Merges the events of all processes into one order")
        .arg(
            Arg::new("process")
                .long("process")
                .value_name("IP:PORT")
                .help("HTTP address of a process, may be repeated [default: the control members and the processes that they know]")
                .action(ArgAction::Append),
        )
        .arg(
            Arg::new("subject")
                .long("subject")
                .value_name("TEXT")
                .help("Include only events whose subject or text contains this, such as `request ID` or `ticket P/N`"),
        )
        .arg(
            Arg::new("html")
                .long("html")
                .value_name("FILE")
                .help("Write the events to this file as a self-contained HTML page instead of printing them")
                .value_parser(value_parser!(PathBuf)),
        )
}

pub fn exec(context: &OpContext, arguments: &ArgMatches) -> eyre::Result<()> {
    let processes = arguments.get_many("process").unwrap_or_default().cloned();
    let options = timeline::TimelineOptions {
        processes: processes.collect(),
        subject: arguments.get_one::<String>("subject").cloned(),
        html: arguments.get_one::<PathBuf>("html").cloned(),
    };
    timeline::run(context, &options)
}
