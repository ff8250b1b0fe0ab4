//! A caller's request after parsing and authentication, and the state that its
//! attempts share.

use super::problem::Problem;
use crate::{
    core::{
        clock::Mono,
        digest::Digest,
        id::{AttemptId, Name, RequestId},
        snapshot::{Snapshot, WorkspaceKey},
    },
    net::run::CRASH_REASON,
    routing::cascade::WorkspaceId,
};
use bytes::Bytes;
use serde_json::{Map, Value};
use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, AtomicU32, Ordering},
};

/// Member of `stream_options` that makes an engine report the token usage at
/// the end of a stream.
const USAGE_OPTION: &str = "include_usage";

/// A caller's request and the state that all its attempts share.
#[derive(Debug)]
pub struct Call {
    /// Request id, drawn by the entry when the request arrives.
    pub request: RequestId,
    /// Workspace that the caller's bearer key belongs to.
    pub workspace: WorkspaceId,
    /// Priority of the workspace; 0 is the most urgent.
    pub priority: u8,
    /// HTTP method of the caller's request.
    pub method: Name,
    /// Path and query of the caller's request.
    pub path: Name,
    /// Content type of the body, if the caller sent one.
    pub media: Option<Name>,
    /// Body of the caller's request.
    pub body: Bytes,
    /// Digest of method, path and body. It identifies the request in its claim
    /// and in the lists of suspect and quarantined requests.
    pub digest: Digest,
    /// Time by which the last byte of the answer must have arrived from the agent.
    pub deadline: Mono,
    /// Value of the session header, if the caller sent one.
    pub session: Option<String>,
    /// Value of the idempotency key header, if the caller sent one.
    pub key: Option<String>,
    attempts: AtomicU32,
    tried: Mutex<Vec<Name>>,
    suspect: AtomicBool,
    ambiguous: AtomicBool,
}

/// Inputs of [`Call::new`].
#[derive(Debug)]
pub struct CallParts {
    /// Request id, drawn by the entry when the request arrives.
    pub request: RequestId,
    /// HTTP method of the caller's request.
    pub method: Name,
    /// Path and query of the caller's request.
    pub path: Name,
    /// Content type of the body, if the caller sent one.
    pub media: Option<Name>,
    /// Body of the caller's request.
    pub body: Bytes,
    /// Time by which the last byte of the answer must have arrived from the agent.
    pub deadline: Mono,
    /// Value of the session header, if the caller sent one.
    pub session: Option<String>,
    /// Value of the idempotency key header, if the caller sent one.
    pub key: Option<String>,
}

impl Call {
    /// Builds a call that takes its identity and priority from a workspace.
    #[must_use]
    pub fn new(snapshot: &Snapshot, workspace: WorkspaceKey, parts: CallParts) -> Self {
        let workspace = &snapshot.workspaces[workspace];
        let digest =
            Digest::of_parts(&[parts.method.as_bytes(), parts.path.as_bytes(), &parts.body]);
        Self {
            request: parts.request,
            workspace: WorkspaceId {
                partner: Arc::clone(&workspace.partner),
                name: Arc::clone(&workspace.name),
            },
            priority: workspace.priority,
            method: parts.method,
            path: parts.path,
            media: parts.media,
            body: parts.body,
            digest,
            deadline: parts.deadline,
            session: parts.session,
            key: parts.key,
            attempts: AtomicU32::new(0),
            tried: Mutex::default(),
            suspect: AtomicBool::new(false),
            ambiguous: AtomicBool::new(false),
        }
    }

