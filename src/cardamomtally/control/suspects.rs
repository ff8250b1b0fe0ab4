//! Requests under suspicion after crashes of backend servers, as pure logic.
//!
//! The digests in flight at a crash are suspects. One that was present at two
//! different crashes is quarantined; one that is seen to end without a crash is
//! cleared, and so is one that nobody has sent again for a while. Quarantined
//! digests stay until they are pushed out by newer ones.

use crate::{
    core::{config::Suspect, digest::Digest, id::Name},
    net::wire::CrashReport,
};
use std::collections::BTreeMap;

/// Crashes at which a digest must have been present to be quarantined.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Digests kept at most.
const SUSPECTS_MAX: usize = 4_096;

/// The digests under suspicion.
pub type Suspects = BTreeMap<Digest, Suspect>;

/// Takes note of crashes. Returns whether anything changed.
pub fn note(suspects: &mut Suspects, crashes: &[CrashReport]) -> bool {
    let mut changed = false;
    for crash in crashes {
        let id = Name::from(format!("{}/{}", crash.backend, crash.incarnation));
        for digest in &crash.digests {
            changed |= note_one(suspects, *digest, &id);
        }
    }
    changed
}

fn note_one(suspects: &mut Suspects, digest: Digest, crash: &Name) -> bool {
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

/// Drops a digest if there are too many: a mere suspect rather than one in
/// quarantine.
fn make_room(suspects: &mut Suspects) -> bool {
    if suspects.len() < SUSPECTS_MAX {
        return true;
    }
    let mere = suspects.iter().find(|(_, s)| !s.quarantined);
    let victim = mere.or_else(|| suspects.iter().next()).map(|(d, _)| *d);
    victim.is_some_and(|digest| suspects.remove(&digest).is_some())
}

/// Clears suspects that are not in quarantine. Returns whether anything changed.
pub fn clear(suspects: &mut Suspects, digests: &[Digest]) -> bool {
    let before = suspects.len();
    for digest in digests {
        if suspects.get(digest).is_some_and(|s| !s.quarantined) {
            suspects.remove(digest);
        }
    }
    suspects.len() < before
}
