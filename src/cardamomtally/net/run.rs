//! The protocol between an entry and an agent.
//!
//! An entry sends `POST /run` with the call's body and the headers below. The
//! agent answers 200 with a stream of [`Frame`]s, each CBOR behind a 4-byte
//! big-endian length; or a problem document with a verdict and its load.
//!
//! After an ambiguous failure the entry sends `GET /attempts/ATTEMPT?from=OFFSET`,
//! which resumes the frames at a byte offset of the answer's body, or
//! `POST /attempts/ATTEMPT/ask`, which answers an [`Asked`] and leaves a
//! tombstone if the agent has not seen the attempt. `POST /attempts/ATTEMPT/cancel`
//! cancels, `POST /attempts/ATTEMPT/billed` tells that the bill is committed.
//! `GET /probe` answers a [`Probe`].

use crate::core::{
    config::VersionId,
    id::{Incarnation, Index, Name},
};
use serde::{Deserialize, Serialize};

/// Header: attempt id.
pub const ATTEMPT_HEADER: &str = "x-cardamomtally-attempt";
/// Header: the [`RunHead`], as JSON so that operators can read it.
pub const HEAD_HEADER: &str = "x-cardamomtally-run";
/// Header: verdict of a refusal, towards callers and between processes.
pub const VERDICT_HEADER: &str = "x-cardamomtally-verdict";
/// Header: the agent's incarnation, on each of its answers.
pub const INCARNATION_HEADER: &str = "x-cardamomtally-agent";
/// Header: JSON of [`Load`], on each rejection and answer of an agent.
pub const LOAD_HEADER: &str = "x-cardamomtally-load";

/// Reason of a failed answer whose backend server crashed. Its entry repeats the
/// request, if at all, as a suspect.
pub const CRASH_REASON: &str = "the backend server crashed";

/// Longest frame in bytes.
pub const FRAME_LIMIT_BYTES: usize = 1 << 20;

/// What an attempt asks an agent to run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunHead {
    /// Index of the configuration by which the entry chose.
    pub index: Index,
    /// The workspace's partner.
    pub partner: Name,
    /// The workspace.
    pub workspace: Name,
    /// The version, or the plain service.
    pub target: Target,
    /// Method at the backend server.
    pub method: Name,
    /// Path and query at the backend server.
    pub path: Name,
    /// Content type of the body.
    pub media: Option<Name>,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Priority, 0 first.
    pub priority: u8,
    /// Time left for the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Digest of method, path and body, for quarantine.
    pub digest: crate::core::digest::Digest,
    /// Claim key of a request that may not be repeated.
    pub claim: Option<crate::core::claim::ClaimKey>,
    /// The agent's incarnation that the claim names; another one rejects it.
    pub agent: Option<Incarnation>,
    /// Whether an earlier attempt of this request ended with a crash of its
    /// backend server.
    #[serde(default)]
    pub suspect: bool,
}

/// What runs an attempt.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// A plain service: its partner and name.
    Service(VersionId),
    /// A model version.
    Version(VersionId),
}

/// Tokens used by an attempt.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens read.
    #[serde(rename = "p")]
    pub prompt: u64,
    /// Tokens generated.
    #[serde(rename = "c")]
    pub completion: u64,
}

/// One frame of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// The answer's head, first unless the stream is a resumption.
    #[serde(rename = "h")]
    Head {
        /// HTTP status.
        #[serde(rename = "s")]
        status: u16,
        /// Content type.
        #[serde(rename = "m")]
        media: Name,
    },
    /// Bytes of the answer's body.
    #[serde(rename = "d")]
    Data {
        /// Offset of the first byte.
        #[serde(rename = "o")]
        offset: u64,
        /// The bytes.
        #[serde(rename = "b", with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// The answer is whole: its length, and its terminal marker and request id
    /// were checked.
    #[serde(rename = "e")]
    End {
        /// Length of the body in bytes.
        #[serde(rename = "n")]
        length: u64,
        /// Tokens used.
        #[serde(rename = "u")]
        usage: Usage,
    },
    /// The answer is not whole and will not be.
    #[serde(rename = "x")]
    Failed {
        /// Whether the request ran.
        #[serde(rename = "v")]
        verdict: crate::core::verdict::Verdict,
        /// What happened.
        #[serde(rename = "w")]
        reason: Name,
        /// Whether the version is to blame, not the backend server.
        #[serde(rename = "b")]
        blame: bool,
    },
}

/// What an agent knows of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Asked {
    /// Never seen; a tombstone now rejects it for good.
    NotSeen,
    /// It runs.
    Running,
    /// It ended with a whole answer, which can still be fetched.
    Ended,
    /// It was rejected, or ended before anything was sent to the backend server.
    NotRun,
    /// It may have run; its answer is lost.
    Unknown,
}

/// An agent's load.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Attempts that run.
    pub running: u32,
    /// Attempts that wait.
    pub queued: u32,
    /// How many may run now.
    pub limit: u32,
    /// Expected time to first token of one more attempt, in milliseconds.
    pub delay_ms: u32,
    /// Whether it is warming up.
    pub warming: bool,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}

/// Answer to a probe.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Probe {
    /// The backend server's name.
    pub backend: Name,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The agent's load.
    pub load: Load,
    /// Whether its lease is valid, so that it takes work.
    pub ready: bool,
    /// Digests of prompt prefixes that its engine holds, newest first.
    #[serde(default)]
    pub prefixes: Vec<u64>,
}
