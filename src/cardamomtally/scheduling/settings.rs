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
    /// Whether backend servers are chosen by a forecast with declared paces, learned factors
    /// and memory, or by the same estimate as without overload control.
    pub by_forecast: bool,
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
    /// Longest time to the first event with which a request is sent that was held for its
    /// longest time, as a share of the time to its deadline; above that it is rejected. With
    /// 1, it is sent as long as it can be answered by its deadline. A smaller share keeps
    /// late requests from delaying others that are still in time.
    pub late_share: f64,
    /// Greatest number of requests that are held at a time.
    pub max_held: usize,
    /// Greatest number of bytes that the held requests take.
    pub max_held_bytes: usize,
}

impl Default for SchedulingSettings {
    fn default() -> Self {
        Self {
            mode: Mode::Auto,
            by_forecast: true,
            priority_ratio: 2.0,
            late_value: 0.3,
            urgent_share: 0.25,
            short_wait: Duration::from_millis(60),
            hold_share: 0.3,
            late_share: 1.0,
            max_held: 256,
            max_held_bytes: 8 << 20,
        }
    }
}

impl SchedulingSettings {
    /// Checks that all values are within their ranges.
    ///
    /// # Errors
    ///
    /// Returns a sentence that names the first value that is out of its range.
    pub fn check(&self) -> Result<(), String> {
        let share = |name: &str, value: f64| within(name, value, 0.0, 1.0);
        within("priority_ratio", self.priority_ratio, 1.0, 100.0)?;
        share("late_value", self.late_value)?;
        share("urgent_share", self.urgent_share)?;
        share("hold_share", self.hold_share)?;
        share("late_share", self.late_share)?;
        let short = self.short_wait.as_secs_f64() * 1e3;
        within("short_wait in ms", short, 1.0, 10_000.0)?;
        within("max_held", self.max_held as f64, 1.0, 1e6)?;
        // The least is the size of the largest body that documents allow by default.
        let most = (1_u64 << 40) as f64;
        let bytes = self.max_held_bytes as f64;
        within("max_held_bytes", bytes, f64::from(4 << 20), most)
    }
}

fn within(name: &str, value: f64, least: f64, most: f64) -> Result<(), String> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(format!(
        "`scheduling.{name}` is {value}; it must be from {least} to {most}"
    ))
}
