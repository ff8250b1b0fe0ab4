//! The listeners for callers and for readiness checks.

use super::{app::App, serve::handler};
use crate::{
    listen::{
        body::{Body, full_body},
        capacity::CapacityBounds,
        memory::Upload,
        server::{self, HeadLimits, Listener},
    },
    prelude::*,
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use tokio::{net::TcpListener, sync::watch};

/// Largest number of connections for readiness checks and metrics. The balancer and those who
/// collect metrics need a few.
const CHECKERS: usize = 64;
/// Part of the number of callers' connections that these may be, and their least number.
const CALLERS_PART: usize = 10;
const MIN_CHECKERS: usize = 8;
/// Limits on the requests of these connections. The balancer asks each second, and metrics
/// are collected every minute or more often.
const CHECKER_LIMITS: HeadLimits = HeadLimits {
    head_bytes: 8 << 10,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(90),
};

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

/// Returns the largest number of connections for checks: a tenth of callers' at most, so that
/// few descriptors suffice for both and for backend servers.
fn checkers(bounds: &CapacityBounds) -> usize {
    let most = bounds
        .callers
        .map_or(CHECKERS, |callers| callers / CALLERS_PART);
    most.clamp(MIN_CHECKERS, CHECKERS)
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
    socket: TcpListener,
    ready: Arc<str>,
    render: Arc<dyn Fn() -> String + Send + Sync>,
) {
    let listener = Listener {
        name: "readiness",
        connections: checkers(app.memory.bounds()),
        limits: Box::new(|| CHECKER_LIMITS),
        memory: Arc::clone(&app.memory),
        clock: Arc::clone(&app.clock),
        log: app.log.clone(),
    };
    let answer = move |request: Request<Upload>| {
        let response = health(&app, &ready, &*render, request.uri().path());
        async move { response }
    };
    // The checks go on until the process ends.
    let (_open, close) = watch::channel(false);
    server::run(Arc::new(listener), socket, answer, close).await;
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
