//! Structured logging.
//!
//! A separate thread writes the log lines and receives them through a bounded
//! queue. When the queue is full, lines are dropped and their number is logged,
//! because logging must never delay requests. A line that cannot be written, for instance to
//! a full disk, is counted, and the next one is tried again. Each message starts with the part of
//! the process that logs it, such as `admission: limit lowered`.

use crate::settings::common::{Level, LogForm, LogSettings};
use metrics::counter;
use slog::{Drain, Logger, Never, OwnedKVList, Record, o};
use slog_async::OverflowStrategy;
use std::io::{IsTerminal as _, stderr, stdout};

/// Capacity of the queue to the thread that writes the log, in lines. When the
/// queue is full, new lines are dropped and counted.
const QUEUE_LINES: usize = 4_096;

/// Counts lines that cannot be written, and goes on with the next one. [`Drain::fuse`] would
/// end the thread that writes the log, and no line after that would be written.
#[derive(Debug)]
struct Lasting<D>(D);

impl<D: Drain> Drain for Lasting<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if self.0.log(record, values).is_err() {
            counter!("cardamomtally_log_failures_total").increment(1);
        }
        Ok(())
    }
}

/// Creates the root logger of a daemon, which writes to standard error. Each line
/// contains the name of the process.
pub fn root(settings: &LogSettings, process: &str) -> Logger {
    let text = match settings.form {
        LogForm::Auto => stderr().is_terminal(),
        LogForm::Json => false,
        LogForm::Text => true,
    };
    let level = slog_level(settings.level);
    if text {
        let decorator = slog_term::TermDecorator::new().stderr().build();
        let drain = Lasting(slog_term::FullFormat::new(decorator).build());
        return logger(drain, level, process);
    }
    let drain = Lasting(slog_json::Json::default(stderr()));
    logger(drain, level, process)
}

/// Creates a logger that writes one JSON object per line to standard output.
pub fn on_stdout(level: Level, process: &str) -> Logger {
    let drain = Lasting(slog_json::Json::default(stdout()));
    logger(drain, slog_level(level), process)
}

/// Creates a logger that discards all lines.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn logger<D>(drain: D, level: slog::Level, process: &str) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let queue = slog_async::Async::new(drain)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build();
    let drain = slog::LevelFilter::new(queue, level).fuse();
    Logger::root(drain, o!("process" => process.to_owned()))
}

const fn slog_level(level: Level) -> slog::Level {
    match level {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
    }
}
