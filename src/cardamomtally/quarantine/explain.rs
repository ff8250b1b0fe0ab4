//! Ends that known culprits explain.
//!
//! An end at which quarantined content was present says nothing against the other content
//! that ran there. Quarantined whole requests are an exception: a part of theirs may be the
//! cause, so that their ends still speak against their own parts.

use super::{
    evidence::End,
    fingerprint::{Fingerprint, Kind, ServerKey},
};
use crate::prelude::*;

/// What is known of one instance that ended.
#[derive(Clone, Debug, Default)]
struct Cause {
    /// Quarantined parts that ran there.
    parts: Vec<Fingerprint>,
    /// Short hashes of quarantined requests that ran there.
    requests: Vec<u32>,
}

/// The instances at whose end quarantined content was present.
#[derive(Clone, Debug, Default)]
pub struct Explanations {
    causes: FastMap<ServerKey, Cause>,
}

impl Explanations {
    /// Records that quarantined content was present at the end of an instance.
    pub fn add(&mut self, culprit: Fingerprint, server: ServerKey) {
        let cause = self.causes.entry(server).or_default();
        match culprit.kind {
            Kind::Part => cause.parts.push(culprit),
            Kind::Request => cause.requests.push(culprit.tag()),
        }
    }

    /// Tells whether other content explains an end that speaks against `content`.
    #[must_use]
    pub fn covers(&self, content: &Fingerprint, end: &End) -> bool {
        self.causes.get(&end.server).is_some_and(|cause| {
            let part = cause.parts.iter().any(|part| part != content);
            part || cause.requests.iter().any(|tag| *tag != end.request)
        })
    }
}
