//! An HTTP server on a thread of its own that can die and come back.
//!
//! A [`Host`] runs one rocket on one runtime. Killing it drops the runtime, so
//! that connections break at once as they do when a process is killed, and
//! builds both anew at the same address after a pause.

use rocket::{
    Build, Rocket,
    config::{LogLevel, Shutdown as StopSettings},
    data::Limits,
    data::ToByteUnit as _,
    fairing::AdHoc,
};
use std::{
    collections::HashSet,
    fmt, io,
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread::JoinHandle,
    time::Duration,
};

/// Longest wait for a server to bind.
const BIND_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause before another try to bind an address that is still taken.
const REBIND_PAUSE: Duration = Duration::from_millis(50);

/// Longest body in mebibytes.
const BODY_LIMIT_MIB: u32 = 64;

/// Builds the server of one life on a configuration.
pub type Builder = Arc<dyn Fn(rocket::Config) -> Rocket<Build> + Send + Sync>;

/// What a host is told.
#[derive(Clone, Copy, Debug)]
enum Command {
    /// Break all connections and come back after a pause.
    Kill(Duration),
    /// End.
    Stop,
}

/// Kills the server of the host that it was taken from.
#[derive(Clone, Debug)]
pub struct Killer(mpsc::Sender<Command>);

impl Killer {
    /// Breaks all connections; the server comes back after `down`.
    pub fn kill(&self, down: Duration) {
        // A host that has ended has no server left to kill.
        let _ignored = self.0.send(Command::Kill(down));
    }
}

/// A running server.
pub struct Host {
    addr: SocketAddr,
    commands: mpsc::Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl Host {
    /// Starts a server of `threads` worker threads and returns once it is bound.
    ///
    /// `make` gets a [`Killer`] for the host and returns the builder of each
    /// life.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(
        listen: SocketAddr,
        threads: usize,
        make: impl FnOnce(Killer) -> Builder,
    ) -> io::Result<Self> {
        let (commands, inbox) = mpsc::channel();
        let build = make(Killer(commands.clone()));
        let (bound_tx, bound) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("standin".to_owned())
            .spawn(move || live(listen, threads, &build, &inbox, &bound_tx))?;
        let addr = bound
            .recv_timeout(BIND_TIMEOUT)
            .map_err(|_e| io::Error::new(io::ErrorKind::AddrInUse, format!("{listen} is taken")))?;
        Ok(Self {
            addr,
            commands,
            thread: Some(thread),
        })
    }

    /// Returns the bound address.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Breaks all connections; the server comes back after `down`.
    pub fn kill(&self, down: Duration) {
        Killer(self.commands.clone()).kill(down);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // A thread that has ended takes no commands.
        let _ignored = self.commands.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ignored = thread.join();
        }
    }
}

impl fmt::Debug for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Host")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

/// Runs one server after the other until told to stop.
fn live(
    mut listen: SocketAddr,
    threads: usize,
    build: &Builder,
    inbox: &mpsc::Receiver<Command>,
    bound: &mpsc::Sender<SocketAddr>,
) {
    loop {
        let Some((runtime, addr)) = launch(listen, threads, build) else {
            if listen.port() == 0 || matches!(inbox.try_recv(), Ok(Command::Stop)) {
                return;
            }
            std::thread::sleep(REBIND_PAUSE);
            continue;
        };
        listen = addr;
        // Only the first life's address is waited for.
        let _ignored = bound.send(addr);
        let command = inbox.recv().unwrap_or(Command::Stop);
        runtime.shutdown_background();
        match command {
            Command::Stop => return,
            Command::Kill(down) => {
                if stopped_within(inbox, down) {
                    return;
                }
            }
        }
    }
}

/// Waits out the pause. Returns whether the host was told to stop meanwhile.
fn stopped_within(inbox: &mpsc::Receiver<Command>, down: Duration) -> bool {
    let end = std::time::Instant::now() + down;
    loop {
        let left = end.saturating_duration_since(std::time::Instant::now());
        match inbox.recv_timeout(left) {
            Ok(Command::Kill(_)) => {}
            Err(mpsc::RecvTimeoutError::Timeout) => return false,
            Ok(Command::Stop) | Err(mpsc::RecvTimeoutError::Disconnected) => return true,
        }
    }
}

fn launch(
    listen: SocketAddr,
    threads: usize,
    build: &Builder,
) -> Option<(tokio::runtime::Runtime, SocketAddr)> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("standin-http")
        .enable_all()
        .build()
        .ok()?;
    let (tx, rx) = mpsc::channel();
    let rocket = build(config(listen, threads)).attach(AdHoc::on_liftoff("bound", move |rocket| {
        let addr = SocketAddr::new(rocket.config().address, rocket.config().port);
        // The host may have given up waiting.
        let _ignored = tx.send(addr);
        Box::pin(async {})
    }));
    runtime.spawn(async move {
        // The receiver sees the end of its channel if this fails.
        let _ignored = rocket.launch().await;
    });
    rx.recv_timeout(BIND_TIMEOUT)
        .ok()
        .map(|addr| (runtime, addr))
}

fn config(listen: SocketAddr, threads: usize) -> rocket::Config {
    rocket::Config {
        address: listen.ip(),
        port: listen.port(),
        workers: threads,
        log_level: LogLevel::Off,
        limits: Limits::default()
            .limit("bytes", BODY_LIMIT_MIB.mebibytes())
            .limit("json", BODY_LIMIT_MIB.mebibytes()),
        shutdown: StopSettings {
            ctrlc: false,
            signals: HashSet::new(),
            ..StopSettings::default()
        },
        ..rocket::Config::default()
    }
}
