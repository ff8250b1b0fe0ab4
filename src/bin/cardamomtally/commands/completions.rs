//! Implementation of `cardamomtally completions`, which needs the parser and therefore
//! is not in the library.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};
use std::io::stdout;

pub fn cli() -> Command {
    Command::new("completions")
        .about("Prints a completion script for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .help("Shell to print the script for")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

pub fn exec(arguments: &ArgMatches) -> eyre::Result<()> {
    let shell = arguments
        .get_one::<Shell>("shell")
        .copied()
        .ok_or_else(|| eyre::eyre!("no shell was given"))?;
    generate(
        shell,
        &mut crate::cli::cli(),
        "cardamomtally",
        &mut stdout(),
    );
    Ok(())
}
