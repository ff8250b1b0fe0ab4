//! Rules that tests break, one at a time, to show that their checks can fail.

/// A rule of the entry that is broken on purpose. Daemons break none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum InjectedFault {
    /// None.
    #[default]
    None,
    /// A failure that proves nothing is taken for proof.
    TrustFailures,
    /// An agent that has restarted is believed.
    TrustRestarts,
    /// A claim is taken over without compare-and-set.
    SkipClaim,
    /// The answer goes out before it is settled.
    SkipSettle,
    /// The limit of attempts is not kept.
    SkipLimit,
    /// Each attempt is billed under an id of its own.
    BillAttempts,
}
