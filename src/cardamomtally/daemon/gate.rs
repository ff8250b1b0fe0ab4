//! Serves the routes of a Rocket instance on a listener with bounds.
//!
//! Rocket's own listener has no bound on connections, on the time for a head, and none that
//! holds for the bodies of all requests together. So connections are accepted by
//! [`listen`](crate::listen), and each request is dispatched to the instance within the
//! process. Its body is read only when its handler asks for it (see
//! [`body`](super::body)). As with Rocket's listener, a handler runs on when its client
//! disconnects.

use super::body::Arrived;
use crate::{
    listen::{
        body::{Body, BodyError, full_body},
        conversation::Conversation,
        memory::{BufferMemory, Upload},
        server::{self, Listener},
    },
    net::run::VERDICT_HEADER,
    prelude::*,
};
use bytes::{Bytes, BytesMut};
use futures::stream;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use rocket::{
    Build, Rocket,
    fairing::AdHoc,
    http::{Header, Method},
    local::asynchronous::{Client, LocalResponse},
};
use std::io;
use tokio::{
    io::AsyncReadExt as _,
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
};

/// Most bytes of a response that are read at once.
const CHUNK_BYTES: usize = 32 << 10;

/// Serves the routes of an instance until `close` becomes true, and then waits until its
/// connections have ended, within the time that the listener leaves them.
///
/// # Errors
///
/// Returns an error if the instance cannot be built.
pub async fn serve(
    rocket: Rocket<Build>,
    listener: Listener,
    socket: TcpListener,
    close: watch::Receiver<bool>,
) -> eyre::Result<()> {
    let rocket = rocket.attach(AdHoc::on_response("length", |_, response| {
        Box::pin(async move {
            if let Some(size) = response.body_mut().size().await {
                response.set_raw_header("Content-Length", size.to_string());
            }
        })
    }));
    let client = Client::untracked(rocket).await;
    let client = client.map_err(|error| eyre::eyre!("failed to build the routes: {error}"))?;
    let client = Arc::new(client);
    let memory = Arc::clone(&listener.memory);
    let answer = move |request| dispatch(Arc::clone(&client), Arc::clone(&memory), request);
    server::run(Arc::new(listener), socket, answer, close).await;
    Ok(())
}

/// Returns the conversation on a request's connection, empty if no listener has passed it on.
pub fn conversation<'r>(request: &'r rocket::Request<'_>) -> &'r Conversation {
    request.local_cache(Conversation::default)
}

/// Answers a request in a task of its own.
async fn dispatch(
    client: Arc<Client>,
    memory: Arc<BufferMemory>,
    request: Request<Upload>,
) -> Response<Body> {
    let (sender, answered) = oneshot::channel();
    tokio::spawn(async move { run(&client, memory, request, sender).await });
    // The handler's task ends without an answer only if it panics.
    let answered = answered.await;
    answered.unwrap_or_else(|_panicked| empty(StatusCode::INTERNAL_SERVER_ERROR))
}

fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

async fn run(
    client: &Client,
    memory: Arc<BufferMemory>,
    request: Request<Upload>,
    sender: oneshot::Sender<Response<Body>>,
) {
    let (parts, upload) = request.into_parts();
    let Ok(method) = parts.method.as_str().parse::<Method>() else {
        let _disconnected = sender.send(empty(StatusCode::NOT_IMPLEMENTED));
        return;
    };
    let target = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut local = client.req(method, target.to_owned());
    for (name, value) in &parts.headers {
        // A value that is no text is of no use to any route.
        if let Ok(text) = std::str::from_utf8(value.as_bytes()) {
            local.add_header(Header::new(name.as_str().to_owned(), text.to_owned()));
        }
    }
    let conversation = parts.extensions.get::<Conversation>().cloned();
    local
        .inner()
        .local_cache(|| conversation.unwrap_or_default());
    local
        .inner()
        .local_cache(|| Arrived::new(upload, Arc::clone(&memory)));
    let mut response = local.dispatch().await;
    let head = head_of(&response);
    let length = head.headers_ref().and_then(declared);
    // The handler has run, so this is no 503, which would say that nothing did.
    let Some(_held) = memory.try_hold(length.unwrap_or_default()) else {
        let mut failed = empty(StatusCode::INTERNAL_SERVER_ERROR);
        let verdict = HeaderValue::from_static(Verdict::Unknown.as_str());
        failed.headers_mut().insert(VERDICT_HEADER, verdict);
        let _disconnected = sender.send(failed);
        return;
    };
    let (chunks, body) = mpsc::channel(1);
    let Ok(answer) = head.body(to_body(body)) else {
        let _disconnected = sender.send(empty(StatusCode::INTERNAL_SERVER_ERROR));
        return;
    };
    // Sending fails if the client has disconnected.
    if sender.send(answer).is_ok() {
        pass_on(&mut response, &chunks).await;
    }
}

/// Copies status and headers of a response.
fn head_of(response: &LocalResponse<'_>) -> http::response::Builder {
    let mut head = Response::builder().status(response.status().code);
    for field in response.headers().iter() {
        let name = HeaderName::from_bytes(field.name().as_str().as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(field.value())) {
            head = head.header(name, value);
        }
    }
    head
}

fn declared(headers: &http::HeaderMap) -> Option<usize> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

type Chunk = Result<Frame<Bytes>, BodyError>;

fn to_body(chunks: mpsc::Receiver<Chunk>) -> Body {
    let chunks = stream::unfold(chunks, async |mut chunks| {
        let chunk = chunks.recv().await?;
        Some((chunk, chunks))
    });
    StreamBody::new(chunks).boxed_unsync()
}

/// Passes the body of a response on until it ends or its client disconnects.
async fn pass_on(response: &mut LocalResponse<'_>, chunks: &mpsc::Sender<Chunk>) {
    loop {
        let mut bytes = BytesMut::with_capacity(CHUNK_BYTES);
        let read: io::Result<usize> = tokio::select! {
            read = response.read_buf(&mut bytes) => read,
            () = chunks.closed() => return,
        };
        let chunk = match read {
            Ok(0) => return,
            Ok(_) => Ok(Frame::data(bytes.freeze())),
            Err(error) => Err(error.into()),
        };
        let failed = chunk.is_err();
        if chunks.send(chunk).await.is_err() || failed {
            return;
        }
    }
}
