//! A limit on the sites that run at once, so that tests do not starve each
//! other.

use std::sync::{Condvar, Mutex, PoisonError};

/// Sites that run at once in one test process.
const SITE_LIMIT: usize = 3;

static RUNNING_SITES: Mutex<usize> = Mutex::new(0);
static SITE_ENDED: Condvar = Condvar::new();

/// Stands for one of the sites that may run at once.
#[derive(Debug)]
pub struct SitePermit;

impl SitePermit {
    /// Waits until another site may run.
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
