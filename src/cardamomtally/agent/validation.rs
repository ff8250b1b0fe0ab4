//! Checks that an answer is complete and belongs to its request.
//!
//! A model engine names the request in the answer's header and in each event or
//! body, and ends a stream with a marker. Each event of a stream is forwarded once
//! it is checked; a JSON body is forwarded only when it is complete. The body of a
//! plain service is forwarded as it arrives; the HTTP library checks its length.
//!
//! A stream that was resumed must go on with events of the answer. An error that the engine
//! reports instead, or a terminal marker alone, is not the rest of the answer.

use crate::{
    core::id::RequestId,
    net::run::{Target, Usage},
    util::sse,
};
use bytes::Bytes;
use serde::{Deserialize, de::IgnoredAny};
use std::{borrow::Cow, fmt};

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// Maximum length of an event or JSON body, in bytes. A longer one is rejected
/// with [`Fault::TooLong`].
const MAX_CHECKED_BYTES: usize = 4 << 20;

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The answer belongs to another request.
    WrongRequest,
    /// The answer does not name its request.
    MissingId,
    /// The answer does not have the format that its content type says.
    Malformed,
    /// An event or body is too long to be checked.
    TooLong,
    /// The answer ended before it was complete.
    Truncated,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::WrongRequest => "the backend server sent another request's answer",
            Self::MissingId => "the backend server's answer does not name its request",
            Self::Malformed => "the backend server's answer is malformed",
            Self::TooLong => "the backend server's answer is too long to be checked",
            Self::Truncated => "the backend server's answer ended early",
        })
    }
}

/// Format of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFormat {
    /// Server-sent events.
    Stream,
    /// One JSON document.
    Json,
    /// Any format; the body is not checked.
    Plain,
}

impl AnswerFormat {
    /// Returns the format that an answer must have, by its target, status and
    /// content type.
    #[must_use]
    pub fn of(target: &Target, status: u16, media: &str) -> Self {
        let ok = (200..300).contains(&status);
        match target {
            Target::Version(_) if ok && media.starts_with("text/event-stream") => Self::Stream,
            Target::Version(_) if ok => Self::Json,
            _ => Self::Plain,
        }
    }
}

/// Checks the request id that a backend server echoed in its header. A plain
/// service may omit it.
///
/// # Errors
///
/// Returns the fault if the answer may not be forwarded.
pub fn check_request_id(
    target: &Target,
    request: RequestId,
    echoed: Option<&str>,
) -> Result<(), Fault> {
    match (target, echoed) {
        (_, Some(id)) if id == request.to_string() => Ok(()),
        (_, Some(_)) => Err(Fault::WrongRequest),
        (Target::Version(_), None) => Err(Fault::MissingId),
        (Target::Service(_), None) => Ok(()),
    }
}

/// The part of an engine's event or body that is checked.
#[derive(Debug, Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    id: Option<Cow<'a, str>>,
    usage: Option<BodyUsage>,
    error: Option<IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct BodyUsage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

/// Checks an answer as it arrives.
#[derive(Debug)]
pub struct Checker {
    format: AnswerFormat,
    request: String,
    buffer: Vec<u8>,
    events: u64,
    /// Number of complete events when the stream was last resumed, if it was.
    resumed_at: Option<u64>,
    done: bool,
    usage: Usage,
}

impl Checker {
    /// Builds the checker of one answer.
    #[must_use]
    pub fn new(format: AnswerFormat, request: RequestId) -> Self {
        Self {
            format,
            request: request.to_string(),
            buffer: Vec::new(),
            events: 0,
            resumed_at: None,
            done: false,
            usage: Usage::default(),
        }
    }

    /// Returns the number of complete events seen, which is the offset from which
    /// a stream is resumed.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Returns the tokens used, as far as the answer has reported them.
    #[must_use]
    pub const fn usage(&self) -> Usage {
        self.usage
    }

    /// Returns the answer's format.
    #[must_use]
    pub const fn format(&self) -> AnswerFormat {
        self.format
    }

    /// Prepares for the bytes of a resumed stream: discards the start of an event that was
    /// cut off.
    pub fn resume(&mut self) {
        self.buffer.clear();
        self.resumed_at = Some(self.events);
    }

