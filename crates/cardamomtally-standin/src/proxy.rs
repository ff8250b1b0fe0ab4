//! A TCP proxy that injects faults on one link.
//!
//! A [`Proxy`] accepts connections and passes bytes both ways, under the
//! [`Faults`] in force at that moment. Held bytes stay in the kernel's buffers
//! and arrive later, as in a partition that heals; dropped bytes are read and
//! thrown away, and their connections are broken when the drop ends, since no
//! TCP stream continues behind a hole.

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

/// Largest piece that is passed on at once.
const BUFFER_BYTES: usize = 64 << 10;

/// Pause before another try to bind after a refusal ends.
const REBIND_PAUSE: Duration = Duration::from_millis(20);

/// What the proxy does to its link. The default passes bytes on at once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "faults are independent of each other"
)]
pub struct Faults {
    /// Delay of each piece, each way.
    pub delay: Duration,
    /// New connections are refused.
    pub refuse: bool,
    /// Bytes wait, both ways, until released.
    pub hold: bool,
    /// Bytes towards the target vanish.
    pub drop_to: bool,
    /// Bytes from the target vanish.
    pub drop_from: bool,
    /// Bytes a second each way; 0 for no limit.
    pub rate: u64,
    /// Writes are split to this many bytes; 0 for no splitting.
    pub split: usize,
    /// Pieces that arrive within this time are merged into one write.
    pub merge: Duration,
}

/// What the pumps of all connections watch.
#[derive(Clone, Copy, Debug, Default)]
struct Control {
    faults: Faults,
    target: Option<SocketAddr>,
    /// Connections of an older epoch are broken.
    epoch: u64,
}

/// Bytes passed on.
#[derive(Debug, Default)]
struct Counters {
    to: AtomicU64,
    from: AtomicU64,
}

/// A running proxy.
pub struct Proxy {
    addr: SocketAddr,
    control: watch::Sender<Control>,
    counters: Arc<Counters>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Starts a proxy on a free port. Connections wait until it has a target.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(target: Option<SocketAddr>) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let first = Control {
            target,
            ..Control::default()
        };
        let (control, watcher) = watch::channel(first);
        let (stop, stopped) = oneshot::channel();
        let counters = Arc::<Counters>::default();
        let shared = Arc::clone(&counters);
        let thread = std::thread::Builder::new()
            .name("proxy".to_owned())
            .spawn(move || run(listener, watcher, shared, stopped))?;
        Ok(Self {
            addr,
            control,
            counters,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address to connect to.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets where new connections lead.
    pub fn target(&self, target: SocketAddr) {
        self.control
            .send_modify(|control| control.target = Some(target));
    }

    /// Changes the faults. Ending a drop breaks the connections behind it.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        self.control.send_modify(|control| {
            let before = control.faults;
            change(&mut control.faults);
            let healed = (before.drop_to && !control.faults.drop_to)
                || (before.drop_from && !control.faults.drop_from);
            control.epoch += u64::from(healed);
        });
    }

    /// Ends all faults.
    pub fn heal(&self) {
        self.faults(|faults| *faults = Faults::default());
    }

    /// Breaks all connections.
    pub fn cut(&self) {
        self.control.send_modify(|control| control.epoch += 1);
    }

    /// Returns how many bytes went towards the target and back.
    pub fn bytes(&self) -> (u64, u64) {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (read(&self.counters.to), read(&self.counters.from))
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // A thread that has ended needs no word.
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

fn run(
    listener: std::net::TcpListener,
    control: watch::Receiver<Control>,
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
            () = accept(listener, control, counters) => {}
            _ = stopped => {}
        }
    });
}

