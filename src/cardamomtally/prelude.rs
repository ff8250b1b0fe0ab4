//! Re-exports the types that most modules and tests use, for one glob import.

pub use crate::core::{
    arena::{Arena, Key},
    clock::{Clock, Mono},
    digest::Digest,
    id::{AttemptId, GroupId, Incarnation, Index, MemberId, Name, RequestId, Term},
    map::{FastMap, FastSet},
    snapshot::Snapshot,
    verdict::Verdict,
};
pub use eyre::{Result, WrapErr};
pub use std::{sync::Arc, time::Duration};
