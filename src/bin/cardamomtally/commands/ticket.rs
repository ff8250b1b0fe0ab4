//! Arguments of `cardamomtally ticket` and its subcommands.

use cardamomtally::ops::{
    OpContext,
    ticket::{self, DiffOptions, HistoryOptions, ShowOptions, SubmitOptions, WaitOptions},
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::{path::PathBuf, time::Duration};

/// Default of `--wait-timeout`, the longest wait for a ticket to be in force at all
/// processes.
const DEFAULT_WAIT_TIMEOUT: &str = "30s";

pub fn cli() -> Command {
    Command::new("ticket")
        .about("Submits tickets, shows them and waits for them")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("submit")
                .about("Submits a ticket; submitting the same ticket again is safe")
                .arg(
                    Arg::new("file")
                        .value_name("FILE")
                        .help("Path of the ticket")
                        .required(true)
                        .value_parser(value_parser!(PathBuf)),
                )
                .arg(
                    Arg::new("wait")
                        .long("wait")
                        .help("Wait until the ticket is in force at all processes")
                        .action(ArgAction::SetTrue),
                )
                .arg(wait_timeout_arg()),
        )
        .subcommand(
            Command::new("show")
                .about("Prints a ticket as it was accepted")
                .arg(partner_arg())
                .arg(number_arg(
                    "number",
                    "Number of the ticket [default: the one in force]",
                )),
        )
        .subcommand(
            Command::new("diff")
                .about("Prints the differences between two tickets")
                .arg(partner_arg())
                .arg(
                    number_arg(
                        "from",
                        "Number of the older ticket [default: the one before the newer]",
                    )
                    .long("from"),
                )
                .arg(
                    number_arg(
                        "to",
                        "Number of the newer ticket [default: the one in force]",
                    )
                    .long("to"),
                ),
        )
        .subcommand(
            Command::new("history")
                .about("Lists the accepted tickets of a partner")
                .arg(partner_arg()),
        )
        .subcommand(
            Command::new("wait")
                .about("Waits until a ticket is in force at all processes")
                .arg(partner_arg())
                .arg(number_arg(
                    "number",
                    "Number of the ticket [default: any ticket in force]",
                ))
                .arg(wait_timeout_arg()),
        )
}

pub fn exec(context: &OpContext, arguments: &ArgMatches) -> eyre::Result<()> {
    let (subcommand, arguments) = arguments.subcommand().expect("clap requires a subcommand");
    match subcommand {
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
                timeout: wait_timeout(arguments),
            },
        ),
        _ => unreachable!("clap accepts only the subcommands of `cli`"),
    }
}

fn submit(context: &OpContext, arguments: &ArgMatches) -> eyre::Result<()> {
    let file = arguments
        .get_one::<PathBuf>("file")
        .cloned()
        .unwrap_or_default();
    let wait = arguments.get_flag("wait").then(|| wait_timeout(arguments));
    ticket::submit(context, &SubmitOptions { file, wait })
}

fn partner_arg() -> Arg {
    Arg::new("partner")
        .value_name("PARTNER")
        .help("Name of the partner")
        .required(true)
}

fn number_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("NUMBER")
        .help(help)
        .value_parser(value_parser!(u64))
}

fn wait_timeout_arg() -> Arg {
    Arg::new("wait-timeout")
        .long("wait-timeout")
        .value_name("DURATION")
        .help("Longest time to wait until the ticket is in force")
        .value_parser(|text: &str| humantime::parse_duration(text))
        .default_value(DEFAULT_WAIT_TIMEOUT)
}

fn text(arguments: &ArgMatches, name: &str) -> String {
    arguments
        .get_one::<String>(name)
        .cloned()
        .unwrap_or_default()
}

fn wait_timeout(arguments: &ArgMatches) -> Duration {
    arguments
        .get_one("wait-timeout")
        .copied()
        .unwrap_or_default()
}
