//! Clocks: monotonic time for leases and timeouts, wall time for display.

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::{
    fmt::Debug,
    ops::{Add, Sub},
    time::{Duration, SystemTime},
};

/// A point on one process's monotonic clock, in microseconds.
///
/// Points of different processes are not comparable and are never sent.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Mono(pub u64);

impl Mono {
    /// Returns the time since an earlier point, or zero if that point is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Mono {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Mono {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// A source of time.
pub trait Clock: Debug + Send + Sync {
    /// Returns the current point on the monotonic clock.
    fn now(&self) -> Mono;

    /// Returns the wall clock in microseconds since the Unix epoch.
    fn wall_micros(&self) -> u64;
}

/// The source that [`SystemClock`] reads: it goes on while the VM is suspended,
/// so that a lease does not outlive a suspension.
pub const SOURCE: ClockId = ClockId::CLOCK_BOOTTIME;

/// The clock of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Duration,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self { origin: uptime() }
    }
}

/// Returns the time since the VM started, suspensions included.
fn uptime() -> Duration {
    // Linux has had this clock since 2.6.39; the call has no other failure.
    clock_gettime(SOURCE)
        .expect("the kernel has a boot-time clock")
        .into()
}

impl Clock for SystemClock {
    fn now(&self) -> Mono {
        let micros = uptime().saturating_sub(self.origin).as_micros();
        Mono(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn wall_micros(&self) -> u64 {
        SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as u64)
    }
}