async fn accept(
    listener: std::net::TcpListener,
    mut control: watch::Receiver<Control>,
    counters: Arc<Counters>,
) {
    let Ok(addr) = listener.local_addr() else {
        return;
    };
    let mut listener = TcpListener::from_std(listener).ok();
    loop {
        let refuse = control.borrow_and_update().faults.refuse;
        if refuse {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(addr).await.ok();
        }
        match &listener {
            Some(open) => tokio::select! {
                accepted = open.accept() => {
                    if let Ok((client, _)) = accepted {
                        tokio::spawn(link(client, control.clone(), Arc::clone(&counters)));
                    }
                }
                changed = control.changed() => if changed.is_err() { return },
            },
            None if refuse => {
                if control.changed().await.is_err() {
                    return;
                }
            }
            None => tokio::time::sleep(REBIND_PAUSE).await,
        }
    }
}

/// Carries one connection until either side ends it or it is cut.
async fn link(client: TcpStream, mut control: watch::Receiver<Control>, counters: Arc<Counters>) {
    let epoch = control.borrow().epoch;
    let passing = |c: &Control| c.epoch != epoch || (c.target.is_some() && !c.faults.hold);
    let Ok(seen) = control.wait_for(passing).await.map(|c| *c) else {
        return;
    };
    let Some(target) = seen.target.filter(|_| seen.epoch == epoch) else {
        return reset(&client);
    };
    let Ok(server) = TcpStream::connect(target).await else {
        return reset(&client);
    };
    // Without these writes wait for more, which is slower but no failure.
    let _ignored = client.set_nodelay(true).and(server.set_nodelay(true));
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let there = pump(
        &mut from_client,
        &mut to_server,
        control.clone(),
        Way::To,
        &counters.to,
    );
    let back = pump(
        &mut from_server,
        &mut to_client,
        control.clone(),
        Way::From,
        &counters.from,
    );
    let cut = async {
        // An ended channel means that the proxy is going: break as well.
        let _ignored = control.wait_for(|c| c.epoch != epoch).await.map(|_c| ());
    };
    let broken = tokio::select! {
        carried = async { tokio::try_join!(there, back) } => carried.is_err(),
        () = cut => true,
    };
    if broken {
        reset(to_client.as_ref());
        reset(to_server.as_ref());
    }
}

/// Makes the close of a connection a reset, which no client takes for an end.
fn reset(stream: &TcpStream) {
    // A connection that is gone already needs no reset.
    let _ignored = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    From,
    To,
}

impl Way {
    const fn drops(self, faults: &Faults) -> bool {
        match self {
            Self::From => faults.drop_from,
            Self::To => faults.drop_to,
        }
    }
}

/// Carries bytes one way until their end. A connection that breaks is an error.
async fn pump(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    mut control: watch::Receiver<Control>,
    way: Way,
    counter: &AtomicU64,
) -> io::Result<()> {
    let gone = |_e| io::Error::from(io::ErrorKind::BrokenPipe);
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        control.wait_for(|c| !c.faults.hold).await.map_err(gone)?;
        let mut length = from.read(&mut buffer).await?;
        let merge = control.borrow().faults.merge;
        if length > 0 && !merge.is_zero() {
            length += read_more(from, &mut buffer[length..], merge).await;
        }
        control.wait_for(|c| !c.faults.hold).await.map_err(gone)?;
        let faults = control.borrow().faults;
        if way.drops(&faults) {
            if length == 0 {
                // Not even the end of the stream gets through.
                std::future::pending::<()>().await;
            }
            continue;
        }
        if length == 0 {
            // The other way may still carry bytes.
            return to.shutdown().await;
        }
        pass(to, &buffer[..length], &faults).await?;
        counter.fetch_add(length as u64, Ordering::Relaxed);
    }
}

async fn read_more(
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

async fn pass(
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    bytes: &[u8],
    faults: &Faults,
) -> io::Result<()> {
    if !faults.delay.is_zero() {
        tokio::time::sleep(faults.delay).await;
    }
    let piece = if faults.split == 0 {
        bytes.len()
    } else {
        faults.split
    };
    for part in bytes.chunks(piece) {
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
