//! Content, ends and times for tests.

use cardamomtally::{
    prelude::*,
    quarantine::{
        evidence::End,
        fingerprint::{CallerKey, Fingerprint, ServerKey},
        pool::{Admission, Pool},
    },
};

/// Returns the fingerprint of a request with this body.
pub fn content(body: &str) -> Fingerprint {
    Fingerprint::of_request(
        "POST",
        "/jobs/1",
        CallerKey::of(Some("studio")),
        body.as_bytes(),
    )
}

/// Returns a time in milliseconds after the start, which is well above 0.
pub fn at(ms: u64) -> Mono {
    Mono(100_000_000 + ms * 1_000)
}

/// Returns the end of a server under a run.
pub fn end(server: u64, began: u64, ended: u64) -> End {
    End {
        server: ServerKey(server),
        began: at(began),
        at: at(ended),
    }
}

/// Returns how a pool admits content at a time.
pub fn admit(pool: &mut Pool, content: Fingerprint, ms: u64) -> Admission {
    pool.admit(&[content], &"entry-1".into(), 0, at(ms))
}

/// Returns a pool that knows `count` ends under content, one each second, each of a run
/// that began after the end before.
pub fn pool_with_ends(content: Fingerprint, count: u64) -> Pool {
    let mut pool = Pool::default();
    for n in 0..count {
        let ended = end(n, n * 1_000 + 500, n * 1_000 + 560);
        pool.record_end(&[content], ended, at(n * 1_000 + 560));
    }
    pool
}
