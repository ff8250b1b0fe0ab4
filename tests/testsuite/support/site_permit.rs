//! A limit on the sites that run at once, so that the tests of one process do not
//! starve each other of processor time.

use std::sync::{Condvar, Mutex, PoisonError};

/// Largest number of sites that run at once in one test process. Further tests
/// wait until a site has ended.
const SITE_LIMIT: usize = 3;

static RUNNING_SITES: Mutex<usize> = Mutex::new(0);
static SITE_ENDED: Condvar = Condvar::new();

/// Permission to run one site. Dropping it lets another site start.
#[derive(Debug)]
pub struct SitePermit;

impl SitePermit {
    /// Waits until fewer than [`SITE_LIMIT`] sites run, and counts one more.
    pub fn acquire() -> Self {
        let mut running = RUNNING_SITES.lock().unwrap_or_else(PoisonError::into_inner);
        while *running >= SITE_LIMIT {
            running = SITE_ENDED
                .wait(running)
                .unwrap_or_else(PoisonError::into_inner);
        }
        *running += 1;
        Self
    }
}

impl Drop for SitePermit {
    fn drop(&mut self) {
        *RUNNING_SITES.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        SITE_ENDED.notify_one();
    }
}
