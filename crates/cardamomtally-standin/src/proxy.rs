//! A TCP proxy that injects faults on one link.
//!
//! A [`Proxy`] accepts connections and relays bytes in both directions, subject
//! to the [`Faults`] set at that moment. Held bytes stay in the kernel's buffers
//! and arrive later, as after a network partition that heals. Dropped bytes are
//! read and discarded; when the drop ends, the connections are reset, because a
//! TCP stream cannot continue with bytes missing.

use std::{
    fmt, io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::{oneshot, watch},
};

/// Maximum number of bytes that are read and forwarded at once.
const BUFFER_BYTES: usize = 64 << 10;

/// Pause between attempts to bind the address again after `refuse` is unset.
const REBIND_PAUSE: Duration = Duration::from_millis(20);

/// Faults that the proxy injects on its link. By default there are none, and bytes
/// are forwarded at once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "faults are independent of each other"
)]
pub struct Faults {
    /// Delay before each chunk is forwarded, in both directions.
    pub delay: Duration,
    /// Whether new connections are refused, because the proxy does not listen.
    pub refuse: bool,
    /// Whether bytes are held back in both directions; they are forwarded once
    /// this is unset.
    pub hold: bool,
    /// Whether bytes from the client to the target are discarded.
    pub drop_to: bool,
    /// Whether bytes from the target to the client are discarded.
    pub drop_from: bool,
    /// Maximum number of bytes per second of a connection in each direction; 0 for
    /// no limit.
    pub rate: u64,
    /// Maximum number of bytes in one write; 0 does not split writes.
    pub split: usize,
    /// Time in which chunks that arrive after one another are merged into one
    /// write; zero merges none.
    pub merge: Duration,
}

/// State that the tasks of all connections watch.
#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    faults: Faults,
    /// Where new connections are relayed to; without it they wait.
    target: Option<SocketAddr>,
    /// Number of resets so far. A connection that was accepted under a lower
    /// number is reset.
    epoch: u64,
}

/// Number of bytes forwarded in each direction.
#[derive(Debug, Default)]
struct Counters {
    to_target: AtomicU64,
    from_target: AtomicU64,
}

/// A running proxy with its thread.
pub struct Proxy {
    addr: SocketAddr,
    state: watch::Sender<LinkState>,
    counters: Arc<Counters>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Starts a proxy on a free port. Without a target, connections are accepted
    /// and wait until one is set.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(target: Option<SocketAddr>) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let initial = LinkState {
            target,
            ..LinkState::default()
        };
        let (state, watcher) = watch::channel(initial);
        let (stop, stopped) = oneshot::channel();
        let counters = Arc::<Counters>::default();
        let shared = Arc::clone(&counters);
        let thread = std::thread::Builder::new()
            .name("proxy".to_owned())
            .spawn(move || run(listener, watcher, shared, stopped))?;
        Ok(Self {
            addr,
            state,
            counters,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address that the proxy listens at.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the address that new connections are relayed to.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = Some(target));
    }

    /// Changes the injected faults. Unsetting `drop_to` or `drop_from` resets all
    /// connections.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.state.send_modify(|state| {
            let before = state.faults;
            change(&mut state.faults);
            let drop_ended = (before.drop_to && !state.faults.drop_to)
                || (before.drop_from && !state.faults.drop_from);
            state.epoch += u64::from(drop_ended);
        });
    }

    /// Unsets all faults.
    pub fn heal(&self) {
        self.update_faults(|faults| *faults = Faults::default());
    }

    /// Resets all connections; new ones are accepted.
    pub fn reset_connections(&self) {
        self.state.send_modify(|state| state.epoch += 1);
    }

    /// Returns the number of bytes forwarded to the target and from it.
    pub fn bytes(&self) -> (u64, u64) {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (
            read(&self.counters.to_target),
            read(&self.counters.from_target),
        )
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // Sending fails only if the thread has ended already.
            let _ignored = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ignored = thread.join();
        }
    }
}

impl fmt::Debug for Proxy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Proxy")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

/// Runs the proxy on a runtime of this thread until it is stopped.
fn run(
    listener: std::net::TcpListener,
    state: watch::Receiver<LinkState>,
    counters: Arc<Counters>,
    stopped: oneshot::Receiver<()>,
) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return;
    };
    runtime.block_on(async move {
        tokio::select! {
            () = accept(listener, state, counters) => {}
            _ = stopped => {}
        }
    });
}

/// Accepts connections and spawns a task for each. Closes the listener while
/// `refuse` is set, and binds the same address again after that.
async fn accept(
    listener: std::net::TcpListener,
    mut state: watch::Receiver<LinkState>,
    counters: Arc<Counters>,
) {
    let Ok(addr) = listener.local_addr() else {
        return;
    };
    let mut listener = TcpListener::from_std(listener).ok();
    loop {
        let refuse = state.borrow_and_update().faults.refuse;
        if refuse {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(addr).await.ok();
        }
        match &listener {
            Some(open) => tokio::select! {
                accepted = open.accept() => {
                    if let Ok((client, _)) = accepted {
                        tokio::spawn(relay(client, state.clone(), Arc::clone(&counters)));
                    }
                }
                changed = state.changed() => if changed.is_err() { return },
            },
            None if refuse => {
                if state.changed().await.is_err() {
                    return;
                }
            }
            None => tokio::time::sleep(REBIND_PAUSE).await,
        }
    }
}

