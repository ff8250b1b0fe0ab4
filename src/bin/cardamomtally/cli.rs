//! Parses the command line, runs the command and converts its outcome to an exit code.

use crate::commands;
use cardamomtally::{
    ops::{Exit, Format, OpContext},
    util::shell::{Color, Shell, Verbosity},
};
use clap::{Arg, ArgAction, ArgMatches, Command, builder::PossibleValuesParser};
use std::{process::ExitCode, time::Duration};

/// Exit code of a failure that has no exit code of its own in [`Exit`].
const FAILURE: u8 = 1;

/// Environment variable with the operator's bearer token. `--token-file` overrides it.
const TOKEN_VARIABLE: &str = "CARDAMOMTALLY_TOKEN";

/// Environment variable with the addresses of control members, separated by commas.
/// `--control` overrides it.
const CONTROL_VARIABLE: &str = "CARDAMOMTALLY_CONTROL";

/// Builds the parser of the whole command line, which also serves to generate shell
/// completions.
pub fn cli() -> Command {
    Command::new("cardamomtally")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a model-aware request router, configured by numbered tickets")
        .after_help(
            "Exit codes: 0 success, 1 failure, 2 input refused, 3 no control member answered, \
             4 outcome unknown (run the same command again), 5 timed out.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommands(commands::builtin())
}

fn global_args() -> [Arg; 7] {
    [
        Arg::new("control")
            .long("control")
            .value_name("IP:PORT")
            .help("HTTP address of a control member, may be repeated [env: CARDAMOMTALLY_CONTROL, comma-separated]")
            .action(ArgAction::Append)
            .value_delimiter(',')
            .global(true),
        Arg::new("format")
            .long("format")
            .value_name("FORM")
            .help("Output format of results; a command without CSV prints text instead")
            .value_parser(PossibleValuesParser::new(["text", "json", "csv"]))
            .default_value("text")
            .global(true),
        Arg::new("timeout")
            .long("timeout")
            .value_name("DURATION")
            .help("Longest time for one HTTP call")
            .value_parser(|text: &str| humantime::parse_duration(text))
            .default_value("10s")
            .global(true),
        Arg::new("quiet")
            .long("quiet")
            .short('q')
            .help("Print only results and errors")
            .action(ArgAction::SetTrue)
            .conflicts_with("verbose")
            .global(true),
        Arg::new("verbose")
            .long("verbose")
            .short('v')
            .help("Also print details of what the command does")
            .action(ArgAction::SetTrue)
            .global(true),
        Arg::new("color")
            .long("color")
            .value_name("WHEN")
            .help("When to colour the output")
            .value_parser(PossibleValuesParser::new(["auto", "always", "never"]))
            .default_value("auto")
            .global(true),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .help("File with the operator's bearer token [env: CARDAMOMTALLY_TOKEN]")
            .global(true),
    ]
}

/// Parses the arguments, runs the command, prints its error if it fails, and returns the
/// exit code.
pub fn main() -> ExitCode {
    let matches = cli().get_matches();
    let shell = shell(&matches);
    match dispatch(shell, &matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            shell.error(&error);
            ExitCode::from(exit_code(&error))
        }
    }
}

fn dispatch(shell: Shell, matches: &ArgMatches) -> eyre::Result<()> {
    let context = context(shell, matches)?;
    let (command, arguments) = matches.subcommand().expect("clap requires a command");
    commands::exec(&context, command, arguments)
}

fn shell(matches: &ArgMatches) -> Shell {
    let verbosity = if matches.get_flag("quiet") {
        Verbosity::Quiet
    } else if matches.get_flag("verbose") {
        Verbosity::Verbose
    } else {
        Verbosity::Normal
    };
    let color = match text(matches, "color") {
        "always" => Color::Always,
        "never" => Color::Never,
        _ => Color::Auto,
    };
    Shell::new(verbosity, color)
}

fn context(shell: Shell, matches: &ArgMatches) -> eyre::Result<OpContext> {
    let format = match text(matches, "format") {
        "csv" => Format::Csv,
        "json" => Format::Json,
        _ => Format::Text,
    };
    let timeout = matches
        .get_one::<Duration>("timeout")
        .copied()
        .unwrap_or_default();
    Ok(OpContext {
        shell,
        format,
        members: members(matches),
        token: token(matches)?,
        timeout,
    })
}

fn members(matches: &ArgMatches) -> Vec<String> {
    let given: Vec<String> = matches
        .get_many::<String>("control")
        .map(|many| many.cloned().collect())
        .unwrap_or_default();
    if !given.is_empty() {
        return given;
    }
    std::env::var(CONTROL_VARIABLE)
        .unwrap_or_default()
        .split(',')
        .filter(|member| !member.is_empty())
        .map(str::to_owned)
        .collect()
}

fn token(matches: &ArgMatches) -> eyre::Result<Option<String>> {
    use eyre::WrapErr as _;
    let Some(file) = matches.get_one::<String>("token-file") else {
        return Ok(std::env::var(TOKEN_VARIABLE).ok());
    };
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("failed to read token file `{file}`"))?;
    Ok(Some(text.trim().to_owned()))
}

fn text<'m>(matches: &'m ArgMatches, name: &str) -> &'m str {
    matches
        .get_one::<String>(name)
        .map(String::as_str)
        .unwrap_or_default()
}

fn exit_code(error: &eyre::Report) -> u8 {
    error
        .chain()
        .find_map(|cause| cause.downcast_ref::<Exit>())
        .map_or(FAILURE, |exit| *exit as u8)
}
