//! Structured logs.
//!
//! Lines are written by a thread of their own; when its queue is full, lines
//! are dropped and counted, so that logging never blocks traffic. Each message
//! begins with its part, such as `admission: limit lowered`.

use crate::settings::common::{Level, LogForm, LogSettings};
use slog::{Drain, Logger, o};
use slog_async::OverflowStrategy;
use std::io::{IsTerminal as _, stderr, stdout};

/// Log lines that may wait to be written.
const QUEUE_LINES: usize = 4_096;

/// Builds the root logger, which writes to standard error.
pub fn root(settings: &LogSettings, process: &str) -> Logger {
    let text = match settings.form {
        LogForm::Auto => stderr().is_terminal(),
        LogForm::Json => false,
        LogForm::Text => true,
    };
    let level = slog_level(settings.level);
    if text {
        let decorator = slog_term::TermDecorator::new().stderr().build();
        let drain = slog_term::FullFormat::new(decorator).build().fuse();
        return logger(drain, level, process);
    }
    let drain = slog_json::Json::default(stderr()).fuse();
    logger(drain, level, process)
}

/// Builds a logger that writes JSON lines to standard output.
pub fn on_stdout(level: Level, process: &str) -> Logger {
    let drain = slog_json::Json::default(stdout()).fuse();
    logger(drain, slog_level(level), process)
}

/// Builds a logger that writes nothing.
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
