//! Start of a daemon: arguments, settings, context, runtime.

use super::Context;
use crate::settings::{
    self, AgentSettings, ControlSettings, EntrySettings, Settings,
    common::{HttpSettings, LogSettings, ProcessSettings, TimelineSettings},
};
use clap::{Arg, Command, value_parser};
use eyre::WrapErr as _;
use metrics_exporter_prometheus::PrometheusBuilder;
use std::{path::PathBuf, process::ExitCode};

/// Settings that each daemon has.
pub trait DaemonSettings: Settings {
    /// Returns who and where the process is.
    fn process(&self) -> &ProcessSettings;
    /// Returns its HTTP listener.
    fn http(&self) -> &HttpSettings;
    /// Returns its log settings.
    fn log(&self) -> &LogSettings;
    /// Returns its time line settings.
    fn timeline(&self) -> &TimelineSettings;
}

macro_rules! daemon_settings {
    ($($name:ty),+) => {$(
        impl DaemonSettings for $name {
            fn process(&self) -> &ProcessSettings {
                &self.process
            }

            fn http(&self) -> &HttpSettings {
                &self.http
            }

            fn log(&self) -> &LogSettings {
                &self.log
            }

            fn timeline(&self) -> &TimelineSettings {
                &self.timeline
            }
        }
    )+};
}

daemon_settings!(AgentSettings, ControlSettings, EntrySettings);

/// Runs a daemon's `main`: reads the settings file named on the command line
/// and calls `start` on a runtime of as many threads as the settings say.
///
/// # Panics
///
/// Panics if the argument parser breaks its promise that `--settings` is given.
pub fn run<S, F>(program: &'static str, start: impl FnOnce(S, Context) -> F) -> ExitCode
where
    S: DaemonSettings,
    F: Future<Output = eyre::Result<()>>,
{
    let matches = cli(program).get_matches();
    let path = matches
        .get_one::<PathBuf>("settings")
        .expect("clap requires it");
    match read_and_start(path, start) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn cli(program: &'static str) -> Command {
    Command::new(program)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings file")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn read_and_start<S, F>(
    path: &std::path::Path,
    start: impl FnOnce(S, Context) -> F,
) -> eyre::Result<()>
where
    S: DaemonSettings,
    F: Future<Output = eyre::Result<()>>,
{
    let settings: S = settings::load(path)?;
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .wrap_err("failed to install the metrics recorder")?;
    let context = Context::new(
        settings.process(),
        settings.log(),
        settings.timeline(),
        metrics,
    )?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.http().threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .wrap_err("failed to start the runtime")?;
    runtime.block_on(start(settings, context))
}
