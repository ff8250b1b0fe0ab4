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
}

/// Estimates the tokens of memory in use at a backend server.
///
/// Exact sums of the other entries count, if there are any. Without them, a recent load report
/// tells the number of their requests. Without both, each other entry is assumed to have
/// placed there what this entry has placed on a backend server on average.
#[must_use]
pub fn memory_in_use(evidence: &MemoryEvidence) -> f64 {
    let counted = evidence.others_in_flight.map(|n| n * evidence.request_mean);
    let even = evidence.other_entries * evidence.own_mean;
    let others = evidence.others.or(counted).unwrap_or(even);
    evidence.own + others
}

/// Sum of the shares of [`bounded_share`] below which each request considers a single backend
/// server. With more of them, a request seldom finds none by independent draws.
const AMPLE_SHARES: f64 = 4.0;

/// Returns the share of all requests that a backend server may get, so that those which arrive
/// before they are known fit into its memory. `room` is what it has left after this request,
/// and `arrivals` are the requests of all entries in that time, both in mean requests.
///
/// The mean number of requests there and three standard deviations have to fit: with `n` of
/// them `n + 3 * sqrt(n) <= room`.
#[must_use]
pub fn bounded_share(room: f64, arrivals: f64) -> f64 {
    if room < 0.0 {
        return 0.0;
    }
    let most = (((9.0 + 4.0 * room).sqrt() - 3.0) / 2.0).powi(2);
    if arrivals <= most {
        1.0
    } else {
        most / arrivals
    }
}

/// Draws the backend servers that a request considers, so that none gets more than its share of
/// the requests, whichever of those considered is chosen. `random` and `draw`, for a place,
/// return numbers from 0 up to 1.
#[must_use]
pub fn admitted(shares: &[f64], random: f64, draw: impl Fn(usize) -> f64) -> Vec<bool> {
    let sum: f64 = shares.iter().sum();
    if sum >= AMPLE_SHARES {
        let drawn = shares
            .iter()
            .enumerate()
            .map(|(place, share)| draw(place) < *share);
        return drawn.collect();
    }
    let mut at = random * sum.max(1.0);
    let mut single = |share: &f64| {
        let drawn = (0.0..*share).contains(&at);
        at -= share;
        drawn
    };
    shares.iter().map(&mut single).collect()
}
