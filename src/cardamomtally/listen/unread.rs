//! Finds clients that do not take their response.

use crate::prelude::*;

/// Finds out whether a caller has taken nothing of its response for too long.
///
/// The socket becomes writable only when a third of its buffer is free, which takes a slow
/// reader longer than the limit. The kernel's count of bytes that the caller has not
/// acknowledged shows smaller progress.
#[derive(Debug)]
pub struct UnreadCheck {
    limit: Duration,
    /// The bytes that were not acknowledged at the last check, and since when they are no
    /// fewer.
    last: Option<(libc::c_int, Mono)>,
}

impl UnreadCheck {
    /// Builds the check of a connection.
    #[must_use]
    pub const fn new(limit: Duration) -> Self {
        Self { limit, last: None }
    }

    /// Tells whether the limit is exceeded. `blocked` is the time since when the socket takes
    /// nothing, or 0.
    pub fn exceeded(
        &mut self,
        blocked: Mono,
        now: Mono,
        untaken: impl FnOnce() -> Option<libc::c_int>,
    ) -> bool {
        if blocked == Mono::default() {
            self.last = None;
            return false;
        }
        let count = untaken().unwrap_or_default();
        let since = match self.last {
            Some((last, since)) if count >= last => since.max(blocked),
            Some(_) => now,
            None => blocked,
        };
        self.last = Some((count, since));
        now.since(since) >= self.limit
    }
}
