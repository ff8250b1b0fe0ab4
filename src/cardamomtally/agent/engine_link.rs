//! One connection to the backend server for each call.
//!
//! A call that is answered early, cut or without end must show as such. The connection is
//! watched from below the HTTP library for that ([`watched`](crate::net::watched)), which the
//! client for short calls does not allow. Dropping an answer closes its connection.

use crate::{
    core::engine::EngineError,
    net::watched::{Watch, WatchedStream},
};
use bytes::Bytes;
use eyre::{WrapErr as _, ensure};
use http::{HeaderMap, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt as _, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use std::time::Duration;
use tokio::{net::TcpStream, task::AbortHandle};

/// Longest head of an answer, interim answers included, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Port of a URL that names none.
const DEFAULT_PORT: u16 = 80;

/// A request with its complete body.
pub type Outgoing = Request<Full<Bytes>>;

/// Address of a backend server.
#[derive(Clone, Debug)]
pub struct EngineLink {
    host: String,
    port: u16,
    /// Path before that of each call.
    path: String,
    connect_limit: Duration,
}

/// An answer as it arrives.
#[derive(Debug)]
pub struct EngineReply {
    body: Incoming,
    /// Whether the body's end shows by its length or its chunks.
    delimited: bool,
    /// Status of the answer.
    pub status: StatusCode,
    /// Head of the answer.
    pub headers: HeaderMap,
    connection: Connection,
}

#[derive(Debug)]
struct Connection {
    watch: Watch,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EngineLink {
    /// Reads the address from a URL.
    ///
    /// # Errors
    ///
    /// Returns an error if the URL is none of HTTP, or names no host.
    pub fn new(url: &str, connect_limit: Duration) -> eyre::Result<Self> {
        let uri: Uri = url.parse().wrap_err("the URL does not parse")?;
        ensure!(
            uri.scheme_str() == Some("http"),
            "only HTTP is spoken, not `{url}`"
        );
        let host = uri.host().unwrap_or_default();
        ensure!(!host.is_empty(), "the URL `{url}` names no host");
        Ok(Self {
            host: host.to_owned(),
            port: uri.port_u16().unwrap_or(DEFAULT_PORT),
            path: uri.path().trim_end_matches('/').to_owned(),
            connect_limit,
        })
    }

    /// Returns the target of a request for a path, and the value of its `Host` header.
    #[must_use]
    pub fn target(&self, path: &str) -> (String, String) {
        let host = format!("{}:{}", self.host, self.port);
        (format!("{}{path}", self.path), host)
    }

    /// Sends a request on a new connection and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether anything of the request was written.
    pub async fn send(&self, request: Outgoing) -> Result<EngineReply, EngineError> {
        let host = self.host.trim_matches(['[', ']']);
        let connect = TcpStream::connect((host, self.port));
        let stream = match tokio::time::timeout(self.connect_limit, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(EngineError::NotSent(error.to_string())),
            Err(_elapsed) => return Err(EngineError::NotSent("connecting timed out".to_owned())),
        };
        if let Err(error) = stream.set_nodelay(true) {
            return Err(EngineError::NotSent(error.to_string()));
        }
        let watch = Watch::new(MAX_HEAD_BYTES);
        let watched = WatchedStream {
            stream,
            watch: watch.clone(),
        };
        let mut builder = http1::Builder::new();
        let shake = builder
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(watched));
        let (mut sender, driver) = match shake.await {
            Ok(pair) => pair,
            Err(error) => return Err(EngineError::NotSent(error.to_string())),
        };
        let task = tokio::spawn(async move {
            // The error is returned to the caller that waits for the answer.
            let _ended = driver.await;
        });
        let connection = Connection {
            watch,
            task: task.abort_handle(),
        };
        connection.watch.await_head();
        let sent = sender.try_send_request(request).await;
        connection.watch.head_arrived();
        let response = sent.map_err(|mut error| {
            if error.take_message().is_some() {
                EngineError::NotSent("nothing was written".to_owned())
            } else {
                broken(&error.into_error())
            }
        });
        Ok(EngineReply::new(response?, connection))
    }
}

impl EngineReply {
    fn new(response: Response<Incoming>, connection: Connection) -> Self {
        let (parts, body) = response.into_parts();
        let delimited = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
        Self {
            delimited: delimited
                .iter()
                .any(|name| parts.headers.contains_key(name)),
            status: parts.status,
            headers: parts.headers,
            body,
            connection,
        }
    }

    /// Waits for the next bytes of the body. Returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer is cut.
    pub async fn next(&mut self) -> Result<Option<Bytes>, EngineError> {
        loop {
            let Some(frame) = self.body.frame().await else {
                if !self.delimited && self.connection.watch.ended_early() {
                    let why = "the answer ended before its request was received";
                    return Err(EngineError::Broken(why.to_owned()));
                }
                return Ok(None);
            };
            // Trailers are not forwarded.
            if let Ok(bytes) = frame.map_err(|error| broken(&error))?.into_data() {
                return Ok(Some(bytes));
            }
        }
    }
}

/// Returns an error with its causes, which the HTTP library leaves out of the text.
fn broken(error: &hyper::Error) -> EngineError {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    EngineError::Broken(text)
}
