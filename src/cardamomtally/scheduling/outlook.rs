//! What a request would meet if it was sent now.

/// What a request would meet if it was sent now, at the backend server that would be chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// Time for which the prompt waits before it is processed, in milliseconds.
    pub wait: f64,
    /// Time to the first event, including the wait, in milliseconds.
    pub first: f64,
    /// Time that the backend server spends on the prompt, in milliseconds.
    pub prefill: f64,
    /// Mean wait of all backend servers that may run the request, in milliseconds.
    pub mean_wait: f64,
    /// Whether overload control is active for the service.
    pub active: bool,
}
