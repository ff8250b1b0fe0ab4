//! The protocol between an entry and an agent.
//!
//! An entry sends `POST /run` with the body of the call and the headers below.
//! The agent answers either with status 200 and a stream of [`Frame`]s, each
//! encoded as CBOR after a 4-byte big-endian length, or with a problem document
//! that states a verdict and the agent's load.
//!
//! After a failure that leaves open whether an attempt ran, the entry sends one
//! of two calls. `GET /attempts/ATTEMPT?from=OFFSET` resumes the frames at a byte
//! offset of the answer's body. `POST /attempts/ATTEMPT/ask` returns an
//! [`AttemptStatus`]; if the agent has not seen the attempt, it also stores a
//! tombstone, so that it rejects the attempt should it arrive later.
//!
//! `POST /attempts/ATTEMPT/cancel` cancels an attempt,
//! `POST /attempts/ATTEMPT/billed` states that the bill of an attempt is
//! committed, and `GET /probe` returns a [`Probe`].

use crate::core::{
    config::VersionId,
    id::{Incarnation, Index, Name},
};
use serde::{Deserialize, Serialize};

/// Header with the attempt id, in the form of [`AttemptId`](crate::core::id::AttemptId).
pub const ATTEMPT_HEADER: &str = "x-cardamomtally-attempt";
/// Header with the [`RunHead`], as JSON so that operators can read it.
pub const HEAD_HEADER: &str = "x-cardamomtally-run";
/// Header with the verdict of a refusal, to callers and between processes.
pub const VERDICT_HEADER: &str = "x-cardamomtally-verdict";
/// Header with the agent's incarnation, on each answer of an agent.
pub const INCARNATION_HEADER: &str = "x-cardamomtally-agent";
/// Header with the [`Load`] as JSON, on each answer and rejection of an agent.
pub const LOAD_HEADER: &str = "x-cardamomtally-load";

/// Reason in [`Frame::Failed`] if the backend server crashed. If the entry repeats
/// the request, it marks the new attempt as [`RunHead::suspect`].
pub const CRASH_REASON: &str = "the backend server crashed";

/// Largest encoded frame, in bytes. An entry treats a larger one as a broken
/// stream.
pub const FRAME_LIMIT_BYTES: usize = 1 << 20;

/// Description of an attempt that an agent is to run, apart from the body.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunHead {
    /// Index of the configuration from which the entry chose the backend server.
    pub index: Index,
    /// Partner that owns the workspace.
    pub partner: Name,
    /// Workspace of the caller.
    pub workspace: Name,
    /// The model version or plain service that runs the request.
    pub target: Target,
    /// HTTP method at the backend server.
    pub method: Name,
    /// Path and query at the backend server.
    pub path: Name,
    /// Content type of the body.
    pub media: Option<Name>,
    /// Whether the request may be repeated, that is, whether it is idempotent.
    pub repeatable: bool,
    /// Priority, from 0 (served first) to 9 (served last).
    pub priority: u8,
    /// Time left for the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Digest of method, path and body, by which requests are quarantined.
    pub digest: crate::core::digest::Digest,
    /// Key of the request's claim, if the request may not be repeated.
    pub claim: Option<crate::core::claim::ClaimKey>,
    /// Incarnation of the agent that the claim names. An agent with another
    /// incarnation rejects the attempt.
    pub agent: Option<Incarnation>,
    /// Whether the backend server crashed during an earlier attempt of this
    /// request.
    #[serde(default)]
    pub suspect: bool,
}

/// The model version or plain service that runs an attempt.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// A plain service, by partner and name.
    Service(VersionId),
    /// A model version, by partner and name.
    Version(VersionId),
}

/// Number of tokens that an attempt used.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Prompt tokens read.
    #[serde(rename = "p")]
    pub prompt: u64,
    /// Completion tokens generated.
    #[serde(rename = "c")]
    pub completion: u64,
}

/// One frame of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Head of the answer. It is the first frame, unless the stream resumes an
    /// answer.
    #[serde(rename = "h")]
    Head {
        /// HTTP status code.
        #[serde(rename = "s")]
        status: u16,
        /// Content type of the body.
        #[serde(rename = "m")]
        media: Name,
    },
    /// Part of the answer's body.
    #[serde(rename = "d")]
    Data {
        /// Offset of the first byte in the body.
        #[serde(rename = "o")]
        offset: u64,
        /// Bytes of the body.
        #[serde(rename = "b", with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// The answer is complete. The agent has checked its length, its terminal
    /// marker and its request id.
    #[serde(rename = "e")]
    End {
        /// Length of the body in bytes.
        #[serde(rename = "n")]
        length: u64,
        /// Tokens that the attempt used.
        #[serde(rename = "u")]
        usage: Usage,
    },
    /// The answer is incomplete, and the rest will not follow.
    #[serde(rename = "x")]
    Failed {
        /// Whether the request ran.
        #[serde(rename = "v")]
        verdict: crate::core::verdict::Verdict,
        /// Cause of the failure.
        #[serde(rename = "w")]
        reason: Name,
        /// Whether the failure is attributed to the model version and not to the
        /// backend server, so that the backend server does not count as failing.
        #[serde(rename = "b")]
        blame: bool,
    },
}

/// State of an attempt, as far as its agent knows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptStatus {
    /// The agent had not seen the attempt. It has now stored a tombstone and will
    /// reject the attempt.
    NotSeen,
    /// The attempt is running.
    Running,
    /// The attempt ended with a complete answer, which can still be fetched.
    Ended,
    /// The attempt was rejected, or ended before anything was sent to the backend
    /// server.
    NotRun,
    /// The attempt may have run, and its answer is lost.
    Unknown,
}

/// Load of an agent.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Number of running attempts.
    pub running: u32,
    /// Number of queued attempts.
    pub queued: u32,
    /// Number of attempts that may run at present.
    pub limit: u32,
    /// Expected time to the first token of an additional attempt, in milliseconds.
    pub delay_ms: u32,
    /// Whether the backend server is not warm: cold, warming up, failed or leaving.
    pub warming: bool,
    /// Whether the backend server is leaving or the agent is stopping. The agent
    /// then takes no new work.
    pub leaving: bool,
}

/// Answer to a probe.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Probe {
    /// Name of the backend server.
    pub backend: Name,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Load of the agent.
    pub load: Load,
    /// Whether the agent's lease is valid. Without a valid lease it takes no work.
    pub ready: bool,
    /// Digests of prompt prefixes in the engine's cache, most recent first.
    #[serde(default)]
    pub prefixes: Vec<u64>,
}
