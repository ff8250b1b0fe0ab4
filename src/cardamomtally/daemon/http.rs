//! HTTP listener of a daemon, with the routes that every daemon has: health,
//! metrics and the events of the time line.

use super::{Context, gate, problem, stop::exit_after};
use crate::{
    listen::{
        capacity::CapacityBounds,
        memory::BufferMemory,
        server::{HeadLimits, Listener},
    },
    settings::common::HttpSettings,
    timeline::Event,
    util::descriptors,
};
use eyre::WrapErr as _;
use rocket::{
    Build, Rocket, State, catchers,
    config::{LogLevel, Shutdown as StopSettings},
    get,
    http::Status,
    routes,
    serde::json::Json,
};
use serde::Serialize;
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Longest time from the end of the drain to the end of the process. After that,
/// the process exits even if the listener is not closed.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Share of the file descriptors for clients' connections, in percent. Each request in flight
/// needs others.
const CONNECTIONS_FD_PERCENT: usize = 40;

/// Time between two runs of the metrics recorder's upkeep, which drops old
/// histogram samples.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Contents of the line that a daemon prints once its listeners are bound: `ready `
/// followed by this value as JSON. Programs that start a daemon learn its addresses
/// from this line.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReadyLine {
    /// Name of the process, as in the settings.
    pub name: String,
    /// Bound HTTP address.
    pub http: String,
    /// Bound address for polls; control members only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub poll: Option<String>,
    /// Bound address for replication messages; control members only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
}

/// Creates an HTTP listener with the routes that every daemon has. The daemon adds
/// its own routes.
///
/// # Errors
///
/// Returns an error if the listen address is not `IP:PORT`.
pub fn build(settings: &HttpSettings, context: &Context) -> eyre::Result<Rocket<Build>> {
    let listen: SocketAddr = settings.listen.parse().wrap_err_with(|| {
        format!(
            "invalid listen address `{}`: expected `IP:PORT`",
            settings.listen
        )
    })?;
    let config = rocket::Config {
        address: listen.ip(),
        port: listen.port(),
        workers: settings.threads,
        log_level: LogLevel::Off,
        shutdown: StopSettings {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            ..StopSettings::default()
        },
        ..rocket::Config::default()
    };
    Ok(rocket::custom(config)
        .manage(context.clone())
        .mount("/", routes![live, ready, render_metrics, events])
        .register("/", catchers![problem::unhandled]))
}

/// Runs a listener until SIGTERM or SIGINT, then drains requests in flight and
/// stops the listener.
///
/// Once the address is bound, prints the ready line and sets the HTTP address of
/// `context`.
///
/// # Errors
///
/// Returns an error if the listener cannot be built or its address cannot be
/// bound.
pub async fn serve(
    rocket: Rocket<Build>,
    settings: &HttpSettings,
    context: &Context,
    bound: ReadyLine,
) -> eyre::Result<()> {
    let socket = TcpListener::bind(&settings.listen).await;
    let socket = socket.wrap_err_with(|| format!("failed to listen at {}", settings.listen))?;
    let mut line = bound;
    line.http = socket.local_addr()?.to_string();
    let http = settings
        .advertise
        .clone()
        .unwrap_or_else(|| line.http.clone());
    // The cell is empty, because only this listener sets the address.
    let _first = context.http_address.set(http.into());
    print_ready(&line);
    let (close, closed) = watch::channel(false);
    tokio::spawn(upkeep(context.clone()));
    let drain = tokio::spawn(drain(context.clone(), settings.drain_timeout.0, close));
    let outcome = gate::serve(rocket, listener(settings, context), socket, closed).await;
    drain.abort();
    outcome
}

fn listener(settings: &HttpSettings, context: &Context) -> Listener {
    let limits = HeadLimits {
        head_bytes: settings.head_limit.0 as usize,
        head_time: settings.head_timeout.0,
        idle_time: settings.idle_timeout.0,
    };
    let connections = descriptors::most_open() / 100 * CONNECTIONS_FD_PERCENT;
    let bounds = CapacityBounds::holding(settings.body_memory.0 as usize);
    Listener {
        name: "http",
        connections: connections.clamp(1, settings.connection_limit as usize),
        limits: Box::new(move || limits),
        memory: Arc::new(BufferMemory::new(bounds, Arc::clone(&context.clock))),
        clock: Arc::clone(&context.clock),
        log: context.log.clone(),
    }
}

fn print_ready(bound: &ReadyLine) {
    use std::io::Write as _;
    let json = serde_json::to_string(bound).expect("the ready line always encodes as JSON");
    let mut out = std::io::stdout().lock();
    // The daemon serves requests even if standard output is closed.
    let _ignored = writeln!(out, "ready {json}").and_then(|()| out.flush());
}

/// Runs the upkeep of the metrics recorder. Never returns.
async fn upkeep(context: Context) {
    loop {
        tokio::time::sleep(METRICS_UPKEEP_INTERVAL).await;
        context.metrics.run_upkeep();
    }
}

/// Waits for SIGTERM or SIGINT, refuses new requests, waits until the requests in
/// flight have ended or `timeout` has passed, and stops the listener.
async fn drain(context: Context, timeout: Duration, close: watch::Sender<bool>) {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        slog::error!(
            context.log,
            "stop: failed to install the signal handlers; requests will not be drained"
        );
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    slog::info!(context.log, "stop: draining"; "in_flight" => context.requests.running());
    context.events.record("stop", &"process", "draining");
    context.ready.store(false, Ordering::Release);
    context.requests.close();
    if !context.requests.wait_drained(timeout).await {
        slog::warn!(context.log,
            "stop: requests still in flight at the drain timeout; stopping without them";
            "in_flight" => context.requests.running());
    }
    exit_after(EXIT_TIMEOUT, context.log.clone());
    close.send_replace(true);
}

#[get("/health/live")]
const fn live() -> Status {
    Status::Ok
}

#[get("/health/ready")]
fn ready(context: &State<Context>) -> Status {
    if context.ready.load(Ordering::Acquire) {
        Status::Ok
    } else {
        Status::ServiceUnavailable
    }
}

#[get("/metrics")]
fn render_metrics(context: &State<Context>) -> String {
    context.metrics.render()
}

#[get("/timeline")]
fn events(context: &State<Context>) -> Json<Vec<Event>> {
    Json(context.events.events())
}
