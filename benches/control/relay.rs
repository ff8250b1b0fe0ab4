//! A relay that counts what a connection carries.

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

/// Bytes read at once.
const CHUNK_BYTES: usize = 64 << 10;

/// Relays connections to a target and counts bytes, each chunk with its headers.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: String,
    bytes: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay.
    pub fn start(target: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound").to_string();
        let bytes = Arc::<AtomicU64>::default();
        let counter = Arc::clone(&bytes);
        let target = target.to_owned();
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                // A target that is down refuses its clients.
                if let Ok(server) = TcpStream::connect(&target) {
                    relay_both_ways(&client, &server, &counter);
                }
            }
        });
        Self { address, bytes }
    }

    /// Returns the bytes carried so far, both ways.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

fn relay_both_ways(client: &TcpStream, server: &TcpStream, counter: &Arc<AtomicU64>) {
    let clone = |stream: &TcpStream| {
        stream.set_nodelay(true).expect("a socket option");
        stream.try_clone().expect("a second handle")
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
    // Either end may be gone already.
    let _ignored = to.shutdown(Shutdown::Both);
    let _ignored = from.shutdown(Shutdown::Both);
}
