//! One dispatch of a request to one backend server, and whether it has run.

use super::{
    call::Call,
    names::Names,
    pool::{Answer, Outgoing, SendError},
    registry::Choice,
};
use crate::prelude::*;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use std::fmt::Display;

/// What a dispatch led to.
#[derive(Debug)]
pub enum Outcome {
    /// The head of an answer of this request's own.
    Answered(Box<Answer>),
    /// It never left this entry.
    NotSent(&'static str),
    /// The backend server rejected it: it has not run and will not.
    Rejected(&'static str),
    /// It may have run.
    Unknown(&'static str),
    /// Nothing came in time; it may have run.
    Silent,
}

impl Outcome {
    /// Returns a few words for logs.
    #[must_use]
    pub fn label(&self) -> String {
        match self {
            Self::Answered(answer) => format!("answered {}", answer.response.status().as_u16()),
            Self::NotSent(why) => format!("not sent: {why}"),
            Self::Rejected(why) => format!("rejected: {why}"),
            Self::Unknown(why) => format!("unknown: {why}"),
            Self::Silent => "unknown: no answer in time".to_owned(),
        }
    }
}

/// How a request differs from one attempt to the next.
#[derive(Clone, Copy, Debug)]
pub struct AttemptParams<'a> {
    /// Time that the backend server is given.
    pub left: Duration,
    /// The model, where the entry chooses it.
    pub model: Option<&'a str>,
    /// The last event that the caller has, of a stream that goes on.
    pub last_event: Option<u64>,
}

/// Builds the request for a backend server.
///
/// # Panics
///
/// Panics if the caller's method and path are none, which its parser excludes.
#[must_use]
pub fn request(names: &Names, call: &Call, choice: &Choice, params: AttemptParams<'_>) -> Outgoing {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.uri.clone())
        .body(Full::new(call.body.clone()))
        .expect("the method and path were parsed");
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    set_header(headers, &names.deadline, &params.left.as_millis());
    set_header(headers, &names.priority, &call.priority.min(9));
    set_header(headers, &names.instance, &choice.backend.instance);
    if let Some(workspace) = &call.workspace {
        set_header(headers, &names.workspace, &workspace.name);
    }
    if let Some(model) = params.model {
        set_header(headers, &names.model, &model);
    }
    if let Some(last) = params.last_event {
        set_header(headers, &names.last_event, &last);
    }
    request
}

fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: &dyn Display) {
    // A name that no header can hold reaches no backend server.
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(name, value);
    }
}

/// Judges what came of sending a request.
#[must_use]
pub fn classify(names: &Names, call: &Call, sent: Result<Answer, SendError>) -> Outcome {
    let answer = match sent {
        Ok(answer) => answer,
        Err(SendError::NotSent(why)) => return Outcome::NotSent(why),
        Err(SendError::Broken(error)) if error.is_parse() => {
            return Outcome::Unknown("the answer is no HTTP");
        }
        Err(SendError::Broken(_)) => return Outcome::Unknown("the connection broke"),
    };
    let (status, headers) = (answer.response.status(), answer.response.headers());
    if headers.contains_key(&names.unexecuted) {
        return Outcome::Rejected("the backend server did not execute it");
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::Rejected("another backend server has the address");
    }
    if headers.get(&names.attempt) != Some(&call.id) {
        return Outcome::Unknown("the answer belongs to another request");
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Outcome::Unknown("the answer is not the backend server's");
    }
    if !headers.contains_key(&names.signature) && status.is_success() {
        return Outcome::Unknown("the answer has no signature");
    }
    Outcome::Answered(Box::new(answer))
}

/// Reads a load header: running, waiting, slots.
#[must_use]
pub fn parse_load(names: &Names, headers: &HeaderMap) -> Option<(u32, u32)> {
    let text = headers.get(&names.load)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|n| n.trim().parse().ok());
    Some((numbers.next()??, numbers.next()??))
}

/// Reads the answer's own confidence, 0 to 100.
#[must_use]
pub fn parse_confidence(names: &Names, headers: &HeaderMap) -> Option<f64> {
    headers
        .get(&names.confidence)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}

/// Reads for how long the peer keeps an idle connection, less a margin.
#[must_use]
pub fn parse_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text
        .split(',')
        .find_map(|w| w.trim().strip_prefix("timeout="));
    let seconds: f64 = timeout?.trim().parse().ok()?;
    Some(Duration::from_secs_f64((seconds * 0.7).clamp(0.0, 60.0)))
}
