//! Terminal output of the command line: results on standard output, and status
//! lines with a right-aligned verb, warnings and errors on standard error.

use std::{
    fmt::Display,
    io::{IsTerminal as _, Write as _, stderr, stdout},
};

/// Width of the verb column, in characters.
const VERB_WIDTH: usize = 12;

/// How much the command line prints.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Verbosity {
    /// Only results and errors.
    Quiet,
    /// Results, errors, warnings and status lines.
    #[default]
    Normal,
    /// Details as well.
    Verbose,
}

/// When the command line uses colour.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Color {
    /// If standard error is a terminal and `NO_COLOR` is not set.
    #[default]
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// Colour of a status verb, or of the words `warning:` and `error:`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum VerbColor {
    Green,
    Red,
    Yellow,
}

impl VerbColor {
    /// Returns the ANSI escape sequence for the colour in bold.
    const fn code(self) -> &'static str {
        match self {
            Self::Green => "\x1b[1;32m",
            Self::Red => "\x1b[1;31m",
            Self::Yellow => "\x1b[1;33m",
        }
    }
}

/// Prints messages with a given verbosity and colour choice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shell {
    verbosity: Verbosity,
    colored: bool,
}

impl Shell {
    /// Creates a shell that writes to the standard streams of the process.
    pub fn new(verbosity: Verbosity, color: Color) -> Self {
        let colored = match color {
            Color::Always => true,
            Color::Auto => stderr().is_terminal() && std::env::var_os("NO_COLOR").is_none(),
            Color::Never => false,
        };
        Self { verbosity, colored }
    }

    /// Prints a status line to standard error, unless the verbosity is quiet.
    pub fn status(self, verb: &str, object: impl Display) {
        if self.verbosity > Verbosity::Quiet {
            self.line(VerbColor::Green, &format!("{verb:>VERB_WIDTH$}"), &object);
        }
    }

    /// Prints a status line to standard error if the verbosity is verbose.
    pub fn verbose(self, verb: &str, object: impl Display) {
        if self.verbosity == Verbosity::Verbose {
            self.line(VerbColor::Green, &format!("{verb:>VERB_WIDTH$}"), &object);
        }
    }

    /// Prints a warning to standard error, unless the verbosity is quiet.
    pub fn warn(self, message: impl Display) {
        if self.verbosity > Verbosity::Quiet {
            self.line(VerbColor::Yellow, "warning:", &message);
        }
    }

    /// Prints an error and its chain of causes to standard error.
    pub fn error(self, report: &eyre::Report) {
        self.line(VerbColor::Red, "error:", report);
        for cause in report.chain().skip(1) {
            eprintln!("  caused by: {cause}");
        }
    }

    /// Prints a result to standard output. A closed pipe is not an error.
    pub fn result(self, text: impl Display) {
        // A reader such as `head` closes the pipe when it needs no more output.
        let _ignored = writeln!(stdout().lock(), "{text}");
    }

    fn line(self, color: VerbColor, head: &str, rest: &dyn Display) {
        if self.colored {
            eprintln!("{}{head}\x1b[0m {rest}", color.code());
        } else {
            eprintln!("{head} {rest}");
        }
    }
}
