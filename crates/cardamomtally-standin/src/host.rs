//! An HTTP server on its own thread that can be killed and restarted.
//!
//! A [`Host`] runs one Rocket server on one Tokio runtime. Killing the server
//! drops the runtime, so that connections break at once, as they do when a
//! process is killed. After a pause the host starts a new runtime and a new
//! server at the same address.

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

/// Longest wait for a server to bind its address. After that [`Host::start`]
/// returns an error, and a restart is tried again.
const BIND_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between attempts to bind an address that is still in use.
const REBIND_PAUSE: Duration = Duration::from_millis(50);

/// Largest request body, in MiB.
const BODY_LIMIT_MIB: u32 = 64;

/// Builds a server from a configuration; called at each start and restart.
pub type ServerBuilder = Arc<dyn Fn(rocket::Config) -> Rocket<Build> + Send + Sync>;

/// A command to the host's thread.
#[derive(Clone, Copy, Debug)]
enum Command {
    /// Break all connections and restart after this time.
    Kill(Duration),
    /// Break all connections and end the thread.
    Stop,
}

/// A handle that kills the server of one host.
#[derive(Clone, Debug)]
pub struct KillHandle(mpsc::Sender<Command>);

impl KillHandle {
    /// Breaks all connections and restarts the server after `down`.
    pub fn kill(&self, down: Duration) {
        // Sending fails only if the host has ended and its server with it.
        let _ignored = self.0.send(Command::Kill(down));
    }
}

/// A running HTTP server with its thread.
pub struct Host {
    addr: SocketAddr,
    commands: mpsc::Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl Host {
    /// Starts a server with `threads` worker threads and returns once its
    /// address is bound.
    ///
    /// `make` gets a [`KillHandle`] for this host and returns the function that
    /// builds the server at each start.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(
        listen: SocketAddr,
        threads: usize,
        make: impl FnOnce(KillHandle) -> ServerBuilder,
    ) -> io::Result<Self> {
        let (commands, receiver) = mpsc::channel();
        let build = make(KillHandle(commands.clone()));
        let (bound_tx, bound) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("standin".to_owned())
            .spawn(move || run_servers(listen, threads, &build, &receiver, &bound_tx))?;
        let addr = bound.recv_timeout(BIND_TIMEOUT).map_err(|_e| {
            io::Error::new(
                io::ErrorKind::AddrInUse,
                format!("failed to bind {listen} for a stand-in"),
            )
        })?;
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

    /// Breaks all connections and restarts the server after `down`.
    pub fn kill(&self, down: Duration) {
        KillHandle(self.commands.clone()).kill(down);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // Sending fails only if the thread has ended already.
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

/// Runs one server after the other until the host is stopped.
fn run_servers(
    mut listen: SocketAddr,
    threads: usize,
    build: &ServerBuilder,
    receiver: &mpsc::Receiver<Command>,
    bound: &mpsc::Sender<SocketAddr>,
) {
    loop {
        let Some((runtime, addr)) = launch(listen, threads, build) else {
            if listen.port() == 0 || matches!(receiver.try_recv(), Ok(Command::Stop)) {
                return;
            }
            std::thread::sleep(REBIND_PAUSE);
            continue;
        };
        listen = addr;
        // `Host::start` waits for the first start only. At a restart the receiver is
        // gone, and sending fails.
        let _ignored = bound.send(addr);
        let command = receiver.recv().unwrap_or(Command::Stop);
        runtime.shutdown_background();
        match command {
            Command::Stop => return,
            Command::Kill(down) => {
                if stopped_within(receiver, down) {
                    return;
                }
            }
        }
    }
}

/// Waits for `down` and returns early if the host is stopped. Returns whether it
/// was stopped.
fn stopped_within(receiver: &mpsc::Receiver<Command>, down: Duration) -> bool {
    let end = std::time::Instant::now() + down;
    loop {
        let left = end.saturating_duration_since(std::time::Instant::now());
        match receiver.recv_timeout(left) {
            Ok(Command::Kill(_)) => {}
            Err(mpsc::RecvTimeoutError::Timeout) => return false,
            Ok(Command::Stop) | Err(mpsc::RecvTimeoutError::Disconnected) => return true,
        }
    }
}

/// Starts a runtime with one server. Returns both once the address is bound, or
/// none if that fails.
fn launch(
    listen: SocketAddr,
    threads: usize,
    build: &ServerBuilder,
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
        // Sending fails if the host has stopped waiting for this start.
        let _ignored = tx.send(addr);
        Box::pin(async {})
    }));
    runtime.spawn(async move {
        // If the launch fails, the channel's sender is dropped, and the receiver
        // below sees that.
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
            .limit("json", BODY_LIMIT_MIB.mebibytes())
            .limit("string", BODY_LIMIT_MIB.mebibytes()),
        shutdown: StopSettings {
            ctrlc: false,
            signals: HashSet::new(),
            ..StopSettings::default()
        },
        ..rocket::Config::default()
    }
}
