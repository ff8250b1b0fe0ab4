//! A TCP relay that counts the bytes that it forwards.

use cardamomtally::net::nng::OVERHEAD_BYTES;
use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

/// Maximum number of bytes that are read and forwarded at once.
const CHUNK_BYTES: usize = 64 << 10;

/// Relays connections to a target and counts the bytes. For each chunk it adds
/// [`OVERHEAD_BYTES`], the estimate of headers and acknowledgements.
#[derive(Debug)]
pub struct Relay {
    /// Address that the relay listens at.
    pub address: String,
    bytes: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay on a free port.
    pub fn start(target: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
        let address = listener
            .local_addr()
            .expect("the listener is bound")
            .to_string();
        let bytes = Arc::<AtomicU64>::default();
        let counter = Arc::clone(&bytes);
        let target = target.to_owned();
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                // If the target does not accept, the client's connection is closed.
                if let Ok(server) = TcpStream::connect(&target) {
                    relay_both_ways(&client, &server, &counter);
                }
            }
        });
        Self { address, bytes }
    }

    /// Returns the number of bytes forwarded so far in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

fn relay_both_ways(client: &TcpStream, server: &TcpStream, counter: &Arc<AtomicU64>) {
    let clone = |stream: &TcpStream| {
        stream.set_nodelay(true).expect("`TCP_NODELAY` can be set");
        stream
            .try_clone()
            .expect("the socket handle can be duplicated")
    };
    for (from, to) in [(client, server), (server, client)] {
        let (from, to, counter) = (clone(from), clone(to), Arc::clone(counter));
        thread::spawn(move || relay_one_way(from, to, &counter));
    }
}

fn relay_one_way(mut from: TcpStream, mut to: TcpStream, counter: &AtomicU64) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut chunk) {
        if length == 0 || to.write_all(&chunk[..length]).is_err() {
            break;
        }
        let size = length as u64 + OVERHEAD_BYTES;
        counter.fetch_add(size, Ordering::Relaxed);
    }
    // Shutting down fails only if the connection has ended already.
    let _ignored = to.shutdown(Shutdown::Both);
    let _ignored = from.shutdown(Shutdown::Both);
}
