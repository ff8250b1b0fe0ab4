//! Settings of overload control.

use std::time::Duration;

/// When overload control is active.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Never.
    Off,
    /// For the services whose backend servers report how long work takes there.
    #[default]
    Auto,
    /// For all services.
    On,
}

/// Settings of overload control. The defaults suit any deployment; they state what callers
/// lose by a delay, not how a deployment is built.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulingSettings {
    /// When overload control is active.
    pub mode: Mode,
    /// Factor by which the value of a request falls with each step of its priority.
    pub priority_ratio: f64,
    /// Value of an answer after its target latency and before its deadline, as a share of that
    /// of an answer in time.
    pub late_value: f64,
    /// Longest wait for prefill at a backend server to which a request without slack is sent,
    /// as a share of the request's target latency.
    pub urgent_share: f64,
    /// Longest wait for prefill at a backend server to which a request with slack is sent.
    pub short_wait: Duration,
    /// Longest time for which a request is held, as a share of the time to its deadline.
    pub hold_share: f64,
}

impl Default for SchedulingSettings {
    fn default() -> Self {
        Self {
            mode: Mode::Auto,
            priority_ratio: 2.0,
            late_value: 0.3,
            urgent_share: 0.25,
            short_wait: Duration::from_millis(60),
            hold_share: 0.3,
        }
    }
}
