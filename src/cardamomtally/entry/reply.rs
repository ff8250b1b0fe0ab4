//! Replies to callers, and their HTTP responses.

use super::{answer::CompleteAnswer, app::App, frames::Head, problem::Problem, relay::Relay};
use crate::core::id::{Name, RequestId};
use bytes::Bytes;
use rocket::{
    Response,
    http::{ContentType, Header, Status},
};
use std::{io::Cursor, str::FromStr as _};
use tokio_util::io::StreamReader;

/// Most bytes of a stream that are passed to the network in one write.
const WRITE_BYTES: usize = 64 << 10;

/// What the entry sends back to a caller.
#[derive(Debug)]
pub enum Reply {
    /// A complete answer of a backend server.
    Complete(CompleteAnswer),
    /// A stream of server-sent events.
    Stream(Head, Box<Relay>),
    /// A refusal as a problem document.
    Problem(Problem),
    /// A JSON document that the entry itself produces.
    Json(String),
}

impl From<Problem> for Reply {
    fn from(problem: Problem) -> Self {
        Self::Problem(problem)
    }
}

impl Reply {
    /// Builds the HTTP response.
    pub fn into_response(self, app: &App, request: RequestId) -> Response<'static> {
        let mut response = match self {
            Self::Complete(complete) => {
                sized(complete.head.status, &complete.head.media, complete.body)
            }
            Self::Stream(head, relay) => streamed(&head, *relay),
            Self::Problem(problem) => problem.to_response(request),
            Self::Json(text) => sized(200, "application/json", Bytes::from(text)),
        };
        let name = app.settings.callers.request_header.clone();
        response.set_header(Header::new(name, request.to_string()));
        response
    }
}

fn sized(status: u16, media: &str, body: Bytes) -> Response<'static> {
    Response::build()
        .status(Status::new(status))
        .header(media_type(media))
        .sized_body(body.len(), Cursor::new(body))
        .finalize()
}

fn streamed(head: &Head, relay: Relay) -> Response<'static> {
    Response::build()
        .status(Status::new(head.status))
        .header(media_type(&head.media))
        .header(Header::new("Cache-Control", "no-cache"))
        .streamed_body(StreamReader::new(relay.into_stream()))
        .max_chunk_size(WRITE_BYTES)
        .finalize()
}

fn media_type(media: &str) -> ContentType {
    ContentType::from_str(media).unwrap_or(ContentType::Binary)
}

/// Builds the head of an answer.
#[must_use]
pub fn head(status: u16, media: &str) -> Head {
    Head {
        status,
        media: Name::from(media),
    }
}
