//! Start, reload and planned stop of an entry without agents.
//!
//! At a planned stop the entry says at once that it is not ready, goes on
//! serving while the balancer still sends to it, asks callers to close, and ends
//! when nothing is in flight or its time is over. New streams are sent elsewhere,
//! since they might outlast it.

use super::{
    app::App,
    holder::{ConfigPoller, HolderSettings},
    listener,
    names::Names,
    outcomes::OutcomeCounts,
    peers::Peers,
    pool::Pool,
    registry::Registry,
};
use crate::{
    net::{nng::Client, transport::Transport},
    prelude::*,
    routing::budget::BudgetShare,
};
use slog::{Logger, info, warn};
use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Time between two cleanings of connections and loads.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two looks at what is still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What an entry without agents is built from.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// Its data centre.
    pub centre: Name,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where readiness and metrics are asked for.
    pub health: SocketAddr,
    /// Path of the readiness check.
    pub ready: Arc<str>,
    /// How it polls.
    pub holder: HolderSettings,
    /// Where other entries tell of their prompt work, if they do.
    pub exchange: Option<SocketAddr>,
    /// Header names.
    pub names: Names,
    /// Most connections of callers.
    pub connections: usize,
    /// Time for which the balancer may still send after a planned stop begins.
    pub linger: Duration,
    /// Time after which a planned stop ends whatever is in flight.
    pub grace: Duration,
    /// Longest time to connect to a backend server.
    pub connect: Duration,
    /// How much all entries together may repeat of a service's requests.
    pub retries: BudgetShare,
}

impl Default for DirectSettings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            centre: Name::from(""),
            front: any,
            health: any,
            ready: Arc::from("/health/ready"),
            holder: HolderSettings::default(),
            exchange: None,
            names: Names::default(),
            connections: 2_000,
            linger: Duration::from_millis(2_500),
            grace: Duration::from_secs(8),
            connect: Duration::from_millis(300),
            retries: BudgetShare::default(),
        }
    }
}

/// What the daemon is given beside its settings.
pub struct Parts {
    /// The root logger.
    pub log: Logger,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Renders metrics.
    pub render: Arc<dyn Fn() -> String + Send + Sync>,
}

impl fmt::Debug for Parts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Parts").finish_non_exhaustive()
    }
}

/// Builds what requests share.
#[must_use]
pub fn build(settings: &DirectSettings, transport: Arc<dyn Transport>, parts: &Parts) -> Arc<App> {
    let counts = Arc::<OutcomeCounts>::default();
    let clock = Arc::clone(&parts.clock);
    let name = Arc::clone(&settings.holder.name);
    let peers = Arc::new(Peers::new(name, parts.log.clone()));
    let poller = ConfigPoller::new(
        settings.holder.clone(),
        transport,
        Arc::clone(&counts),
        Arc::clone(&clock),
        parts.log.clone(),
    );
    let poller = poller.with_peers(Arc::clone(&peers));
    let registry = Registry::new(Arc::clone(&clock), Arc::clone(&settings.centre));
    Arc::new(App {
        names: settings.names.clone(),
        config: Arc::new(poller),
        registry: Arc::new(registry.with_peers(Arc::clone(&peers))),
        peers,
        pool: Pool::new(Arc::clone(&clock), settings.connect),
        counts,
        clock,
        log: parts.log.clone(),
        stopping: AtomicBool::new(false),
        running: AtomicU64::new(0),
        retries: settings.retries,
        budgets: Mutex::default(),
    })
}

/// Runs an entry until a signal stops it.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn run(
    settings: DirectSettings,
    parts: Parts,
    reload: watch::Receiver<Vec<Name>>,
) -> eyre::Result<()> {
    let app = build(&settings, Arc::new(Client::default()), &parts);
    let front = bind(settings.front).await?;
    let health = bind(settings.health).await?;
    info!(app.log, "start: entry"; "front" => front.local_addr()?,
        "health" => health.local_addr()?, "centre" => &*settings.centre);
    let (close, closed) = watch::channel(false);
    let poller = Arc::clone(&app.config);
    tokio::spawn(async move { poller.run().await });
    tokio::spawn(apply_reloads(Arc::clone(&app), reload));
    tokio::spawn(sweep(Arc::clone(&app)));
    if let Some(address) = settings.exchange {
        start_exchange(&app, address).await;
    }
    let ready = Arc::clone(&settings.ready);
    tokio::spawn(listener::run_health(
        Arc::clone(&app),
        health,
        ready,
        parts.render,
    ));
    tokio::spawn(listener::run(
        Arc::clone(&app),
        front,
        settings.connections,
        closed,
    ));
    drain_on_signal(&app, &settings, &close).await
}

/// Begins to tell other entries of prompt work, and to take what they tell.
/// An entry that cannot still serves, only with less known.
async fn start_exchange(app: &Arc<App>, address: SocketAddr) {
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            warn!(app.log, "peers: nothing is told or taken"; "address" => %address,
                "error" => %error);
            return;
        }
    };
    let (own, taken) = (Arc::clone(app), Arc::clone(&socket));
    tokio::spawn(async move { own.peers.receive_loop(&taken, &own.registry).await });
    let own = Arc::clone(app);
    tokio::spawn(async move { own.peers.send_loop(&socket, &own.registry).await });
}

async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.wrap_err_with(|| format!("failed to listen at {address}"))
}

/// Takes new seeds from reloaded settings.
async fn apply_reloads(app: Arc<App>, mut reload: watch::Receiver<Vec<Name>>) {
    while reload.changed().await.is_ok() {
        let seeds = reload.borrow_and_update().clone();
        info!(app.log, "reload: settings taken"; "seeds" => seeds.join(","));
        app.config.set_seeds(seeds);
    }
}

async fn sweep(app: Arc<App>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        app.pool.sweep();
        app.registry.sweep(&app.config.current());
    }
}

/// Waits for a signal, then drains.
async fn drain_on_signal(
    app: &App,
    settings: &DirectSettings,
    close: &watch::Sender<bool>,
) -> eyre::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    let begun = app.clock.now();
    app.stopping.store(true, Ordering::Release);
    let running = || app.running.load(Ordering::Acquire);
    info!(app.log, "stop: draining"; "in_flight" => running());
    tokio::time::sleep(settings.linger).await;
    close.send_replace(true);
    while running() > 0 && app.clock.now().since(begun) < settings.grace {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    // The last answers leave with the connections' own tasks.
    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    info!(app.log, "stop: ended"; "in_flight" => running());
    Ok(())
}
