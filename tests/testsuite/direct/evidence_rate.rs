//! Tests of the bytes that evidence takes on the links of entries.

use cardamomtally::{
    direct::exchange::{
        backlog::BacklogSums,
        peers::{Knowledge, Peers},
    },
    prelude::*,
    quarantine::{
        fingerprint::{CallerKey, Fingerprint, Kind, ServerKey},
        report::{Item, Report, ToldEnd},
    },
    util::log,
};
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::net::UdpSocket;

/// Entries of a fleet in which each tells all others.
const RECEIVERS: usize = 28;

/// An entry with the same evidence on a number of pieces of content whenever it is asked.
#[derive(Debug)]
struct Witness {
    pieces: u64,
    asked: AtomicUsize,
}

impl Knowledge for Witness {
    fn apply_peer_sums(&self, _entry: &Name, _sums: BacklogSums) {}

    fn own_sums(&self, _max: usize) -> BacklogSums {
        BacklogSums::new()
    }

    fn news(&self) -> Report {
        self.asked.fetch_add(1, Ordering::Relaxed);
        (0..self.pieces).map(item).collect()
    }
}

fn item(hash: u64) -> Item {
    let caller = CallerKey(hash as u32 * 1_000 + 7);
    Item {
        content: Fingerprint {
            kind: Kind::Part,
            hash: hash * 1_000_003,
        },
        ends: vec![ToldEnd(ServerKey(hash * 7_919), caller, 9, 1, 800, 40)],
        goods: vec![(caller, 250); 16],
        trial: None,
    }
}

/// Lets an entry tell its evidence for a time, and returns the bytes that its peers got.
async fn told_bytes(pieces: u64, time: Duration) -> usize {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let receiver = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let peers = Peers::new("entry-1".into(), log::discard());
    peers.set_addresses(vec![receiver.local_addr().unwrap(); RECEIVERS]);
    let witness = Witness {
        pieces,
        asked: AtomicUsize::new(0),
    };
    let mut bytes = 0;
    let mut datagram = [0; 4_096];
    let receive = async {
        loop {
            bytes += receiver.recv(&mut datagram).await.unwrap();
        }
    };
    let tell = peers.send_loop(&socket, &witness);
    let both = async { tokio::join!(receive, tell) };
    let _ended = tokio::time::timeout(time, both).await;
    assert!(witness.asked.load(Ordering::Relaxed) > 0);
    bytes
}

/// Guards against links of 10 Mbit/s that are full of evidence after the loss of many
/// backend servers, so that all answers behind it are late.
#[tokio::test]
async fn evidence_of_a_mass_loss_takes_a_small_part_of_a_link() {
    let time = Duration::from_secs(2);

    let bytes = told_bytes(48, time).await;

    // The rate for the time, the burst, and one message to all that overdraws it.
    let most = 60_000 * 2 + 60_000 + RECEIVERS * 2_048;
    assert!(bytes <= most, "{bytes} bytes, at most {most}");
}

/// Guards against a bound that also holds up the few ends of a single culprit.
#[tokio::test]
async fn evidence_on_one_piece_of_content_is_told_at_once() {
    let bytes = told_bytes(1, Duration::from_millis(500)).await;

    assert!(bytes >= RECEIVERS * 100, "{bytes} bytes");
}
