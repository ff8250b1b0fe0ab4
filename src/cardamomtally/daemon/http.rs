//! The HTTP listener of a daemon, with its health, metrics and time line routes.

use super::{Context, problem, stop::exit_after};
use crate::{settings::common::HttpSettings, timeline::Event};
use eyre::WrapErr as _;
use rocket::{
    Build, Rocket, State, catchers,
    config::{LogLevel, Shutdown as StopSettings},
    data::{ByteUnit, Limits},
    fairing::AdHoc,
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
use tokio::signal::unix::{SignalKind, signal};

/// Seconds that the listener waits for open connections after the drain.
const SHUTDOWN_GRACE_SECS: u32 = 2;

/// Longest time from the end of the drain to the end of the process.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// How often old histogram samples are dropped.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The line that a daemon prints when it is bound, as JSON after `ready `.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Bound {
    /// The process's name.
    pub name: String,
    /// The HTTP address.
    pub http: String,
    /// The address for polls, at a control member.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub poll: Option<String>,
    /// The address for replication, at a control member.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
}

/// Builds a listener with the routes that each daemon has.
///
/// # Errors
///
/// Returns an error if the listen address is not `IP:PORT`.
pub fn build(settings: &HttpSettings, context: &Context) -> eyre::Result<Rocket<Build>> {
    let listen: SocketAddr = settings
        .listen
        .parse()
        .wrap_err_with(|| format!("`{}` is no address `IP:PORT`", settings.listen))?;
    let config = rocket::Config {
        address: listen.ip(),
        port: listen.port(),
        workers: settings.threads,
        log_level: LogLevel::Off,
        limits: Limits::default()
            .limit("bytes", ByteUnit::from(settings.body_limit.0))
            .limit("json", ByteUnit::from(settings.body_limit.0)),
        shutdown: StopSettings {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            grace: SHUTDOWN_GRACE_SECS,
            mercy: SHUTDOWN_GRACE_SECS,
            force: false,
            ..StopSettings::default()
        },
        ..rocket::Config::default()
    };
    Ok(rocket::custom(config)
        .manage(context.clone())
        .mount("/", routes![live, ready, render_metrics, events])
        .register("/", catchers![problem::unhandled]))
}

/// Runs a listener until a signal, then drains and stops it.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve(
    rocket: Rocket<Build>,
    settings: &HttpSettings,
    context: &Context,
    bound: Bound,
) -> eyre::Result<()> {
    let advertise = settings.advertise.clone();
    let http_address = Arc::clone(&context.http);
    let rocket = rocket.attach(AdHoc::on_liftoff("ready line", move |rocket| {
        let mut line = bound;
        line.http = format!("{}:{}", rocket.config().address, rocket.config().port);
        let http = advertise.unwrap_or_else(|| line.http.clone());
        Box::pin(async move {
            // Only this listener sets the address.
            let _first = http_address.set(http.into());
            print_ready(&line);
        })
    }));
    let rocket = rocket
        .ignite()
        .await
        .map_err(|error| eyre::eyre!("failed to build the HTTP listener: {error}"))?;
    let stop = rocket.shutdown();
    tokio::spawn(upkeep(context.clone()));
    let drain = tokio::spawn(drain(context.clone(), settings.drain_timeout.0, stop));
    let outcome = rocket.launch().await;
    drain.abort();
    outcome
        .map(drop)
        .map_err(|error| eyre::eyre!("failed to listen at {}: {error}", settings.listen))
}

fn print_ready(bound: &Bound) {
    use std::io::Write as _;
    let json = serde_json::to_string(bound).expect("the ready line encodes");
    let mut out = std::io::stdout().lock();
    // Nobody may be reading; the process serves all the same.
    let _ignored = writeln!(out, "ready {json}").and_then(|()| out.flush());
}

async fn upkeep(context: Context) {
    loop {
        tokio::time::sleep(METRICS_UPKEEP_INTERVAL).await;
        context.metrics.run_upkeep();
    }
}

async fn drain(context: Context, timeout: Duration, stop: rocket::Shutdown) {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        slog::error!(context.log, "stop: failed to listen for signals");
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    slog::info!(context.log, "stop: draining"; "in_flight" => context.gate.running());
    context.events.record("stop", &"process", "draining");
    context.ready.store(false, Ordering::Release);
    context.gate.close();
    if !context.gate.drained(timeout).await {
        slog::warn!(context.log, "stop: requests were still in flight at the drain timeout";
            "in_flight" => context.gate.running());
    }
    exit_after(EXIT_TIMEOUT, context.log.clone());
    stop.notify();
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
