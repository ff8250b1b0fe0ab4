//! A caller's request, read and allowed.

use super::{names::Names, placement::Prompt};
use crate::{
    prelude::*,
    routing::rendezvous,
    site::{
        document::{Route, Service},
        table::Holder,
    },
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header, request::Parts};

/// Headers that concern one connection only.
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

/// Names that are no constants of the library.
const HOP_BY_HOP_TEXT: [&str; 2] = ["keep-alive", "proxy-connection"];

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Its identity.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// A caller's request.
#[derive(Debug)]
pub struct Call {
    /// The caller's id of this attempt.
    pub id: HeaderValue,
    /// HTTP method.
    pub method: Method,
    /// Path and query, as sent.
    pub uri: Uri,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The route.
    pub route: Arc<Route>,
    /// The service that runs it.
    pub service: Arc<Service>,
    /// The workspace, unless the route is public.
    pub workspace: Option<Arc<Holder>>,
    /// When it came.
    pub received: Mono,
    /// When the caller or the route gives up, whichever is first.
    pub deadline: Mono,
    /// Rank, 0 first.
    pub priority: u8,
    /// Its prompt; empty for a plain service.
    pub prompt: Prompt,
    /// Tokens of the prompt, and most tokens of the answer.
    pub tokens: (u32, u32),
    /// The same for all requests of its session.
    pub session: u64,
    /// Whether the entry chooses the model.
    pub any_model: bool,
    /// The model that the caller names.
    pub model: Option<Name>,
}

impl Call {
    /// Returns the time left.
    #[must_use]
    pub fn remaining(&self, now: Mono) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the id as text, for logs.
    #[must_use]
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }
}

/// Returns the headers to pass on to a backend server.
#[must_use]
pub fn request_headers(names: &Names, parts: &Parts) -> HeaderMap {
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

/// Returns the headers of a backend server's answer to pass on to the caller.
#[must_use]
pub fn response_headers(names: &Names, answer: &HeaderMap) -> HeaderMap {
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

/// Returns the headers that a message itself calls its connection's own.
fn connection_headers(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let words = values.filter_map(|v| v.to_str().ok());
    let words = words.flat_map(|v| v.split(','));
    words.filter_map(|w| w.trim().parse().ok()).collect()
}

/// Reads the parts of a prompt. What cannot be read ends the list.
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

/// Joins the parts that a prompt shares and its tokens.
#[must_use]
pub fn prompt(shared: &[PromptPart], tokens: u32) -> Prompt {
    let sum: u32 = shared.iter().map(|part| part.tokens).sum();
    Prompt {
        prefix: shared.last().map(|part| part.id),
        shared: sum,
        own: tokens.saturating_sub(sum),
    }
}

/// Reads `in,out` tokens; what is missing is 0.
#[must_use]
pub fn parse_tokens(text: &str) -> (u32, u32) {
    let mut numbers = text.split(',').map(|n| n.trim().parse().unwrap_or(0));
    let read = numbers.next().unwrap_or(0);
    (read, numbers.next().unwrap_or(0))
}
