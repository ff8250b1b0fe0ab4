//! The entry process, which callers send their requests to.
//!
//! [`api`] reads and checks a request and passes it to [`complete`] (a
//! completion) or [`service`] (a call of a plain service). Both choose versions
//! and backend servers with the pure functions of [`crate::routing`] and send
//! attempts to [`agents`]: [`repeat`] for requests that may be repeated,
//! [`once`] for those that must not be. An [`answer`] is read frame by frame,
//! is resumed if its connection drops, and goes back in one piece ([`reply`])
//! or as a stream ([`relay`]) after its [`bill`] is committed.

pub mod agents;
pub mod answer;
pub mod api;
pub mod app;
pub mod bill;
pub mod call;
pub mod complete;
pub mod fault;
pub mod frames;
pub mod health;
pub mod lifecycle;
pub mod once;
pub mod problem;
pub mod rating;
pub mod relay;
pub mod repeat;
pub mod reply;
pub mod service;
pub mod session;
pub mod transition;

use crate::{
    core::{id::Incarnation, rater::Rater},
    daemon::{
        Context,
        http::{self, ReadyLine},
    },
    lease::{Identity, Poller},
    ledger,
    net::{nng, transport::Transport, wire::Role},
    settings::EntrySettings,
};
use agents::HttpAgents;
use api::CallerApi;
use app::{App, Dependencies};
use fault::InjectedFault;
use rating::HttpRater;
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Interval at which counted outcomes are passed to the poller and the
/// readiness of the process is updated.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Runs the daemon until a signal stops it.
///
/// # Errors
///
/// Returns an error if the process cannot start.
pub async fn run(settings: EntrySettings, context: Context) -> eyre::Result<()> {
    let rater = HttpRater::new(&settings.rating)?;
    let transport: Arc<dyn Transport> = Arc::new(nng::Client::default());
    let incarnation = Incarnation::random();
    let identity = Identity {
        name: settings.process.name.as_str().into(),
        role: Role::Entry,
        incarnation,
        centre: settings.process.data_centre.as_str().into(),
        http: settings.http.listen.as_str().into(),
    };
    let poller = Poller::start(
        settings.control.clone(),
        identity,
        Arc::clone(&transport),
        context.clone(),
    );
    let dependencies = Dependencies {
        incarnation,
        fault: InjectedFault::None,
        lease: poller,
        ledger: Arc::new(ledger::client::Client::start(&settings.control, transport)),
        agents: Arc::new(HttpAgents::new(&settings.retry)?),
        rater: rater.map(|rater| Arc::new(rater) as Arc<dyn Rater>),
    };
    serve(settings, context, dependencies).await
}

/// Serves with the given dependencies until a signal stops the process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve(
    settings: EntrySettings,
    context: Context,
    dependencies: Dependencies,
) -> eyre::Result<()> {
    let seed = rand::random();
    let app = Arc::new(App::new(
        settings.clone(),
        context.clone(),
        dependencies,
        seed,
    ));
    let rocket =
        http::build(&settings.http, &context)?.mount("/", CallerApi(Arc::clone(&app)).routes());
    let bound = ReadyLine {
        name: settings.process.name.clone(),
        ..ReadyLine::default()
    };
    let maintenance = tokio::spawn(run_maintenance(app));
    let outcome = http::serve(rocket, &settings.http, &context, bound).await;
    maintenance.abort();
    outcome
}

/// Passes counted outcomes to the poller, and keeps the process ready while its
/// lease is valid and it is not stopping.
async fn run_maintenance(app: Arc<App>) {
    loop {
        app.health.flush(app.lease.as_ref());
        let context = &app.context;
        let valid = app.valid_config().is_some();
        context
            .ready
            .store(valid && !context.requests.is_closed(), Ordering::Release);
        // The process may have begun to stop after the check above, and must
        // not stay ready then.
        if context.requests.is_closed() {
            context.ready.store(false, Ordering::Release);
        }
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
    }
}
