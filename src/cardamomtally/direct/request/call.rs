//! A caller's request after it was read and authorised, and its headers.

use super::{names::HeaderNames, prompt::Prompt};
use crate::{
    prelude::*,
    quarantine::{
        fingerprint::{Content, Fingerprint},
        pool::Run,
    },
    routing::rendezvous,
    site::{
        document::{Route, Service},
        table::KeyOwner,
    },
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header, request::Parts};

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Further headers of that kind, which the `http` crate has no constants for.
const HOP_BY_HOP_TEXT: [&str; 2] = ["keep-alive", "proxy-connection"];

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identity of the part, as sent by the caller.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// A caller's request that may be sent to backend servers.
#[derive(Debug)]
pub struct Call {
    /// The caller's id of this attempt. A backend server repeats it in its
    /// answer.
    pub id: HeaderValue,
    /// HTTP method.
    pub method: Method,
    /// Path and query, as received.
    pub uri: Uri,
    /// Headers to forward to the backend server.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The route that matched the host and path.
    pub route: Arc<Route>,
    /// The service that runs the request.
    pub service: Arc<Service>,
    /// The workspace that the key belongs to; `None` if the route needs no key.
    pub workspace: Option<Arc<KeyOwner>>,
    /// When the request was received.
    pub received: Mono,
    /// When the caller's deadline or the route's timeout ends, whichever is
    /// first.
    pub deadline: Mono,
    /// Priority among waiting requests; 0 goes first.
    pub priority: u8,
    /// The length of the prompt and its shared prefix; empty for a plain
    /// service.
    pub prompt: Prompt,
    /// Number of prompt tokens and the limit of answer tokens.
    pub tokens: (u32, u32),
    /// Key that is the same for all requests of a session.
    pub session: u64,
    /// Whether the entry chooses the model from the route's cascade.
    pub any_model: bool,
    /// The model that the caller has chosen, if any.
    pub model: Option<Name>,
    /// Its content, as far as verdicts can be about it.
    pub content: Content,
}

impl Call {
    /// Returns the time that remains before the deadline.
    #[must_use]
    pub fn remaining(&self, now: Mono) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the request as evidence on its content names it.
    #[must_use]
    pub fn run(&self) -> Run {
        let caller = self.content.caller;
        let target = format!("{} {}", self.route.name, self.uri);
        let compute = || Fingerprint::of_request(self.method.as_str(), &target, caller, &self.body);
        Run {
            caller,
            whole: self.content.whole(compute),
            parts: self.content.parts.clone(),
        }
    }

    /// Returns the request id as text for the log, or `?` if it is not text.
    #[must_use]
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }
}

/// Returns the headers to forward to a backend server: the caller's, without
/// those of the connection and those that only the entry may set.
#[must_use]
pub fn request_headers(names: &HeaderNames, parts: &Parts) -> HeaderMap {
    let excluded = connection_headers(&parts.headers);
    let mut headers = HeaderMap::with_capacity(parts.headers.len() + 4);
    for (name, value) in &parts.headers {
        let own = *name == names.key
            || *name == names.workspace
            || *name == names.instance
            || *name == names.deadline
            || *name == names.priority
            || names.reserved.contains(name);
        if !own && !is_hop_by_hop(name) && !excluded.contains(name) {
            headers.append(name, value.clone());
        }
    }
    headers
}

/// Returns the headers of a backend server's answer to forward to the caller,
/// without those of the connection and the load report.
#[must_use]
pub fn response_headers(names: &HeaderNames, answer: &HeaderMap) -> HeaderMap {
    let excluded = connection_headers(answer);
    let mut headers = HeaderMap::with_capacity(answer.len());
    for (name, value) in answer {
        if !is_hop_by_hop(name) && *name != names.load && !excluded.contains(name) {
            headers.append(name, value.clone());
        }
    }
    headers
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name) || HOP_BY_HOP_TEXT.contains(&name.as_str())
}

/// Returns the headers that the message's `Connection` header lists. They apply
/// to this connection only.
fn connection_headers(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let words = values.filter_map(|v| v.to_str().ok());
    let words = words.flat_map(|v| v.split(','));
    words.filter_map(|w| w.trim().parse().ok()).collect()
}

/// Reads the parts of a prompt from a header of the form `id:tokens,id:tokens`.
/// The list ends before the first part that is not valid. An id that is not a
/// hexadecimal number is hashed.
#[must_use]
pub fn parse_parts(text: &str) -> Vec<PromptPart> {
    let read = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart {
            id: u64::from_str_radix(id, 16).unwrap_or_else(|_| rendezvous::seed(id)),
            tokens: tokens.parse().ok()?,
        })
    };
    text.split(',').map_while(read).collect()
}

/// Builds the prompt from its shared parts and the total number of its tokens.
#[must_use]
pub fn prompt(shared: &[PromptPart], tokens: u32) -> Prompt {
    let add = |sum: u32, part: &PromptPart| sum.saturating_add(part.tokens);
    let sum = shared.iter().fold(0, add);
    Prompt {
        prefix: shared.last().map(|part| part.id),
        shared: sum,
        own: tokens.saturating_sub(sum),
        output: 0,
    }
}

/// Reads the prompt tokens and the answer tokens from a header of the form
/// `in,out`. A missing or invalid number counts as 0.
#[must_use]
pub fn parse_tokens(text: &str) -> (u32, u32) {
    let mut numbers = text.split(',').map(|n| n.trim().parse().unwrap_or(0));
    let read = numbers.next().unwrap_or(0);
    (read, numbers.next().unwrap_or(0))
}
