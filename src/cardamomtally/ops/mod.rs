//! One function for each verb of the command line.
//!
//! Each module has an options struct and one function, callable without the
//! command line. Functions print results through the [`Shell`] of their
//! [`OpContext`] and return errors with their context.

pub mod bills;
pub mod check;
pub mod client;
pub mod demo;
pub mod status;
pub mod ticket;
pub mod timeline;

use crate::util::shell::Shell;
use std::{fmt, time::Duration};

/// Form of results.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Comma-separated values, where a verb offers it.
    Csv,
    /// JSON.
    Json,
    /// Text for people.
    #[default]
    Text,
}

/// What is handed down through a verb instead of globals.
#[derive(Clone, Debug)]
pub struct OpContext {
    /// Output.
    pub shell: Shell,
    /// Form of results.
    pub format: Format,
    /// HTTP addresses of control members, `IP:PORT`; each is tried in turn.
    pub members: Vec<String>,
    /// The operator's bearer token.
    pub token: Option<String>,
    /// Longest time for one verb's calls.
    pub timeout: Duration,
}

/// A failure with the exit code that tells its kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Input was refused: a faulty file, a conflict, a superseded ticket.
    Refused = 2,
    /// No control member answered.
    Unreachable = 3,
    /// The outcome is unknown: run the same command again.
    Unknown = 4,
    /// A wait ended before its condition held.
    Timeout = 5,
}

impl fmt::Display for Exit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "the input was refused; correct it and try again",
            Self::Unreachable => "no control member answered; check `--control` and try again",
            Self::Unknown => "the outcome is unknown; run the same command again",
            Self::Timeout => "the time ran out before the condition held",
        })
    }
}

impl std::error::Error for Exit {}
