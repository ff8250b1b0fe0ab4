//! Findings: errors in a document with their position, collected so that all of
//! them are reported together.

use serde::{Deserialize, Serialize};
use std::fmt;

/// An error in a settings file or ticket, with its position.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Finding {
    /// Name of the file, or `ticket` for a ticket received over the network.
    pub file: String,
    /// Line number, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
    /// The error and how to correct it, in one sentence.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}:{}: {}",
            self.file, self.line, self.column, self.message
        )
    }
}

/// All errors found in a document.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds an error at a byte offset of the document's text.
    pub fn add(&mut self, file: &str, text: &str, offset: usize, message: impl Into<String>) {
        let (line, column) = line_column(text, offset);
        self.0.push(Finding {
            file: file.to_owned(),
            line,
            column,
            message: message.into(),
        });
    }

    /// Returns `value` if no error was found.
    ///
    /// # Errors
    ///
    /// Returns the findings otherwise, sorted by position and without duplicates.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort();
        self.0.dedup();
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// Returns the line and column of a byte offset, both from 1. An offset inside a
/// character or past the end counts as the nearest position before it.
#[must_use]
pub fn line_column(text: &str, offset: usize) -> (u32, u32) {
    let mut end = offset.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    let before = &text[..end];
    let line = before.matches('\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |i| i + 1);
    let column = before[start..].chars().count() + 1;
    (line as u32, column as u32)
}
