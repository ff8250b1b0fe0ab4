//! The error of files whose contents contradict each other.

use std::{error::Error, fmt};

/// The files of a folder do not hold what was synced to them. A later attempt to read them
/// fails as well, in contrast to an error of the operating system.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Corrupt(String);

impl Corrupt {
    pub(super) fn new(what: impl Into<String>) -> Self {
        Self(what.into())
    }
}

impl fmt::Display for Corrupt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Error for Corrupt {}
