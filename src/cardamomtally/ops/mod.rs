//! The commands of the operators' command line, as functions.
//!
//! Each module implements one command, with an options struct for each of its
//! functions. They can be called without the command line, which tests do. A function
//! prints its results through the [`Shell`] of its [`OpContext`]. Where the exit code
//! must tell more than that the command failed, the error's chain contains an [`Exit`].

pub mod bills;
pub mod check;
pub mod client;
pub mod demo;
pub mod status;
pub mod ticket;
pub mod timeline;

use crate::util::shell::Shell;
use std::{fmt, time::Duration};

/// Output format of results.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Comma-separated values. Commands that do not support it print text instead.
    Csv,
    /// JSON, for use by programs.
    Json,
    /// Text for people.
    #[default]
    Text,
}

/// The global options, which every command takes.
#[derive(Clone, Debug)]
pub struct OpContext {
    /// Where results, status lines and warnings are printed.
    pub shell: Shell,
    /// Output format of results.
    pub format: Format,
    /// HTTP addresses of control members, as `IP:PORT`. They are tried in this order
    /// until one answers.
    pub members: Vec<String>,
    /// The operator's bearer token, which is sent with every call.
    pub token: Option<String>,
    /// Longest time for one HTTP call. A command may make several calls.
    pub timeout: Duration,
}

/// A failure that has an exit code of its own. The discriminant is the exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The input was refused: a file has faults, or a ticket conflicts with another or
    /// is superseded.
    Refused = 2,
    /// No control member answered.
    Unreachable = 3,
    /// The change may or may not take effect. Running the same command again is safe
    /// and shows the outcome.
    Unknown = 4,
    /// A wait timed out before its condition was met.
    Timeout = 5,
}

impl fmt::Display for Exit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "the input was refused; correct it and try again",
            Self::Unreachable => "no control member answered; check `--control` and try again",
            Self::Unknown => "the outcome is unknown; run the same command again",
            Self::Timeout => "timed out before the condition was met",
        })
    }
}

impl std::error::Error for Exit {}
