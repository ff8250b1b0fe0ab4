//! One attempt: a request sent to one backend server, and whether it may have
//! run there.
//!
//! The outcome decides whether the request may be sent again, so an attempt
//! counts as not run only if that is certain.

use super::pool::{Answer, Outgoing, SendError};
use crate::{
    direct::{
        fleet::registry::Choice,
        request::{call::Call, names::HeaderNames},
    },
    net::bounded,
    prelude::*,
};
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use std::fmt::Display;

/// The outcome of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// The backend server has answered this request. The body follows.
    Answered(Box<Answer>),
    /// Nothing of the request was written to a connection, so it has not run.
    NotSent(&'static str),
    /// The backend server rejected the request, so the request has not run and
    /// will not run.
    Rejected(&'static str),
    /// Another backend server runs at the address now and rejected the request, so the
    /// request has not run and will not run.
    Replaced,
    /// The attempt failed in a way that leaves open whether the request has
    /// run.
    Unknown(&'static str),
    /// The connection failed, which leaves open whether the request has run, and
    /// whether the backend server has ended.
    Broken(&'static str),
    /// No answer came within the time limit. The request may have run.
    Silent,
}

impl Outcome {
    /// Returns the outcome in a few words for the log.
    #[must_use]
    pub fn label(&self) -> String {
        match self {
            Self::Answered(answer) => format!("answered {}", answer.response.status().as_u16()),
            Self::NotSent(why) => format!("not sent: {why}"),
            Self::Rejected(why) => format!("rejected: {why}"),
            Self::Replaced => {
                "rejected: another backend server runs at the address (421)".to_owned()
            }
            Self::Broken(why) | Self::Unknown(why) => format!("unknown: {why}"),
            Self::Silent => "unknown: no answer within the time limit".to_owned(),
        }
    }
}

/// The parts of a request that differ from one attempt to the next.
#[derive(Clone, Copy, Debug)]
pub struct AttemptParams<'a> {
    /// Time that remains before the deadline; sent in the deadline header.
    pub left: Duration,
    /// The model to use, if the entry chooses it from the route's cascade.
    pub model: Option<&'a str>,
    /// Id of the last event that the caller has, if a stream is resumed.
    pub last_event: Option<u64>,
}

/// Builds the request for a backend server: the caller's method, path, headers
/// and body, and the headers that the entry sets.
///
/// # Panics
///
/// Panics if the method or the path is not valid HTTP. Both were parsed by the
/// server before.
#[must_use]
pub fn request(
    names: &HeaderNames,
    call: &Call,
    choice: &Choice,
    params: AttemptParams<'_>,
) -> Outgoing {
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
    // A value that is not valid in an HTTP header is left out.
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(name, value);
    }
}

/// Decides from the result of sending a request whether it was answered, has
/// certainly not run, or may have run.
///
/// An answer is accepted only if it has a status of a final answer and the attempt id of this
/// request, has no
/// `Content-Encoding`, and carries a signature if its status is a success. Any
/// other answer may come from an intermediary between the entry and the backend
/// server, or belong to another request. That holds for rejections too: a backend
/// server may write an earlier one once more where this request's answer is due.
/// The connection of an answer that is not accepted is closed.
#[must_use]
pub fn classify(names: &HeaderNames, call: &Call, sent: Result<Answer, SendError>) -> Outcome {
    let answer = match sent {
        Ok(answer) => answer,
        Err(SendError::NotSent(why)) => return Outcome::NotSent(why),
        Err(SendError::Broken(error)) if error.is_parse() => {
            return Outcome::Unknown("the answer is not valid HTTP");
        }
        Err(SendError::Broken(_)) => {
            return Outcome::Broken("the connection failed before an answer");
        }
    };
    let (status, headers) = (answer.response.status(), answer.response.headers());
    if !bounded::is_final(status) {
        metrics::counter!("cardamomtally_direct_foreign_answers_total").increment(1);
        return Outcome::Unknown("the answer's status is none of a final answer");
    }
    if let Err(why) = check_attempt_id(names, call, headers) {
        metrics::counter!("cardamomtally_direct_foreign_answers_total").increment(1);
        return Outcome::Unknown(why);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        // The backend server that was meant also rejects a model that it does not have.
        return match &call.model {
            Some(_) => Outcome::Rejected("the backend server or its model is another one (421)"),
            None => Outcome::Replaced,
        };
    }
    if headers.contains_key(&names.unexecuted) {
        return Outcome::Rejected("the backend server did not execute the request");
    }
    // Only the mark says that the request has not run. Callers take these statuses as that
    // promise, whatever the backend server meant by them.
    if promises_not_run(status) && !call.route.class.repeats() {
        return Outcome::Unknown("the answer's status says not run, and the answer does not");
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Outcome::Unknown("the answer has a Content-Encoding, which no backend server sets");
    }
    if !headers.contains_key(&names.signature) && status.is_success() {
        return Outcome::Unknown("the answer has no signature header");
    }
    Outcome::Answered(Box::new(answer))
}

/// Checks that an answer names this request, and no other one, by its attempt id.
fn check_attempt_id(
    names: &HeaderNames,
    call: &Call,
    headers: &HeaderMap,
) -> Result<(), &'static str> {
    let mut ids = headers.get_all(&names.attempt).iter();
    match (ids.next(), ids.next()) {
        (Some(id), None) if *id == call.id => Ok(()),
        (Some(_), None) => Err("the answer has another attempt id than the request"),
        (None, _) => Err("the answer has no attempt id"),
        (Some(_), Some(_)) => Err("the answer has several attempt ids"),
    }
}

/// Tells whether callers take a status as the promise that the request has not run.
const fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Reads the confidence that the model gives for its answer, from 0 to 100.
#[must_use]
pub fn parse_confidence(names: &HeaderNames, headers: &HeaderMap) -> Option<f64> {
    headers
        .get(&names.confidence)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}

/// Tells whether an answer's end shows by its length or its chunks. Otherwise it ends with
/// its connection.
#[must_use]
pub fn is_delimited(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Tells whether a body begins with the status line of an answer: its backend server may have
/// written an earlier answer between this one's head and body.
#[must_use]
pub fn begins_with_head(body: &[u8]) -> bool {
    let rest = body.strip_prefix(b"HTTP/1.");
    let code = rest.and_then(|rest| rest.get(2..5));
    code.is_some_and(|code| code.iter().all(u8::is_ascii_digit))
}

/// Tells whether an answer's body is a stream of events.
#[must_use]
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok());
    let media = text.and_then(|text| text.split(';').next());
    media.is_some_and(|media| media.trim().eq_ignore_ascii_case("text/event-stream"))
}

/// Reads the timeout of the `Keep-Alive` header and returns 70 % of it, at most
/// 60 s, or none if it is no number. The margin makes the entry drop an idle connection before the backend
/// server closes it.
#[must_use]
pub fn parse_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text
        .split(',')
        .find_map(|w| w.trim().strip_prefix("timeout="));
    let seconds: f64 = timeout?.trim().parse().ok()?;
    Duration::try_from_secs_f64((seconds * 0.7).clamp(0.0, 60.0)).ok()
}
