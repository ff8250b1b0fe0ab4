//! Start, reload and planned stop of an entry that calls backend servers
//! itself.
//!
//! At a planned stop the entry reports at once that it is not ready, but
//! continues to serve while the balancer still sends requests. It then asks
//! callers to close their connections, and exits when nothing is in flight or
//! when its time limit ends. New streams are refused from the beginning, since
//! they might not end before the process does.

use super::{
    app::App,
    config::{
        evidence::EvidenceExchange,
        outcomes::OutcomeCounts,
        poller::{ConfigPoller, PollerSettings},
    },
    content::guard::ContentGuard,
    exchange::peers::Peers,
    fleet::registry::Registry,
    link::pool::Pool,
    listener,
    request::names::HeaderNames,
    serve::queue::HoldQueue,
    stop::PlannedStop,
};
use crate::{
    listen::{
        capacity::{CapacityBounds, CapacitySettings},
        memory::BufferMemory,
    },
    net::{nng::Client, transport::Transport},
    prelude::*,
    routing::budget::BudgetTerms,
    scheduling::settings::{Mode, SchedulingSettings},
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

/// Time between two clean-ups of idle connections and of the registry.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks for requests in flight during a planned stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the end of a planned stop for the answers to requests that are given up.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(250);

/// Settings of an entry that calls backend servers itself.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// Data centre of the entry.
    pub centre: Name,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for readiness checks and metrics.
    pub health: SocketAddr,
    /// Path of the readiness check.
    pub ready: Arc<str>,
    /// Settings of the polls to the control group.
    pub poller: PollerSettings,
    /// UDP address for backlog messages to and from the other entries; `None`
    /// if the entry exchanges none.
    pub exchange: Option<SocketAddr>,
    /// Names of the headers that the entry reads and sets.
    pub names: HeaderNames,
    /// Largest number of callers' connections. Further ones wait to be
    /// accepted.
    pub max_connections: usize,
    /// Time after the start of a planned stop for which the balancer may still
    /// send requests. Callers are asked to close their connections when it has
    /// passed.
    pub drain_delay: Duration,
    /// Time after the start of a planned stop after which the process exits
    /// even if requests are in flight.
    pub drain_timeout: Duration,
    /// Longest time to open a connection to a backend server.
    pub connect_timeout: Duration,
    /// Terms of the retry budget that all entries together share for each
    /// service.
    pub retry_budget: BudgetTerms,
    /// Settings of overload control; `None` if the deployment does not ask for it.
    pub scheduling: Option<SchedulingSettings>,
    /// Limits of the VM, from which the bounds on memory and connections are derived.
    pub capacity: CapacitySettings,
}

impl Default for DirectSettings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            centre: Name::from(""),
            front: any,
            health: any,
            ready: Arc::from("/health/ready"),
            poller: PollerSettings::default(),
            exchange: None,
            names: HeaderNames::default(),
            max_connections: 2_000,
            drain_delay: Duration::from_millis(2_500),
            drain_timeout: Duration::from_secs(8),
            connect_timeout: Duration::from_millis(300),
            retry_budget: BudgetTerms::default(),
            scheduling: None,
            capacity: CapacitySettings::default(),
        }
    }
}

impl DirectSettings {
    /// Returns the bounds on memory and connections. They follow the limits of the VM whether
    /// or not overload control is configured. Only with it, a caller that does not read its
    /// response is disconnected early, since it holds up others.
    fn capacity_bounds(&self) -> CapacityBounds {
        let active = |scheduling: &SchedulingSettings| scheduling.mode != Mode::Off;
        let bounds = CapacityBounds::of(self.capacity);
        if self.scheduling.as_ref().is_some_and(active) {
            return bounds;
        }
        CapacityBounds {
            unread: CapacityBounds::default().unread,
            ..bounds
        }
    }
}

/// What the daemon needs besides its settings.
pub struct Parts {
    /// The root logger.
    pub log: Logger,
    /// Clock that goes on while the VM is suspended.
    pub clock: Arc<dyn Clock>,
    /// Renders the metrics in the Prometheus text format.
    pub render: Arc<dyn Fn() -> String + Send + Sync>,
}

impl fmt::Debug for Parts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Parts").finish_non_exhaustive()
    }
}

