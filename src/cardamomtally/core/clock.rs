//! Clocks: monotonic time for leases and timeouts, wall-clock time for display.

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::{
    fmt::Debug,
    ops::{Add, Sub},
    time::{Duration, SystemTime},
};

/// A point in time on the monotonic clock of one process, in microseconds.
///
/// Values from different processes are not comparable, so they are never sent
/// to another process.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Mono(pub u64);

impl Mono {
    /// Returns the time that passed since `earlier`, or zero if `earlier` is later
    /// than `self`.
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

/// A source of time that tests can replace.
pub trait Clock: Debug + Send + Sync {
    /// Returns the current monotonic time.
    fn now(&self) -> Mono;

    /// Returns the wall-clock time in microseconds since the Unix epoch.
    fn wall_micros(&self) -> u64;
}

/// The kernel clock that [`SystemClock`] reads. Unlike `CLOCK_MONOTONIC`, it
/// advances while the VM is suspended, so that a lease expires during a
/// suspension.
pub const CLOCK_ID: ClockId = ClockId::CLOCK_BOOTTIME;

/// The clock of the operating system. Its monotonic time starts at zero when
/// the value is created.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Duration,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self { origin: uptime() }
    }
}

/// Returns the time since the VM booted, suspensions included.
fn uptime() -> Duration {
    // The call fails only if the kernel lacks this clock, which Linux has had
    // since 2.6.39.
    clock_gettime(CLOCK_ID)
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
