//! `cardamomtally ticket`.

use cardamomtally::ops::{
    OpContext,
    ticket::{self, DiffOptions, HistoryOptions, ShowOptions, SubmitOptions, WaitOptions},
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::{path::PathBuf, time::Duration};

/// Longest wait for a ticket to be in force, unless another is given.
const WAIT: &str = "30s";

pub fn cli() -> Command {
    Command::new("ticket")
        .about("Submits and shows tickets")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("submit")
                .about("Submits a ticket; the same ticket may be submitted again")
                .arg(
                    Arg::new("file")
                        .value_name("FILE")
                        .help("The ticket")
                        .required(true)
                        .value_parser(value_parser!(PathBuf)),
                )
                .arg(
                    Arg::new("wait")
                        .long("wait")
                        .help("Wait until it is in force at all processes")
                        .action(ArgAction::SetTrue),
                )
                .arg(wait_timeout()),
        )
        .subcommand(
            Command::new("show")
                .about("Prints a ticket as it was accepted")
                .arg(partner())
                .arg(number(
                    "number",
                    "The ticket's number; the one in force if none",
                )),
        )
        .subcommand(
            Command::new("diff")
                .about("Prints what differs between two tickets")
                .arg(partner())
                .arg(number("from", "The older; the one before the newer if none").long("from"))
                .arg(number("to", "The newer; the one in force if none").long("to")),
        )
        .subcommand(
            Command::new("history")
                .about("Lists accepted tickets")
                .arg(partner()),
        )
        .subcommand(
            Command::new("wait")
                .about("Waits until a ticket is in force at all processes")
                .arg(partner())
                .arg(number(
                    "number",
                    "The ticket's number; the one in force if none",
                ))
                .arg(wait_timeout()),
        )
}

pub fn exec(context: &OpContext, arguments: &ArgMatches) -> eyre::Result<()> {
    let (verb, arguments) = arguments.subcommand().expect("clap requires a verb");
    match verb {
        "submit" => submit(context, arguments),
        "show" => ticket::show(
            context,
            &ShowOptions {
                partner: text(arguments, "partner"),
                number: arguments.get_one("number").copied(),
            },
        ),
        "diff" => ticket::diff(
            context,
            &DiffOptions {
                partner: text(arguments, "partner"),
                from: arguments.get_one("from").copied(),
                to: arguments.get_one("to").copied(),
            },
        ),
        "history" => ticket::history(
            context,
            &HistoryOptions {
                partner: text(arguments, "partner"),
            },
        ),
        "wait" => ticket::wait(
            context,
            &WaitOptions {
                partner: text(arguments, "partner"),
                number: arguments.get_one("number").copied(),
                timeout: span(arguments),
            },
        ),
        _ => unreachable!("clap knows only the verbs of `cli`"),
    }
}

fn submit(context: &OpContext, arguments: &ArgMatches) -> eyre::Result<()> {
    let file = arguments
        .get_one::<PathBuf>("file")
        .cloned()
        .unwrap_or_default();
    let wait = arguments.get_flag("wait").then(|| span(arguments));
    ticket::submit(context, &SubmitOptions { file, wait })
}

fn partner() -> Arg {
    Arg::new("partner")
        .value_name("PARTNER")
        .help("The partner")
        .required(true)
}

fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("NUMBER")
        .help(help)
        .value_parser(value_parser!(u64))
}

fn wait_timeout() -> Arg {
    Arg::new("wait-timeout")
        .long("wait-timeout")
        .value_name("DURATION")
        .help("Longest wait")
        .value_parser(|text: &str| humantime::parse_duration(text))
        .default_value(WAIT)
}

fn text(arguments: &ArgMatches, name: &str) -> String {
    arguments
        .get_one::<String>(name)
        .cloned()
        .unwrap_or_default()
}

fn span(arguments: &ArgMatches) -> Duration {
    arguments
        .get_one("wait-timeout")
        .copied()
        .unwrap_or_default()
}
