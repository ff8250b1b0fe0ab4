//! Which backend servers are cold, by this entry's own clock.
//!
//! Control tells how long a backend server stays cold, not until when: clocks of different
//! processes show different times of day, which may also jump. The time runs from the
//! arrival of the list here, so that it ends too late rather than too early.

use crate::{prelude::*, site::backend::Backend};

/// Time over which the rate of a cold backend server is bounded. The bound is kept for so
/// long after the cold time: entries that see its end together send at once, and a second
/// that began while the backend server was cold would exceed its rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// A cold time as the list tells it, and its end here.
#[derive(Clone, Copy, Debug)]
struct ColdTime {
    /// Time left at the reading of the list, and end by the time of day of its reader.
    told: (Option<u64>, u64),
    /// When the list arrived that first told it.
    since: Mono,
    /// End of the bound by this process's clock; none if it ends when the list says so.
    until: Option<Mono>,
}

/// The backend servers whose rate is bounded because they are cold.
#[derive(Clone, Debug, Default)]
pub struct ColdTimes {
    by_instance: FastMap<Name, ColdTime>,
}

impl ColdTimes {
    /// Returns the cold times after the arrival of a list. A cold time that the list told
    /// before goes on.
    #[must_use]
    pub fn update(&self, backends: &[Backend], now: Mono) -> Self {
        let entry = |backend: &Backend| {
            let before = self.by_instance.get(&backend.instance).copied();
            let cold = next(backend, before, now)?;
            Some((Arc::clone(&backend.instance), cold))
        };
        Self {
            by_instance: backends.iter().filter_map(entry).collect(),
        }
    }

    /// Returns since when the rate of a backend server is bounded, if it is.
    #[must_use]
    pub fn cold_since(&self, instance: &Name, now: Mono) -> Option<Mono> {
        let cold = self.by_instance.get(instance)?;
        let bounded = cold.until.is_none_or(|until| now < until);
        bounded.then_some(cold.since)
    }
}

/// Returns the cold time of a backend server, if it has one.
fn next(backend: &Backend, before: Option<ColdTime>, now: Mono) -> Option<ColdTime> {
    let told = (backend.cold_left, backend.cold_until);
    if let Some(before) = before.filter(|before| before.told == told) {
        return Some(before);
    }
    let (since, until) = match told {
        (Some(0), _) | (None, 0) => {
            let (before, end) = (before?, now + RATE_WINDOW);
            let until = before.until.map_or(end, |until| until.min(end));
            (before.since, Some(until))
        }
        (Some(left), _) => {
            let end = now + Duration::from_millis(left) + RATE_WINDOW;
            (now, Some(end))
        }
        (None, _) => (now, None),
    };
    Some(ColdTime { told, since, until })
}
