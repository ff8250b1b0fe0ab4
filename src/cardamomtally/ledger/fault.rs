//! Faults that tests inject into the ledger, one at a time, to show that their
//! checks detect a broken rule.

/// A rule of the ledger that is broken on purpose. Production processes always
/// use `None`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum InjectedFault {
    /// All rules hold.
    #[default]
    None,
    /// A later `Begin` overwrites the claim of an earlier writer.
    Overwrite,
    /// A `Reassign` replaces the attempt without comparing it with the expected
    /// one.
    SkipCompare,
    /// A `Settle` changes a progress that is already final.
    Reopen,
    /// A bill is counted each time it arrives.
    CountTwice,
    /// A delayed duplicate of a session move undoes a later move.
    ReplayMoves,
}
