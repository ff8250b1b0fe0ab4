//! Detection of requests that crash backend servers, as pure logic.
//!
//! The digests of the requests in flight at a crash are suspects. A digest that
//! was in flight at two different crashes is quarantined. A suspect is cleared
//! when its request ends without a crash, or if the request is not in flight at
//! another crash within a period. A quarantined digest is removed only when the
//! limit of stored digests is reached and no suspect is left to remove.

use crate::{
    core::{config::Suspect, digest::Digest, id::Name},
    net::wire::CrashReport,
};
use std::collections::BTreeMap;

/// Number of different crashes after which a digest that was in flight at each of
/// them is quarantined.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Maximum number of stored digests, suspects and quarantined ones together. At the
/// limit, another digest is removed for each new one.
const MAX_SUSPECTS: usize = 4_096;

/// Suspected and quarantined digests, each with the crashes at which it was in
/// flight.
pub type Suspects = BTreeMap<Digest, Suspect>;

/// Records crashes. Returns whether anything changed; a crash that is reported
/// again changes nothing.
pub fn record_crashes(suspects: &mut Suspects, crashes: &[CrashReport]) -> bool {
    let mut changed = false;
    for crash in crashes {
        let id = Name::from(format!("{}/{}", crash.backend, crash.incarnation));
        for digest in &crash.digests {
            changed |= record_suspect(suspects, *digest, &id);
        }
    }
    changed
}

fn record_suspect(suspects: &mut Suspects, digest: Digest, crash: &Name) -> bool {
    if !suspects.contains_key(&digest) && !make_room(suspects) {
        return false;
    }
    let suspect = suspects.entry(digest).or_insert_with(|| Suspect {
        crashes: Vec::new(),
        quarantined: false,
    });
    if suspect.quarantined || suspect.crashes.contains(crash) {
        return false;
    }
    suspect.crashes.push(Name::clone(crash));
    suspect.quarantined = suspect.crashes.len() >= CRASHES_TO_QUARANTINE;
    true
}

/// Removes one digest if the limit is reached: the lowest suspect if there is one,
/// otherwise the lowest quarantined digest. The choice depends on the replicated state
/// alone, so all members make the same one. Returns whether there is room for
/// another digest.
fn make_room(suspects: &mut Suspects) -> bool {
    if suspects.len() < MAX_SUSPECTS {
        return true;
    }
    let unquarantined = suspects.iter().find(|(_, s)| !s.quarantined);
    let removed = unquarantined
        .or_else(|| suspects.iter().next())
        .map(|(d, _)| *d);
    removed.is_some_and(|digest| suspects.remove(&digest).is_some())
}

/// Removes the given digests, except quarantined ones. Returns whether anything
/// changed.
pub fn clear(suspects: &mut Suspects, digests: &[Digest]) -> bool {
    let before = suspects.len();
    for digest in digests {
        if suspects.get(digest).is_some_and(|s| !s.quarantined) {
            suspects.remove(digest);
        }
    }
    suspects.len() < before
}
