//! Rules that tests break, one at a time, to show that their checks can fail.

/// A rule of the ledger that is broken on purpose. Daemons break none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum InjectedFault {
    /// None.
    #[default]
    None,
    /// A later writer overwrites a claim.
    Overwrite,
    /// An attempt is replaced without comparing it.
    SkipCompare,
    /// A final progress changes.
    Reopen,
    /// A bill counts each time that it comes.
    CountTwice,
    /// A late copy of a session's move undoes a later move.
    ReplayMoves,
}
