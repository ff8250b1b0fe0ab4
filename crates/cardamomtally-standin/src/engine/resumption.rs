//! How the engine answers a request to resume a stream that broke off.

use super::routes::Reply;
use rocket::http::{ContentType, Status};
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Text that an engine sends in place of the rest of a stream.
pub const ERROR_TEXT: &str = "the engine has failed";

/// How the engine answers a request to resume a stream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resumption {
    /// It continues the stream.
    #[default]
    Continues,
    /// With this status and [`ERROR_TEXT`].
    Error(u16),
    /// With [`ERROR_TEXT`] as plain text and success.
    Text,
    /// With [`ERROR_TEXT`] where the first event is due.
    TextInStream,
    /// With the head of a refusal where the first event is due.
    HeadInStream,
    /// With an event that reports an error.
    ErrorEvent,
    /// With an event that has the request's id and an error as its data.
    ErrorData,
    /// With the terminal marker alone.
    EndsAtOnce,
    /// With no event and no terminal marker.
    Empty,
}

impl Resumption {
    /// Returns the faulty reply for a request with this id, or none if the stream continues.
    pub(super) fn reply(self, id: &str) -> Option<Reply> {
        let reply = |status, media, text: String| {
            Some(Reply::Text(status, id.to_owned(), Box::new(media), text))
        };
        let stream = |text| reply(Status::Ok, ContentType::new("text", "event-stream"), text);
        let text = format!("{ERROR_TEXT}\n\n");
        match self {
            Self::Continues => None,
            Self::Error(status) => {
                let status = Status::from_code(status).unwrap_or(Status::InternalServerError);
                reply(status, ContentType::Plain, text)
            }
            Self::Text => reply(Status::Ok, ContentType::Plain, text),
            Self::TextInStream => stream(text),
            Self::HeadInStream => {
                let length = text.len();
                let head = format!("HTTP/1.1 503 Service Unavailable\r\nContent-Length: {length}");
                stream(format!("{head}\r\n\r\n{text}"))
            }
            Self::ErrorEvent => {
                let data = json!({ "id": id, "choices": [], "message": ERROR_TEXT });
                stream(format!("event: error\ndata: {data}\n\n"))
            }
            Self::ErrorData => {
                let data = json!({ "id": id, "error": { "message": ERROR_TEXT } });
                stream(format!("data: {data}\n\ndata: [DONE]\n\n"))
            }
            Self::EndsAtOnce => stream("data: [DONE]\n\n".to_owned()),
            Self::Empty => stream(String::new()),
        }
    }
}
