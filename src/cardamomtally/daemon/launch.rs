//! Starts a daemon: parses the command line, loads the settings, and creates the
//! context and the async runtime.

use super::Context;
use crate::{
    settings::{
        self, AgentSettings, ControlSettings, EntrySettings, Settings,
        common::{HttpSettings, LogSettings, ProcessSettings, TimelineSettings},
    },
    util::{
        allocator,
        signals::{self, Outlived},
    },
};
use clap::{Arg, Command, value_parser};
use eyre::WrapErr as _;
use metrics_exporter_prometheus::PrometheusBuilder;
use std::{path::PathBuf, process::ExitCode};

/// Access to the settings that every daemon has.
pub trait DaemonSettings: Settings {
    /// Returns the identity and location of the process.
    fn process(&self) -> &ProcessSettings;
    /// Returns the settings of the HTTP listener.
    fn http(&self) -> &HttpSettings;
    /// Returns the level and format of log lines.
    fn log(&self) -> &LogSettings;
    /// Returns the storage settings of time line events.
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

/// Implements a daemon's `main`. Loads the settings file that the command line
/// names, and runs `start` on an async runtime with `http.threads` worker threads.
///
/// If `start` or a step before it fails, prints the error to standard error and
/// returns a failure exit code.
///
/// # Panics
///
/// Panics if the argument parser accepts a command line without `--settings`,
/// which it is configured to reject.
pub fn run<S, F>(program: &'static str, start: impl FnOnce(S, Context) -> F) -> ExitCode
where
    S: DaemonSettings,
    F: Future<Output = eyre::Result<()>>,
{
    allocator::give_back_freed();
    let matches = cli(program).get_matches();
    let path = matches
        .get_one::<PathBuf>("settings")
        .expect("clap requires `--settings`");
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
    runtime.block_on(async {
        let outlived = [
            Outlived::FileSize,
            Outlived::Hangup,
            Outlived::ProcessorTime,
        ];
        signals::outlive(&outlived, &context.log).wrap_err("failed to handle signals")?;
        start(settings, context).await
    })
}
