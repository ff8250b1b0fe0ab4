//! Write-once claims: the first writer of a key wins, and the reply to every
//! later writer names the winner.
//!
//! Three kinds of operations use claims through a [`ClaimStore`]: requests that
//! may not be repeated, sessions that keep their model version, and bills.
//! Quarantined requests follow the same rule, but are part of the configuration,
//! since every process needs them.

use crate::core::{
    config::VersionId,
    digest::Digest,
    id::{AttemptId, Name, RequestId},
};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use std::{fmt, fmt::Debug, time::Duration};

/// Key of a claim: a digest of the partner, the workspace and the key that the
/// caller chose.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey(pub Digest);

impl ClaimKey {
    /// Returns the claim key for a caller's idempotency key.
    #[must_use]
    pub fn request(partner: &str, workspace: &str, key: &str) -> Self {
        Self(Digest::of_parts(&[
            b"request",
            partner.as_bytes(),
            workspace.as_bytes(),
            key.as_bytes(),
        ]))
    }

    /// Returns the claim key for a caller's session id.
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

/// The answer to a request, stored in its claim so that a resent request gets
/// the same answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    pub media: Name,
    /// Digest of the complete body.
    pub digest: Digest,
    /// The body, or `None` if it is larger than a claim may store.
    pub body: Option<serde_bytes::ByteBuf>,
}

/// Progress of a request that may not be repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Progress {
    /// An attempt holds the claim and may be running at its backend server.
    Running,
    /// The attempt is proved not to have run. The entry that owns the attempt, or
    /// an entry that receives the request again, can replace the attempt by
    /// compare-and-set.
    Released,
    /// The request ran and got this answer. Final.
    Done(Answer),
    /// The outcome cannot be determined any more. Final.
    Unknown,
}

/// Value of the claim of a request that may not be repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestClaim {
    /// The request that created the claim.
    pub request: RequestId,
    /// Digest of the request's method, path and body. A request with the same
    /// idempotency key and another digest does not get the claim.
    pub body: Digest,
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// The backend server of that attempt.
    pub backend: Name,
    /// Incarnation of the agent beside that backend server, if the entry knew it.
    pub agent: Option<crate::core::id::Incarnation>,
    /// Progress of that attempt.
    pub progress: Progress,
}

/// The bill for one request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Bill {
    /// The billed request.
    pub request: RequestId,
    /// Partner that owns the workspace.
    pub partner: Name,
    /// The workspace.
    pub workspace: Name,
    /// The model version that gave the answer, or the plain service.
    pub version: VersionId,
    /// Prompt tokens read, summed over all steps of a cascade.
    pub prompt_tokens: u64,
    /// Tokens generated, summed over all steps of a cascade.
    pub completion_tokens: u64,
    /// Cost in millionths of the unit of account, summed over all steps of a
    /// cascade.
    pub cost_micros: u64,
}

/// One operation on the ledger. All operations are idempotent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimOp {
    /// Claims a request's key before the request is first dispatched.
    Begin {
        /// Key of the request's claim.
        key: ClaimKey,
        /// The value to write if the key is free.
        claim: RequestClaim,
        /// Time after this operation at which the claim expires.
        ttl: Duration,
    },
    /// Replaces the attempt of a claim, if the claim still names the expected
    /// attempt and its progress is [`Progress::Running`] or
    /// [`Progress::Released`].
    Reassign {
        /// Key of the request's claim.
        key: ClaimKey,
        /// The attempt that must still hold the claim.
        from: AttemptId,
        /// The new value.
        claim: RequestClaim,
    },
    /// Sets the progress of a claim, if the claim still names the attempt and its
    /// progress is not final.
    Settle {
        /// Key of the request's claim.
        key: ClaimKey,
        /// The attempt that must still hold the claim.
        attempt: AttemptId,
        /// The new progress.
        progress: Progress,
    },
    /// Reads a request's claim.
    Look {
        /// Key of the request's claim.
        key: ClaimKey,
    },
    /// Sets the version of a session on its first use, or moves the session to
    /// another version.
    Session {
        /// Key of the session's claim.
        key: ClaimKey,
        /// The version that the writer expects to replace; `None` for the first
        /// use.
        from: Option<VersionId>,
        /// The version to write.
        version: VersionId,
        /// Time after its last successful write at which the session expires.
        ttl: Duration,
    },
    /// Adds a bill to the totals, unless its request is already billed.
    Bill(Bill),
    /// Reads the bill totals of all workspaces.
    Bills,
}

/// Bill totals of one workspace and version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BillSum {
    /// Partner that owns the workspace.
    pub partner: Name,
    /// The workspace.
    pub workspace: Name,
    /// The model version or plain service.
    pub version: VersionId,
    /// Number of billed requests.
    pub requests: u64,
    /// Prompt tokens read.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Cost in millionths of the unit of account.
    pub cost_micros: u64,
}

/// The ledger's reply to one operation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The request's claim after the operation.
    Request {
        /// Whether this operation, or an identical earlier one, wrote the value.
        /// Always false for [`ClaimOp::Look`].
        won: bool,
        /// The stored value, if there is one.
        claim: Option<RequestClaim>,
    },
    /// The session's version after the operation.
    Session {
        /// Whether the session now has the version that the operation names.
        won: bool,
        /// The stored version.
        version: VersionId,
    },
    /// The request is billed.
    Bill {
        /// Whether this operation added the bill to the totals. False if the
        /// request was billed before.
        first: bool,
    },
    /// Bill totals by workspace and version.
    Bills(Vec<BillSum>),
}

/// Error of an operation to which the ledger gave no reply. Unless `refused` is
/// set, the operation may have been or may still be committed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimError {
    /// What was tried and why it failed.
    pub reason: String,
    /// Whether it is certain that the operation was not and will not be
    /// committed.
    pub refused: bool,
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for ClaimError {}

/// Interface of the ledger.
///
/// Operations are idempotent: an operation that is sent again gets the same
/// reply, so callers resend an operation whose reply was lost.
pub trait ClaimStore: Debug + Send + Sync {
    /// Applies one operation. Returns its reply after the operation is committed
    /// and synced to the disks of a quorum.
    fn apply(&self, op: ClaimOp) -> BoxFuture<'_, Result<ClaimReply, ClaimError>>;
}
