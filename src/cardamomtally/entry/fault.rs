//! Faults that tests inject, one at a time, to show that their checks notice
//! them.

/// A rule that the entry breaks on purpose. Daemons use
/// [`InjectedFault::None`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum InjectedFault {
    /// No rule is broken.
    #[default]
    None,
    /// An ambiguous failure is taken as proof that the attempt did not run.
    TrustFailures,
    /// The status of an attempt is accepted from an agent that has restarted.
    TrustRestarts,
    /// A claim is replaced without compare-and-set.
    SkipClaim,
    /// The answer is sent before it is recorded in the ledger.
    SkipSettle,
    /// The limit on attempts is ignored.
    SkipLimit,
    /// Each attempt is billed under a request id of its own.
    BillAttempts,
}
