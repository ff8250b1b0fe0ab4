//! Tests of the exchange of backlogs between entries.

use super::choice::{config, fleet, service};
use crate::support::wait::WAIT_TIMEOUT;
use cardamomtally::{
    core::clock::SystemClock,
    direct::{
        exchange::{
            backlog::BacklogSums,
            peers::{Knowledge, Message, Peers},
        },
        fleet::registry::{Registry, Requirements},
        request::prompt::Prompt,
    },
    net::codec,
    prelude::*,
    routing::rendezvous,
    scheduling::settings::{Mode, SchedulingSettings},
    util::log,
};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};
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

/// What an entry knows that keeps its figures in the account.
#[derive(Debug, Default)]
struct Figures {
    /// Sums that arrived outside the account.
    sums: Mutex<Vec<BacklogSums>>,
}

impl Knowledge for Figures {
    fn apply_peer_sums(&self, _entry: &Name, sums: BacklogSums) {
        let mut all = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(sums);
    }

    fn own_sums(&self, _max: usize) -> BacklogSums {
        vec![(7, 900)]
    }

    fn uses_account(&self) -> bool {
        true
    }
}

/// Starts an exchange that keeps an account, and returns the address at which it receives.
async fn start_account(name: &str) -> (Arc<Peers>, Arc<Figures>, SocketAddr) {
    let scheduling = SchedulingSettings {
        mode: Mode::On,
        ..SchedulingSettings::default()
    };
    let clock = Arc::new(SystemClock::default());
    let peers = Peers::new(name.into(), log::discard()).with_account(Some(scheduling), clock);
    let (peers, figures) = (Arc::new(peers), Arc::<Figures>::default());
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let address = socket.local_addr().unwrap();
    let (incoming, own, seen) = (
        Arc::clone(&socket),
        Arc::clone(&peers),
        Arc::clone(&figures),
    );
    tokio::spawn(async move { own.receive_loop(&incoming, &*seen).await });
    let (own, seen) = (Arc::clone(&peers), Arc::clone(&figures));
    tokio::spawn(async move { own.send_loop(&socket, &*seen).await });
    (peers, figures, address)
}

/// Waits until the prefill work that is known of a server meets a condition.
async fn until_known(peers: &Peers, met: impl Fn(f64) -> bool) {
    let clock = SystemClock::default();
    let look = async {
        while !met(peers.account().view(SERVER, clock.now()).prefill_ms) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, look).await.unwrap();
}

const SERVER: u64 = 0x1234_5678_9abc_def0;

/// Guards against figures that are not sent, directly or along trees, or not withdrawn.
#[tokio::test]
async fn entries_that_keep_an_account_know_each_others_figures() {
    for count in [3, 40] {
        let mut entries = Vec::new();
        for number in 0..count {
            entries.push(start_account(&format!("entry-{number}")).await);
        }
        let members: Vec<SocketAddr> = entries.iter().map(|entry| entry.2).collect();
        for (place, (peers, ..)) in entries.iter().enumerate() {
            peers.set_members(members.clone(), place as u32);
        }

        entries[1].0.account().record_own(SERVER, 80.0, 1.0, 500.0);
        entries[1].0.mark_changed();
        until_known(&entries[2].0, |work| (work - 80.0).abs() < 4.0).await;
        entries[1].0.account().record_own(SERVER, 0.0, 0.0, 0.0);
        entries[1].0.mark_changed();
        until_known(&entries[2].0, |work| work < 1.0).await;
    }
}

/// Message of a build before the account.
#[derive(Debug, Default, Deserialize, PartialEq, Serialize)]
struct FormerMessage {
    #[serde(rename = "n")]
    entry: Name,
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    sums: Option<BacklogSums>,
}

/// Guards against messages that entries of a former build cannot decode, and against a change
/// of those that an entry without overload control sends.
#[test]
fn messages_are_compatible_with_former_builds() {
    let mut message = Message {
        entry: "entry-1".into(),
        sums: Some(vec![(7, 900)]),
        ..Message::default()
    };
    let former = FormerMessage {
        entry: "entry-1".into(),
        sums: Some(vec![(7, 900)]),
    };
    assert_eq!(codec::encode(&message), codec::encode(&former));

    message.account = Some(ByteBuf::from(vec![1; 1_300]));
    let bytes = codec::encode(&message);
    assert!(bytes.len() < 2_048, "{}", bytes.len());
    assert_eq!(codec::decode::<FormerMessage>(&bytes).unwrap(), former);
}

/// Guards against entries of different builds that do not know each other's prefill work, and
/// against work that is counted twice, in sums and in figures.
#[tokio::test]
async fn entries_of_a_former_build_exchange_sums_with_those_that_keep_an_account() {
    let (first, second) = (
        start_account("entry-1").await,
        start_account("entry-2").await,
    );
    let former = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for (place, (peers, ..)) in [&first, &second].into_iter().enumerate() {
        peers.set_members(vec![first.2, second.2], place as u32);
        peers.set_addresses(vec![first.2, second.2, former.local_addr().unwrap()]);
    }
    let message = codec::encode(&FormerMessage {
        entry: "entry-3".into(),
        sums: Some(vec![(SERVER, 300)]),
    });
    former.send_to(&message, first.2).await.unwrap();
    until_known(&first.0, |work| (work - 300.0).abs() < 1.0).await;

    // The first entry has heard the former one, and sends it its sums.
    let mut bytes = [0; 2_048];
    let received = async {
        loop {
            let (length, _) = former.recv_from(&mut bytes).await.unwrap();
            let message: FormerMessage = codec::decode(&bytes[..length]).unwrap();
            if message.sums == Some(vec![(7, 900)]) {
                return;
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, received).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let sums = second.1.sums.lock().unwrap();
    assert!(sums.is_empty(), "{sums:?}");
}
