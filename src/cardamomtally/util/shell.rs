//! Output for people: status lines with a right-aligned verb.

use std::{
    fmt::Display,
    io::{IsTerminal as _, Write as _, stderr, stdout},
};

/// Width of the verb column.
const VERB_WIDTH: usize = 12;

/// How much is said.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Verbosity {
    /// Only results and errors.
    Quiet,
    /// Status lines too.
    #[default]
    Normal,
    /// Details too.
    Verbose,
}

/// When colour is used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Color {
    /// On a terminal, unless `NO_COLOR` is set.
    #[default]
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// Colour of a status verb.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum VerbColor {
    Green,
    Red,
    Yellow,
}

impl VerbColor {
    const fn code(self) -> &'static str {
        match self {
            Self::Green => "\x1b[1;32m",
            Self::Red => "\x1b[1;31m",
            Self::Yellow => "\x1b[1;33m",
        }
    }
}

/// Where output for people goes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shell {
    verbosity: Verbosity,
    colored: bool,
}

impl Shell {
    /// Builds a shell on the process's standard streams.
    pub fn new(verbosity: Verbosity, color: Color) -> Self {
        let colored = match color {
            Color::Always => true,
            Color::Auto => stderr().is_terminal() && std::env::var_os("NO_COLOR").is_none(),
            Color::Never => false,
        };
        Self { verbosity, colored }
    }

    /// Prints a status line to standard error, unless quiet.
    pub fn status(self, verb: &str, object: impl Display) {
        if self.verbosity > Verbosity::Quiet {
            self.line(VerbColor::Green, &format!("{verb:>VERB_WIDTH$}"), &object);
        }
    }

    /// Prints a status line to standard error if verbose.
    pub fn verbose(self, verb: &str, object: impl Display) {
        if self.verbosity == Verbosity::Verbose {
            self.line(VerbColor::Green, &format!("{verb:>VERB_WIDTH$}"), &object);
        }
    }

    /// Prints a warning to standard error, unless quiet.
    pub fn warn(self, message: impl Display) {
        if self.verbosity > Verbosity::Quiet {
            self.line(VerbColor::Yellow, "warning:", &message);
        }
    }

    /// Prints an error with its causes to standard error.
    pub fn error(self, report: &eyre::Report) {
        self.line(VerbColor::Red, "error:", report);
        for cause in report.chain().skip(1) {
            eprintln!("  caused by: {cause}");
        }
    }

    /// Prints a result to standard output. A reader that has gone is no error.
    pub fn result(self, text: impl Display) {
        // A closed pipe means that the reader has seen enough.
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
