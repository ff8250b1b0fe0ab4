//! Runs one stand-in as a process, chosen by the subcommand.

use cardamomtally_standin::{
    Engine, EngineOptions, Proxy, Rater, Service, VmList, WeightStore, rater::RaterOptions,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::WrapErr as _;
use std::{net::SocketAddr, time::Duration};

fn main() -> eyre::Result<()> {
    let matches = cli().get_matches();
    let Some((verb, args)) = matches.subcommand() else {
        eyre::bail!("no stand-in was chosen: a subcommand is required");
    };
    let listen = *get::<SocketAddr>(args, "listen");
    match verb {
        "engine" => {
            let engine = Engine::start(engine_options(args)).wrap_err("engine failed to start")?;
            serve(engine.addr())
        }
        "service" => serve(Service::start(listen)?.addr()),
        "rater" => serve(Rater::start(listen, RaterOptions::default())?.addr()),
        "weights" => serve(WeightStore::start(listen, millis(args, "gap-ms"))?.addr()),
        "vms" => serve(VmList::start(listen, millis(args, "lag-ms"))?.addr()),
        _ => serve(Proxy::start(Some(*get::<SocketAddr>(args, "target")))?.addr()),
    }
}

/// Prints the ready line with the bound address, then serves until the process
/// is killed.
fn serve(addr: SocketAddr) -> ! {
    println!("ready {{\"http\":\"{addr}\"}}");
    loop {
        std::thread::park();
    }
}

fn cli() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr));
    let target = Arg::new("target")
        .long("target")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(SocketAddr));
    let verb = |name: &'static str, about: &'static str| {
        Command::new(name).about(about).arg(listen.clone())
    };
    Command::new("cardamomtally-standin")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stand-ins for the external systems")
        .subcommand_required(true)
        .subcommand(engine_cli(verb("engine", "A model engine")))
        .subcommand(verb("service", "A plain service"))
        .subcommand(verb("rater", "A rating service"))
        .subcommand(verb("weights", "A weight store").arg(number("gap-ms", "1000")))
        .subcommand(verb("vms", "The platform's list of VMs").arg(number("lag-ms", "1000")))
        .subcommand(
            Command::new("proxy")
                .about("A TCP proxy")
                .arg(listen)
                .arg(target),
        )
}

fn engine_cli(command: Command) -> Command {
    let version = Arg::new("version")
        .long("serves")
        .value_name("MODEL@VERSION")
        .action(ArgAction::Append);
    let ignore = Arg::new("ignore-fencing")
        .long("ignore-fencing")
        .action(ArgAction::SetTrue);
    let numbers = [
        ("step-us", "2000"),
        ("slow-at", "64"),
        ("batch", "256"),
        ("tokens", "8"),
        ("burst", "1"),
        ("cold-limit", "4"),
        ("warm-after", "0"),
        ("down-ms", "500"),
        ("threads", "2"),
    ];
    let numbers = numbers.map(|(name, default)| number(name, default));
    command.arg(version).arg(ignore).args(numbers)
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u32))
}

fn engine_options(args: &ArgMatches) -> EngineOptions {
    let n = |name| *get::<u32>(args, name);
    let versions = args.get_many::<String>("version").unwrap_or_default();
    EngineOptions {
        listen: *get::<SocketAddr>(args, "listen"),
        versions: versions.cloned().collect(),
        step: Duration::from_micros(u64::from(n("step-us"))),
        slow_at: n("slow-at"),
        batch: n("batch"),
        tokens: n("tokens"),
        burst: n("burst"),
        cold_limit: n("cold-limit"),
        warm_after: n("warm-after"),
        restart_delay: millis(args, "down-ms"),
        checks_fencing: !args.get_flag("ignore-fencing"),
        threads: n("threads") as usize,
        ..EngineOptions::default()
    }
}

fn millis(args: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(u64::from(*get::<u32>(args, name)))
}

fn get<'a, T: Clone + Send + Sync + 'static>(args: &'a ArgMatches, name: &str) -> &'a T {
    args.get_one(name)
        .expect("the argument is required or has a default")
}
