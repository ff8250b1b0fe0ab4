//! Arguments of `cardamomtally demo`.

use cardamomtally::ops::{OpContext, demo};
use clap::{Arg, ArgAction, ArgMatches, Command, builder::PossibleValuesParser};

pub fn cli() -> Command {
    Command::new("demo")
        .about("Runs a small deployment on this machine, and checks what it does step by step")
        .arg(
            Arg::new("partner")
                .long("partner")
                .value_name("PARTNER")
                .help("Partner whose deployment to run")
                .value_parser(PossibleValuesParser::new(["clydeside", "prairie"]))
                .default_value("clydeside"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .help("Keep the temporary folder with settings, logs and state")
                .action(ArgAction::SetTrue),
        )
}

pub fn exec(context: &OpContext, arguments: &ArgMatches) -> eyre::Result<()> {
    let partner = arguments
        .get_one::<String>("partner")
        .cloned()
        .unwrap_or_default();
    let options = demo::DemoOptions {
        partner,
        keep: arguments.get_flag("keep"),
    };
    demo::run(context, &options)
}
