//! Content, ends and times for tests.

use cardamomtally::{
    prelude::*,
    quarantine::{
        evidence::End,
        fingerprint::{CallerKey, Fingerprint, ServerKey},
        pool::{Admission, Pool, Run},
    },
};

/// Returns the caller key of a workspace.
pub fn caller(name: &str) -> CallerKey {
    CallerKey::of(Some(name))
}

/// Returns a request of a caller with this body and these parts.
pub fn run_of(name: &str, body: &str, parts: &[u64]) -> Run {
    let caller = caller(name);
    Run {
        caller,
        whole: Fingerprint::of_request("POST", "/jobs/1", caller, body.as_bytes()),
        parts: parts.iter().map(|id| Fingerprint::of_part(*id)).collect(),
    }
}

/// Returns a request without a prompt.
pub fn run(body: &str) -> Run {
    run_of("studio", body, &[])
}

/// Returns a time in milliseconds after the start, which is well above 0.
pub fn at(ms: u64) -> Mono {
    Mono(100_000_000 + ms * 1_000)
}

/// Returns the end of a server under a run.
pub fn end(server: u64, began: u64, ended: u64) -> End {
    End {
        server: ServerKey(server),
        caller: CallerKey::default(),
        request: 0,
        depth: 0,
        began: at(began),
        at: at(ended),
    }
}

/// Returns how a pool admits a run at a time.
pub fn admit(pool: &mut Pool, run: &Run, ms: u64) -> Admission {
    pool.admit(run, &"entry-1".into(), 0, at(ms))
}

/// Records that a server ended under a run of 60 ms. Its key is the time of the end.
pub fn end_under(pool: &mut Pool, run: &Run, ms: u64) {
    pool.record_end(run, end(ms, ms - 60, ms), at(ms));
}

/// Returns a pool that knows `count` ends under a run, one each second.
pub fn pool_with_ends(run: &Run, count: u64) -> Pool {
    let mut pool = Pool::default();
    for n in 0..count {
        end_under(&mut pool, run, n * 1_000 + 560);
    }
    pool
}
