//! The listeners for callers and for readiness checks.

use super::{app::App, serve::handler};
use crate::{
    listen::{
        body::{Body, full_body},
        server::{self, HeadLimits, Listener},
    },
    prelude::*,
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use slog::warn;
use std::convert::Infallible;
use tokio::{net::TcpListener, sync::watch};

/// Pause after a failed `accept`, for example when the process has no free file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers' connections until `close` becomes true. At most
/// `max_connections` are open at a time, or as many as the limits of the VM allow; further
/// ones wait to be accepted.
pub async fn run(
    app: Arc<App>,
    socket: TcpListener,
    max_connections: usize,
    close: watch::Receiver<bool>,
) {
    let bound = app.memory.bounds().callers;
    let limits = Arc::clone(&app);
    let listener = Listener {
        name: "callers",
        connections: bound.map_or(max_connections, |bound| bound.min(max_connections)),
        limits: Box::new(move || head_limits(&limits)),
        memory: Arc::clone(&app.memory),
        clock: Arc::clone(&app.clock),
        log: app.log.clone(),
    };
    let answer = move |request| handler::handle(Arc::clone(&app), request);
    server::run(Arc::new(listener), socket, answer, close).await;
}

/// Returns the limits of the document in force, or the usual ones while there is none.
fn head_limits(app: &App) -> HeadLimits {
    let limits = app.config.current().table.as_ref().map(|t| t.limits);
    let limits = limits.unwrap_or_default();
    HeadLimits {
        head_bytes: limits.head_bytes,
        head_time: limits.head_time,
        idle_time: limits.idle_time,
    }
}

/// Serves readiness checks and metrics at an address of their own.
pub async fn run_health(
    app: Arc<App>,
    listener: TcpListener,
    ready: Arc<str>,
    render: Arc<dyn Fn() -> String + Send + Sync>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(app.log, "health: accept failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (app, ready, render) = (Arc::clone(&app), Arc::clone(&ready), Arc::clone(&render));
        let service = service_fn(move |request: Request<Incoming>| {
            let response = health(&app, &ready, &*render, request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            // An error on this connection affects only the health checker, which
            // notices it itself.
            let _ended = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn health(
    app: &App,
    ready: &str,
    render: &(dyn Fn() -> String + Send + Sync),
    path: &str,
) -> Response<Body> {
    let (status, body) = match path {
        "/metrics" => (StatusCode::OK, render()),
        "/health/live" => (StatusCode::OK, String::new()),
        path if path == ready || path == "/health/ready" => {
            let status = if app.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            (status, String::new())
        }
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(full_body(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
