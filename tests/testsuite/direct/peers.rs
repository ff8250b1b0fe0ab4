//! Tests of the exchange of backlogs between entries.

use super::choice::{config, fleet, service};
use crate::support::wait::WAIT_TIMEOUT;
use cardamomtally::{
    core::clock::SystemClock,
    direct::{
        exchange::{backlog::BacklogSums, peers::Peers},
        fleet::registry::{Registry, Requirements},
        request::prompt::Prompt,
    },
    prelude::*,
    routing::rendezvous,
    util::log,
};
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// An entry's registry and exchange, and the address at which it receives
/// messages.
struct Entry {
    registry: Arc<Registry>,
    peers: Arc<Peers>,
    address: SocketAddr,
}

async fn start(name: &str) -> Entry {
    let peers = Arc::new(Peers::new(name.into(), log::discard()));
    let registry = Registry::new(Arc::new(SystemClock::default()), "north".into());
    let registry = Arc::new(registry.with_peers(Arc::clone(&peers)));
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let address = socket.local_addr().unwrap();
    let (incoming, outgoing) = (Arc::clone(&socket), socket);
    let (own, seen) = (Arc::clone(&peers), Arc::clone(&registry));
    tokio::spawn(async move { own.receive_loop(&incoming, &*seen).await });
    let (own, seen) = (Arc::clone(&peers), Arc::clone(&registry));
    tokio::spawn(async move { own.send_loop(&outgoing, &*seen).await });
    Entry {
        registry,
        peers,
        address,
    }
}

fn long_prompt() -> Prompt {
    Prompt {
        prefix: None,
        shared: 0,
        own: 40_000,
        output: 0,
    }
}

/// Waits until the backlog of the only backend server meets a condition.
async fn until_backlog(registry: &Arc<Registry>, met: impl Fn(f64) -> bool) {
    let config = config(fleet(&["i-1"]));
    let service = service();
    let wanted = Requirements {
        service: &service,
        session: 1,
        model: Some("large"),
        prompt: Prompt::default(),
        tried: &[],
        careful: false,
    };
    let look = async {
        while !met(registry.choose(&config, &wanted).unwrap().backlog) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, look).await.unwrap();
}

#[tokio::test]
async fn other_entry_sees_a_long_prompt_until_it_has_been_processed() {
    let (first, second) = (start("entry-1").await, start("entry-2").await);
    first.peers.set_addresses(vec![second.address]);
    let config = config(fleet(&["i-1"]));
    let service = service();
    let wanted = Requirements {
        service: &service,
        session: 1,
        model: Some("large"),
        prompt: long_prompt(),
        tried: &[],
        careful: false,
    };

    let mut choice = first.registry.choose(&config, &wanted).unwrap();
    until_backlog(&second.registry, |backlog| backlog > 300.0).await;
    choice.prefill_finished();
    until_backlog(&second.registry, |backlog| backlog < 1.0).await;
}

#[tokio::test]
async fn malformed_datagram_is_ignored() {
    let entry = start("entry-1").await;
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();

    other
        .send_to(b"\xff\x00nonsense", entry.address)
        .await
        .unwrap();
    let peers = Peers::new("entry-9".into(), log::discard());
    peers.set_addresses(vec![entry.address]);
    let sums: BacklogSums = vec![(rendezvous::seed("i-1"), 700)];
    peers.broadcast(&other, sums).await;

    until_backlog(&entry.registry, |backlog| (backlog - 700.0).abs() < 0.5).await;
}
