//! A caller's request, read and checked.

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

/// Option that asks an engine for the usage at the end of a stream.
const USAGE_OPTION: &str = "include_usage";

/// A caller's request.
#[derive(Debug)]
pub struct Call {
    /// Its id.
    pub request: RequestId,
    /// Its workspace.
    pub workspace: WorkspaceId,
    /// Its priority, 0 first.
    pub priority: u8,
    /// HTTP method.
    pub method: Name,
    /// Path and query.
    pub path: Name,
    /// Content type.
    pub media: Option<Name>,
    /// Body.
    pub body: Bytes,
    /// Digest of method, path and body.
    pub digest: Digest,
    /// When the last byte must have been sent.
    pub deadline: Mono,
    /// The session, if the caller named one.
    pub session: Option<String>,
    /// The caller's idempotency key.
    pub key: Option<String>,
    attempts: AtomicU32,
    tried: Mutex<Vec<Name>>,
    suspect: AtomicBool,
    ambiguous: AtomicBool,
}

/// What a call is built from.
#[derive(Debug)]
pub struct CallParts {
    /// Its id.
    pub request: RequestId,
    /// HTTP method.
    pub method: Name,
    /// Path and query.
    pub path: Name,
    /// Content type.
    pub media: Option<Name>,
    /// Body.
    pub body: Bytes,
    /// When the last byte must have been sent.
    pub deadline: Mono,
    /// The session, if the caller named one.
    pub session: Option<String>,
    /// The caller's idempotency key.
    pub key: Option<String>,
}

impl Call {
    /// Builds a call of a workspace.
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

    /// Draws the next attempt id.
    pub fn next_attempt(&self) -> AttemptId {
        AttemptId {
            request: self.request,
            number: self.attempts.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Returns the backend servers that it was sent to without success.
    pub fn tried_backends(&self) -> Vec<Name> {
        let tried = self.tried.lock().unwrap_or_else(PoisonError::into_inner);
        tried.clone()
    }

    /// Remembers that it is sent to a backend server.
    pub fn record_backend(&self, backend: &Name) {
        let mut tried = self.tried.lock().unwrap_or_else(PoisonError::into_inner);
        tried.push(Arc::clone(backend));
    }

    /// Forgets where it was sent, after a success.
    pub fn clear_tried(&self) {
        let mut tried = self.tried.lock().unwrap_or_else(PoisonError::into_inner);
        tried.clear();
    }

    /// Takes note of why an attempt failed.
    pub fn record_failure(&self, reason: &str) {
        if reason == CRASH_REASON {
            self.suspect.store(true, Ordering::Relaxed);
        }
    }

    /// Remembers that an attempt may have run, whatever version or backend server
    /// is tried next.
    pub fn mark_ambiguous(&self) {
        self.ambiguous.store(true, Ordering::Relaxed);
    }

    /// Tells whether it is proved that no attempt so far has run.
    pub fn is_proved_not_run(&self) -> bool {
        !self.ambiguous.load(Ordering::Relaxed)
    }

    /// Tells whether a backend server has crashed while it ran this.
    pub fn is_suspect(&self) -> bool {
        self.suspect.load(Ordering::Relaxed)
    }

    /// Finds its workspace in a configuration.
    #[must_use]
    pub fn workspace_in(&self, snapshot: &Snapshot) -> Option<WorkspaceKey> {
        snapshot
            .workspaces
            .iter()
            .find(|(_, w)| w.partner == self.workspace.partner && w.name == self.workspace.name)
            .map(|(key, _)| key)
    }
}

/// The body of a completion.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The model that it names.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    fields: Map<String, Value>,
}

impl Completion {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the fault.
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

    /// Returns the body for a version.
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

    /// Returns a hash of the first bytes of the prompt.
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
