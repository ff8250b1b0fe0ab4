//! Relays the connections of an engine that writes a refusal twice.
//!
//! An HTTP server writes one answer to each request. An engine with this fault therefore
//! serves HTTP at an inner address, and relays its connections from the address that it
//! listens at.

use std::{io, net::SocketAddr, thread::JoinHandle, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::oneshot,
};

/// Maximum number of bytes that are read and forwarded at once. A refusal is shorter, and
/// is written at once.
const BUFFER_BYTES: usize = 64 << 10;

/// When the engine writes a refusal once more on the connection that it came on. An answer
/// with a status of 400 or more is a refusal.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RefusalCopy {
    /// Never.
    #[default]
    Never,
    /// In the same write as the refusal.
    AtOnce,
    /// This long after the refusal.
    After(Duration),
    /// Once the next request has arrived, before its answer.
    BeforeNextAnswer,
}

/// A running relay with its thread.
#[derive(Debug)]
pub struct Repeater {
    addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Repeater {
    /// Relays connections from an address to the engine at `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(listen: SocketAddr, target: SocketAddr, copy: RefusalCopy) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = std::thread::Builder::new()
            .name("repeater".to_owned())
            .spawn(move || {
                runtime.block_on(async {
                    tokio::select! {
                        () = accept(listener, target, copy) => {}
                        _ = stopped => {}
                    }
                });
            })?;
        Ok(Self {
            addr,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address that the relay listens at.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Repeater {
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

async fn accept(listener: std::net::TcpListener, target: SocketAddr, copy: RefusalCopy) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(async move {
            // The connection is closed if the engine is down or either side breaks.
            if let Ok(engine) = TcpStream::connect(target).await {
                let _ignored = relay(client, engine, copy).await;
            }
        });
    }
}

/// Relays one connection until either side ends it.
async fn relay(mut client: TcpStream, mut engine: TcpStream, copy: RefusalCopy) -> io::Result<()> {
    client.set_nodelay(true)?;
    engine.set_nodelay(true)?;
    let (mut from_client, mut to_client) = client.split();
    let (mut from_engine, mut to_engine) = engine.split();
    let (mut up, mut down) = (vec![0; BUFFER_BYTES], vec![0; BUFFER_BYTES]);
    let mut kept: Option<Vec<u8>> = None;
    loop {
        tokio::select! {
            read = from_client.read(&mut up) => {
                let bytes = &up[..read?];
                if bytes.is_empty() {
                    return Ok(());
                }
                if let Some(refusal) = kept.take() {
                    to_client.write_all(&refusal).await?;
                }
                to_engine.write_all(bytes).await?;
            }
            read = from_engine.read(&mut down) => {
                let bytes = &down[..read?];
                if bytes.is_empty() {
                    return Ok(());
                }
                let refused = copy != RefusalCopy::Never && is_refusal(bytes);
                if refused && copy == RefusalCopy::AtOnce {
                    to_client.write_all(&[bytes, bytes].concat()).await?;
                    continue;
                }
                to_client.write_all(bytes).await?;
                match copy {
                    RefusalCopy::After(delay) if refused => {
                        tokio::time::sleep(delay).await;
                        to_client.write_all(bytes).await?;
                    }
                    RefusalCopy::BeforeNextAnswer if refused => kept = Some(bytes.to_vec()),
                    _ => {}
                }
            }
        }
    }
}

/// Returns whether bytes begin with the head of an answer whose status is 400 or more.
fn is_refusal(bytes: &[u8]) -> bool {
    let status = bytes.strip_prefix(b"HTTP/1.1 ").and_then(<[u8]>::first);
    matches!(status, Some(b'4' | b'5'))
}
