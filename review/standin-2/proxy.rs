//! A proxy that holds up what passes to a node for a time, as a link does while it is cut.

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A proxy in front of a node.
pub struct Proxy {
    pub address: SocketAddr,
    held: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts a proxy on a free port of 127.0.0.1.
    pub fn start(node: SocketAddr) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let held = Arc::new(AtomicBool::new(false));
        let holds = Arc::clone(&held);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let holds = Arc::clone(&holds);
                thread::spawn(move || pass(stream, node, &holds));
            }
        });
        Ok(Self { address, held })
    }

    /// Holds up everything, or lets it pass again.
    pub fn hold(&self, held: bool) {
        self.held.store(held, Ordering::SeqCst);
    }
}

/// Passes a connection on, its end included. Nothing is lost while it is held up.
fn pass(client: TcpStream, node: SocketAddr, held: &Arc<AtomicBool>) {
    while held.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
    let Ok(server) = TcpStream::connect(node) else {
        return;
    };
    let (Ok(from_server), Ok(to_client)) = (server.try_clone(), client.try_clone()) else {
        return;
    };
    let back = {
        let held = Arc::clone(held);
        thread::spawn(move || copy(from_server, to_client, &held))
    };
    copy(client, server, held);
    let _ = back.join();
}

fn copy(mut from: TcpStream, mut to: TcpStream, held: &AtomicBool) {
    let mut bytes = [0; 4096];
    while let Ok(count) = from.read(&mut bytes) {
        while held.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
