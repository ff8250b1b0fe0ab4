//! Signals that end a process by default although it can go on.
//!
//! The kernel sends SIGXFSZ for a write past the limit on file size, and SIGXCPU for
//! processor time past the soft limit. Once they are handled, such a write fails with an
//! error like that of a full disk, and whoever wrote handles it. (The standard library ignores
//! SIGPIPE.)

use metrics::counter;
use slog::{Logger, warn};
use std::{io, time::Duration};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Least time between two log lines about the same signal. A disk that stays full leads to
/// one signal for each write.
const LOG_INTERVAL: Duration = Duration::from_mins(1);

/// A signal that this process outlives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outlived {
    /// SIGHUP, where nothing is reloaded: a terminal was closed.
    Hangup,
    /// SIGXCPU: the process has used the processor time of its soft limit.
    ProcessorTime,
    /// SIGXFSZ: a write past the limit on file size.
    FileSize,
}

impl Outlived {
    fn kind(self) -> SignalKind {
        match self {
            Self::Hangup => SignalKind::hangup(),
            Self::ProcessorTime => SignalKind::from_raw(libc::SIGXCPU),
            Self::FileSize => SignalKind::from_raw(libc::SIGXFSZ),
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Hangup => "SIGHUP",
            Self::ProcessorTime => "SIGXCPU",
            Self::FileSize => "SIGXFSZ",
        }
    }
}

/// Has this process outlive signals from now on, and logs and counts them.
///
/// # Errors
///
/// Returns an error if a handler cannot be installed.
///
/// # Panics
///
/// Panics outside a Tokio runtime.
pub fn outlive(signals: &[Outlived], log: &Logger) -> io::Result<()> {
    for outlived in signals {
        let arrivals = signal(outlived.kind())?;
        tokio::spawn(report(*outlived, arrivals, log.clone()));
    }
    Ok(())
}

async fn report(outlived: Outlived, mut arrivals: Signal, log: Logger) {
    let name = outlived.name();
    while arrivals.recv().await.is_some() {
        counter!("cardamomtally_outlived_signals_total", "signal" => name).increment(1);
        warn!(log, "signals: the process goes on"; "signal" => name);
        tokio::time::sleep(LOG_INTERVAL).await;
    }
}
