//! Write-once claims: the first writer wins, and every writer learns the winner.
//!
//! Four users share the mechanism: requests that may not be repeated, sessions
//! that keep their version, bills, and quarantined requests (the last live in
//! the configuration, since every process needs them).

use crate::core::{
    config::VersionId,
    digest::Digest,
    id::{AttemptId, Name, RequestId},
};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use std::{fmt, fmt::Debug, time::Duration};

/// A claim's key: a digest of workspace and the caller's own key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey(pub Digest);

impl ClaimKey {
    /// Builds the key of a caller's idempotency key.
    #[must_use]
    pub fn request(partner: &str, workspace: &str, key: &str) -> Self {
        Self(Digest::of_parts(&[
            b"request",
            partner.as_bytes(),
            workspace.as_bytes(),
            key.as_bytes(),
        ]))
    }

    /// Builds the key of a session.
    #[must_use]
    pub fn session(partner: &str, workspace: &str, session: &str) -> Self {
        Self(Digest::of_parts(&[
            b"session",
            partner.as_bytes(),
            workspace.as_bytes(),
            session.as_bytes(),
        ]))
    }
}

/// A first answer, kept for resent submissions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub media: Name,
    /// Digest of the whole body.
    pub digest: Digest,
    /// The body, unless it is above the size that claims keep.
    pub body: Option<serde_bytes::ByteBuf>,
}

/// Where a request that may not be repeated has got to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Progress {
    /// An attempt holds the claim and may be running.
    Running,
    /// Proved not to have run: the same attempt's owner, or a resent
    /// submission, may take the claim over by compare-and-set.
    Released,
    /// It ran, and this is the answer.
    Done(Answer),
    /// Its outcome is unknown for good.
    Unknown,
}

/// The value of a request's claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestClaim {
    /// The request that first took the key.
    pub request: RequestId,
    /// Digest of its method, path and body.
    pub body: Digest,
    /// The attempt that holds it.
    pub attempt: AttemptId,
    /// The backend server of that attempt.
    pub backend: Name,
    /// Incarnation of the agent of that attempt, if the entry knew it.
    pub agent: Option<crate::core::id::Incarnation>,
    /// Where it has got to.
    pub progress: Progress,
}

/// One bill, for one request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Bill {
    /// The request.
    pub request: RequestId,
    /// The workspace's partner.
    pub partner: Name,
    /// The workspace.
    pub workspace: Name,
    /// The version that gave the answer, or the plain service.
    pub version: VersionId,
    /// Tokens read, over all steps of a cascade.
    pub prompt_tokens: u64,
    /// Tokens generated, over all steps of a cascade.
    pub completion_tokens: u64,
    /// Cost in millionths of the unit of account, over all steps.
    pub cost_micros: u64,
}

/// One operation on the ledger.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimOp {
    /// Takes a request's key before its first dispatch.
    Begin {
        /// The key.
        key: ClaimKey,
        /// The value to write if the key is free.
        claim: RequestClaim,
        /// How long the claim is kept.
        ttl: Duration,
    },
    /// Replaces the attempt, if the claim still names the expected one and is
    /// running or released.
    Reassign {
        /// The key.
        key: ClaimKey,
        /// The attempt that must still hold the claim.
        from: AttemptId,
        /// The new value.
        claim: RequestClaim,
    },
    /// Sets the progress, if the claim still names the attempt and is not final.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The attempt that must still hold the claim.
        attempt: AttemptId,
        /// The new progress.
        progress: Progress,
    },
    /// Reads a request's claim.
    Look {
        /// The key.
        key: ClaimKey,
    },
    /// Takes a session's version on its first use, or moves it.
    Session {
        /// The key.
        key: ClaimKey,
        /// The version that the writer expects there; `None` for the first use.
        from: Option<VersionId>,
        /// The version to write.
        version: VersionId,
        /// How long the session is kept after its last write.
        ttl: Duration,
    },
    /// Records a bill, once.
    Bill(Bill),
    /// Sums bills.
    Bills,
}

/// Sum of bills of one workspace and version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BillSum {
    /// The workspace's partner.
    pub partner: Name,
    /// The workspace.
    pub workspace: Name,
    /// The version or plain service.
    pub version: VersionId,
    /// Number of bills.
    pub requests: u64,
    /// Tokens read.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Cost in millionths of the unit of account.
    pub cost_micros: u64,
}

/// The ledger's answer to one operation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The request's claim after the operation; `won` if the operation wrote it.
    Request {
        /// Whether this operation, or an identical earlier one, wrote the value.
        won: bool,
        /// The value that stands, if any.
        claim: Option<RequestClaim>,
    },
    /// The session's version after the operation.
    Session {
        /// Whether this operation wrote it.
        won: bool,
        /// The version that stands.
        version: VersionId,
    },
    /// The bill is recorded; `first` unless it already was.
    Bill {
        /// Whether this operation recorded it.
        first: bool,
    },
    /// Sums of bills.
    Bills(Vec<BillSum>),
}

/// Why the ledger gave no answer. The operation may still be committed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimError {
    /// What was tried and why it failed.
    pub reason: String,
    /// Whether it is proved that the operation is not and will not be committed.
    pub refused: bool,
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for ClaimError {}

/// The ledger as its users see it.
///
/// Operations are idempotent: the same operation sent again gets the same
/// answer, so a lost answer is simply asked for again.
pub trait ClaimStore: Debug + Send + Sync {
    /// Applies one operation and returns after it is committed and synced.
    fn apply(&self, op: ClaimOp) -> BoxFuture<'_, Result<ClaimReply, ClaimError>>;
}
