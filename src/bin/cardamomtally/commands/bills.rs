//! Arguments of `cardamomtally bills`.

use cardamomtally::ops::{OpContext, bills};
use clap::{Arg, ArgMatches, Command};

pub fn cli() -> Command {
    Command::new("bills")
        .about("Sums bills by partner, workspace and version")
        .arg(
            Arg::new("partner")
                .long("partner")
                .value_name("PARTNER")
                .help("Include only bills of this partner"),
        )
        .arg(
            Arg::new("workspace")
                .long("workspace")
                .value_name("WORKSPACE")
                .help("Include only bills of this workspace"),
        )
}

pub fn exec(context: &OpContext, arguments: &ArgMatches) -> eyre::Result<()> {
    let options = bills::BillsOptions {
        partner: arguments.get_one("partner").cloned(),
        workspace: arguments.get_one("workspace").cloned(),
    };
    bills::run(context, &options)
}