    /// Returns the id of the next attempt. Attempts are numbered from 1.
    pub fn next_attempt(&self) -> AttemptId {
        AttemptId {
            request: self.request,
            number: self.attempts.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Returns the backend servers that were chosen for this request since its
    /// last success.
    pub fn tried_backends(&self) -> Vec<Name> {
        let tried = self.tried.lock().unwrap_or_else(PoisonError::into_inner);
        tried.clone()
    }

    /// Records that a backend server has been chosen for this request.
    pub fn record_backend(&self, backend: &Name) {
        let mut tried = self.tried.lock().unwrap_or_else(PoisonError::into_inner);
        tried.push(Arc::clone(backend));
    }

    /// Clears the list of tried backend servers after a success, so that the
    /// next cascade step may use all of them.
    pub fn clear_tried(&self) {
        let mut tried = self.tried.lock().unwrap_or_else(PoisonError::into_inner);
        tried.clear();
    }

    /// Records why an attempt failed. A crash of the backend server makes the
    /// request a suspect.
    pub fn record_failure(&self, reason: &str) {
        if reason == CRASH_REASON {
            self.suspect.store(true, Ordering::Relaxed);
        }
    }

    /// Records that an attempt may have run. The mark stays when another
    /// version or backend server is tried next.
    pub fn mark_ambiguous(&self) {
        self.ambiguous.store(true, Ordering::Relaxed);
    }

    /// Returns whether every attempt so far is proved not to have run.
    pub fn is_proved_not_run(&self) -> bool {
        !self.ambiguous.load(Ordering::Relaxed)
    }

    /// Returns whether a backend server has crashed while it ran this request.
    pub fn is_suspect(&self) -> bool {
        self.suspect.load(Ordering::Relaxed)
    }

    /// Finds the workspace of this request in a configuration; `None` if the
    /// workspace has been removed.
    #[must_use]
    pub fn workspace_in(&self, snapshot: &Snapshot) -> Option<WorkspaceKey> {
        snapshot
            .workspaces
            .iter()
            .find(|(_, w)| w.partner == self.workspace.partner && w.name == self.workspace.name)
            .map(|(key, _)| key)
    }
}

/// The parsed body of a completion request.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The requested model, or `auto` if the body names none.
    pub model: String,
    /// Whether the caller asked for a stream of server-sent events.
    pub stream: bool,
    fields: Map<String, Value>,
}

impl Completion {
    /// Parses a body and checks the members that the entry uses.
    ///
    /// # Errors
    ///
    /// Returns a refusal with status 400 that names the fault.
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        let refuse = |detail: &str| Problem::not_run(400, detail);
        if body.is_empty() {
            return Err(refuse("the body is empty; send a JSON object"));
        }
        let text = std::str::from_utf8(body).map_err(|_e| refuse("the body is not UTF-8"))?;
        let value: Value = serde_json::from_str(text)
            .map_err(|error| refuse(&format!("the body is not JSON: {error}")))?;
        let Value::Object(fields) = value else {
            return Err(refuse("the body is not a JSON object"));
        };
        let model = match fields.get("model") {
            Some(Value::String(model)) if !model.is_empty() => model.clone(),
            Some(_) => return Err(refuse("`model` must be a string that is not empty")),
            None => crate::routing::version::AUTO.to_owned(),
        };
        let stream = match fields.get("stream") {
            Some(Value::Bool(stream)) => *stream,
            Some(Value::Null) | None => false,
            Some(_) => return Err(refuse("`stream` must be true or false")),
        };
        if !fields.contains_key("messages") && !fields.contains_key("prompt") {
            return Err(refuse("the body has neither `messages` nor `prompt`"));
        }
        Ok(Self {
            model,
            stream,
            fields,
        })
    }

    /// Returns the body to send for a version. Its `model` names the version.
    /// If the caller asked for a stream, the body asks the engine to report the
    /// token usage at the end.
    #[must_use]
    pub fn body_for(&self, version: &str) -> Bytes {
        let mut fields = self.fields.clone();
        fields.insert("model".to_owned(), Value::from(version));
        if self.stream {
            let options = fields
                .entry("stream_options")
                .or_insert_with(|| Value::Object(Map::new()));
            if !options.is_object() {
                *options = Value::Object(Map::new());
            }
            options[USAGE_OPTION] = Value::Bool(true);
        }
        serde_json::to_vec(&fields).map_or_else(|_e| Bytes::new(), Bytes::from)
    }

    /// Returns a hash of the first `length` bytes of the prompt. Requests with
    /// the same hash prefer the same backend servers.
    #[must_use]
    pub fn prefix(&self, length: usize) -> u64 {
        let text = match (self.fields.get("messages"), self.fields.get("prompt")) {
            (Some(messages), _) => messages.to_string(),
            (None, Some(prompt)) => prompt.to_string(),
            (None, None) => String::new(),
        };
        let bytes = text.as_bytes();
        Digest::of(&bytes[..bytes.len().min(length)]).to_u64()
    }
}