    /// Takes bytes of the answer and returns those that may be forwarded.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, Fault> {
        if self.format == AnswerFormat::Plain {
            return Ok(bytes.clone());
        }
        self.buffer.extend_from_slice(bytes);
        let passed = if self.format == AnswerFormat::Stream {
            self.check_events()?
        } else {
            Bytes::new()
        };
        if self.buffer.len() > MAX_CHECKED_BYTES {
            return Err(Fault::TooLong);
        }
        Ok(passed)
    }

    /// Returns whether the marker that ends a stream has been seen.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Checks the end of an answer, and returns the bytes that were held back
    /// until then.
    ///
    /// # Errors
    ///
    /// Returns the fault if the answer is not complete.
    pub fn finish(&mut self) -> Result<Bytes, Fault> {
        match self.format {
            AnswerFormat::Plain => Ok(Bytes::new()),
            AnswerFormat::Stream if self.done => Ok(Bytes::new()),
            AnswerFormat::Stream => Err(Fault::Truncated),
            AnswerFormat::Json => {
                let body = std::mem::take(&mut self.buffer);
                self.check_body(&body)?;
                Ok(Bytes::from(body))
            }
        }
    }

    fn check_events(&mut self) -> Result<Bytes, Fault> {
        let (mut end, before) = (0, (self.events, self.usage));
        while !self.done
            && let Some(length) = event_length(&self.buffer[end..])
        {
            let event = self.buffer[end..end + length].to_vec();
            if let Err(fault) = self.check_event(&event) {
                // None of these events is forwarded, so a resumption begins before them.
                (self.events, self.usage) = before;
                return Err(fault);
            }
            end += length;
        }
        let passed = Bytes::copy_from_slice(&self.buffer[..end]);
        self.buffer.drain(..end);
        if self.done {
            self.buffer.clear();
        }
        Ok(passed)
    }

    fn check_event(&mut self, event: &[u8]) -> Result<(), Fault> {
        let fields = || sse::lines(event).filter(|line| !line.is_empty());
        if !fields().all(sse::is_field) {
            return Err(Fault::Malformed);
        }
        if self.resumed_at.is_some() && fields().any(sse::is_error_type) {
            return Err(Fault::Truncated);
        }
        let text = std::str::from_utf8(event).map_err(|_e| Fault::Malformed)?;
        let data: String = text
            .lines()
            .filter_map(|line| line.strip_prefix("data:"))
            .map(str::trim_start)
            .collect();
        if data == DONE {
            self.check_end()?;
            self.done = true;
        } else if !data.is_empty() {
            self.check_body(data.as_bytes())?;
        }
        self.events += 1;
        Ok(())
    }

    /// Checks the terminal marker. Right after a resumption it does not prove that all of the
    /// answer has come, unless the usage, which is last in an answer, came before.
    fn check_end(&self) -> Result<(), Fault> {
        let at_once = self.resumed_at == Some(self.events);
        if at_once && self.usage == Usage::default() {
            return Err(Fault::Truncated);
        }
        Ok(())
    }

    fn check_body(&mut self, body: &[u8]) -> Result<(), Fault> {
        let parsed: Body<'_> = serde_json::from_slice(body).map_err(|error| {
            if error.is_eof() {
                Fault::Truncated
            } else {
                Fault::Malformed
            }
        })?;
        match parsed.id.as_deref() {
            Some(id) if id == self.request => {}
            Some(_) => return Err(Fault::WrongRequest),
            None => return Err(Fault::MissingId),
        }
        if self.resumed_at.is_some() && parsed.error.is_some() {
            return Err(Fault::Truncated);
        }
        if let Some(usage) = parsed.usage {
            self.usage = Usage {
                prompt: usage.prompt_tokens,
                completion: usage.completion_tokens,
            };
        }
        Ok(())
    }
}

/// Returns the length of the first complete event, including the blank line that
/// ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let unix = find(bytes, b"\n\n");
    let dos = find(bytes, b"\r\n\r\n");
    match (unix, dos) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
        .map(|at| at + pattern.len())
}
