//! A limit on the sites that run at once, so that tests do not starve each
//! other.

use std::sync::{Condvar, Mutex, PoisonError};

/// Sites that run at once in one test process.
const SITE_LIMIT: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// Stands for one of the sites that may run at once.
#[derive(Debug)]
pub struct Turn;

impl Turn {
    /// Waits until another site may run.
    pub fn wait() -> Self {
        let mut running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        while *running >= SITE_LIMIT {
            running = ENDED.wait(running).unwrap_or_else(PoisonError::into_inner);
        }
        *running += 1;
        Self
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}
