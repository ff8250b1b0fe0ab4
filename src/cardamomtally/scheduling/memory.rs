//! Memory in use at a backend server.

/// What is known of the memory in use at a backend server, in tokens and requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemoryEvidence {
    /// Tokens of this entry's own requests there, each counted as at its end.
    pub own: f64,
    /// Exact tokens of the other entries' requests there, if an account tells them.
    pub others: Option<f64>,
    /// Requests of other entries there, if a recent load report tells them.
    pub others_in_flight: Option<f64>,
    /// Number of other entries.
    pub other_entries: f64,
    /// Mean tokens that this entry has placed on a backend server of the service.
    pub own_mean: f64,
    /// Mean tokens of a request of the service.
    pub request_mean: f64,
    /// Requests that other entries are expected to send there before this entry learns of
    /// them.
    pub arrivals: f64,
}

/// Estimates the tokens of memory in use at a backend server.
///
/// Exact sums of the other entries count, if there are any. Without them, a recent load report
/// tells the number of their requests. Without both, each other entry is assumed to have
/// placed there what this entry has placed on a backend server on average. Requests that
/// arrive before they are known are added, with two standard deviations of their number.
#[must_use]
pub fn memory_in_use(evidence: &MemoryEvidence) -> f64 {
    let counted = evidence.others_in_flight.map(|n| n * evidence.request_mean);
    let even = evidence.other_entries * evidence.own_mean;
    let others = evidence.others.or(counted).unwrap_or(even);
    let arrivals = evidence.arrivals + 2.0 * evidence.arrivals.sqrt();
    evidence.own + others + arrivals * evidence.request_mean
}