/// Builds the state that all requests share.
#[must_use]
pub fn build(settings: &DirectSettings, transport: Arc<dyn Transport>, parts: &Parts) -> Arc<App> {
    let counts = Arc::<OutcomeCounts>::default();
    let clock = Arc::clone(&parts.clock);
    let started = clock.now();
    let name = Arc::clone(&settings.poller.name);
    let peers = Peers::new(name, parts.log.clone());
    let peers = Arc::new(peers.with_account(settings.scheduling, Arc::clone(&clock)));
    let poller = ConfigPoller::new(
        settings.poller.clone(),
        transport,
        Arc::clone(&counts),
        Arc::clone(&clock),
        parts.log.clone(),
    );
    let registry = Registry::new(Arc::clone(&clock), Arc::clone(&settings.centre))
        .with_peers(Arc::clone(&peers))
        .with_scheduling(settings.scheduling);
    let registry = Arc::new(registry);
    let content = Arc::new(ContentGuard::new(
        Arc::clone(&settings.poller.name),
        Arc::clone(&registry),
        Arc::clone(&peers),
        settings.connect_timeout,
        Arc::clone(&clock),
        parts.log.clone(),
    ));
    let bounds = settings.capacity_bounds();
    let evidence = Arc::clone(&content) as Arc<dyn EvidenceExchange>;
    let poller = poller
        .with_peers(Arc::clone(&peers))
        .with_evidence(evidence);
    let memory = Arc::new(BufferMemory::new(bounds, Arc::clone(&clock)));
    Arc::new(App {
        names: settings.names.clone(),
        config: Arc::new(poller),
        registry,
        peers,
        content,
        pool: Pool::new(
            Arc::clone(&clock),
            settings.connect_timeout,
            Arc::clone(&memory),
        ),
        memory,
        counts,
        clock,
        log: parts.log.clone(),
        started,
        stopping: AtomicBool::new(false),
        stop: PlannedStop::default(),
        running: AtomicU64::new(0),
        retries: settings.retry_budget,
        scheduling: settings.scheduling,
        queue: HoldQueue::default(),
        budgets: Mutex::default(),
        ignored_log: Mutex::default(),
    })
}

/// Runs an entry until a signal stops it.
///
/// # Errors
///
/// Returns an error if a setting of overload control is out of its range, or if an
/// address for callers or for health checks cannot be bound.
pub async fn run(
    settings: DirectSettings,
    parts: Parts,
    reload: watch::Receiver<Vec<Name>>,
) -> eyre::Result<()> {
    if let Some(scheduling) = &settings.scheduling {
        scheduling.check().map_err(|fault| eyre::eyre!(fault))?;
    }
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
        settings.max_connections,
        closed,
    ));
    drain_on_signal(&app, &settings, &close).await
}

/// Starts to exchange backlog messages with the other entries. If the address
/// cannot be bound, the entry serves without the other entries' backlog.
async fn start_exchange(app: &Arc<App>, address: SocketAddr) {
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            warn!(app.log, "peers: nothing is told or taken";
                "address" => %address, "error" => %error);
            return;
        }
    };
    let (receiver, incoming) = (Arc::clone(app), Arc::clone(&socket));
    tokio::spawn(async move {
        receiver.peers.receive_loop(&incoming, &*receiver).await;
    });
    let sender = Arc::clone(app);
    tokio::spawn(async move { sender.peers.send_loop(&socket, &*sender).await });
}

async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.wrap_err_with(|| format!("failed to listen on {address}"))
}

/// Applies the seed addresses of reloaded settings.
async fn apply_reloads(app: Arc<App>, mut reload: watch::Receiver<Vec<Name>>) {
    while reload.changed().await.is_ok() {
        let seeds = reload.borrow_and_update().clone();
        info!(app.log, "reload: settings applied"; "seeds" => seeds.join(","));
        app.config.set_seeds(seeds);
    }
}

async fn sweep(app: Arc<App>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        app.pool.sweep();
        app.registry.sweep(&app.config.current());
        app.content.sweep();
        app.queue.sweep(app.clock.now());
    }
}

/// Waits for SIGTERM or SIGINT, then drains the entry.
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
    app.queue.close();
    let running = || app.running.load(Ordering::Acquire);
    let end = settings.drain_timeout.saturating_sub(LAST_ANSWERS_TIME);
    app.stop.drain(begun + end);
    info!(app.log, "stop: draining"; "in_flight" => running());
    let until_idle = async |limit| {
        while running() > 0 && app.clock.now().since(begun) < limit {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    tokio::time::sleep(settings.drain_delay).await;
    app.stop.refuse();
    until_idle(end).await;
    info!(app.log, "stop: giving up"; "in_flight" => running());
    app.stop.give_up();
    close.send_replace(true);
    until_idle(settings.drain_timeout).await;
    // The connections' tasks may still be writing the last answers.
    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    info!(app.log, "stop: ended"; "in_flight" => running());
    Ok(())
}
