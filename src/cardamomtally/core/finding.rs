//! Findings: faults with their place, collected and reported together.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A fault in a settings file or ticket, with its place.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Finding {
    /// The file, or `ticket` for a ticket that came over the network.
    pub file: String,
    /// The line, from 1.
    pub line: u32,
    /// The column, from 1, in characters.
    pub column: u32,
    /// What is wrong and what would be right, in one sentence.
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

/// All faults of a document, in the order of their places.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a fault at a byte offset of a text.
    pub fn add(&mut self, file: &str, text: &str, offset: usize, message: impl Into<String>) {
        let (line, column) = line_column(text, offset);
        self.0.push(Finding {
            file: file.to_owned(),
            line,
            column,
            message: message.into(),
        });
    }

    /// Returns the value if there is no fault.
    ///
    /// # Errors
    ///
    /// Returns the faults, sorted by place, if there is one.
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

/// Returns line and column, both from 1, of a byte offset.
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