/// Relays one connection until both sides have ended it or it is reset.
async fn relay(client: TcpStream, mut state: watch::Receiver<LinkState>, counters: Arc<Counters>) {
    let epoch = state.borrow().epoch;
    let proceed = |s: &LinkState| s.epoch != epoch || (s.target.is_some() && !s.faults.hold);
    let Ok(seen) = state.wait_for(proceed).await.map(|s| *s) else {
        return;
    };
    let Some(target) = seen.target.filter(|_| seen.epoch == epoch) else {
        return reset(&client);
    };
    let Ok(server) = TcpStream::connect(target).await else {
        return reset(&client);
    };
    // Without `TCP_NODELAY` the kernel may delay small writes. The proxy works
    // without it too, only slower, so a failure is ignored.
    let _ignored = client.set_nodelay(true).and(server.set_nodelay(true));
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let to_target = forward(
        &mut from_client,
        &mut to_server,
        state.clone(),
        Direction::ToTarget,
        &counters.to_target,
    );
    let from_target = forward(
        &mut from_server,
        &mut to_client,
        state.clone(),
        Direction::FromTarget,
        &counters.from_target,
    );
    let was_reset = async {
        // A closed channel means that the proxy is being dropped, which resets
        // the connection as well.
        let _ignored = state.wait_for(|s| s.epoch != epoch).await.map(|_s| ());
    };
    let broken = tokio::select! {
        ended = async { tokio::try_join!(to_target, from_target) } => ended.is_err(),
        () = was_reset => true,
    };
    if broken {
        reset(to_client.as_ref());
        reset(to_server.as_ref());
    }
}

/// Makes the close of a connection send a TCP reset, so that no peer takes it for
/// a regular end of the stream.
fn reset(stream: &TcpStream) {
    // Setting the option fails only if the connection has ended already.
    let _ignored = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    FromTarget,
    ToTarget,
}

impl Direction {
    /// Returns whether the faults discard bytes in this direction.
    const fn drops(self, faults: &Faults) -> bool {
        match self {
            Self::FromTarget => faults.drop_from,
            Self::ToTarget => faults.drop_to,
        }
    }
}

/// Forwards bytes in one direction until the end of the stream. Returns an error
/// if the connection breaks.
async fn forward(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    direction: Direction,
    counter: &AtomicU64,
) -> io::Result<()> {
    let gone = |_e| io::Error::from(io::ErrorKind::BrokenPipe);
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        state.wait_for(|s| !s.faults.hold).await.map_err(gone)?;
        let mut length = from.read(&mut buffer).await?;
        let merge = state.borrow().faults.merge;
        if length > 0 && !merge.is_zero() {
            length += read_within(from, &mut buffer[length..], merge).await;
        }
        state.wait_for(|s| !s.faults.hold).await.map_err(gone)?;
        let faults = state.borrow().faults;
        if direction.drops(&faults) {
            if length == 0 {
                // The end of the stream is not forwarded either, as in a network
                // that loses all packets.
                std::future::pending::<()>().await;
            }
            continue;
        }
        if length == 0 {
            // The other direction may still carry bytes, so only this one is
            // closed.
            return to.shutdown().await;
        }
        write_chunk(to, &buffer[..length], &faults).await?;
        counter.fetch_add(length as u64, Ordering::Relaxed);
    }
}

/// Reads further bytes until the window is over or the buffer is full. Returns
/// their number.
async fn read_within(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    buffer: &mut [u8],
    window: Duration,
) -> usize {
    let end = tokio::time::Instant::now() + window;
    let mut length = 0;
    while length < buffer.len() {
        match tokio::time::timeout_at(end, from.read(&mut buffer[length..])).await {
            Ok(Ok(more)) if more > 0 => length += more,
            _ => break,
        }
    }
    length
}

/// Writes one chunk with the delay, split and rate limit of the faults.
async fn write_chunk(
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    bytes: &[u8],
    faults: &Faults,
) -> io::Result<()> {
    if !faults.delay.is_zero() {
        tokio::time::sleep(faults.delay).await;
    }
    let size = if faults.split == 0 {
        bytes.len()
    } else {
        faults.split
    };
    for part in bytes.chunks(size) {
        to.write_all(part).await?;
        if let Some(micros) = (part.len() as u64 * 1_000_000).checked_div(faults.rate) {
            tokio::time::sleep(Duration::from_micros(micros)).await;
        }
        if faults.split > 0 {
            tokio::task::yield_now().await;
        }
    }
    Ok(())
}
