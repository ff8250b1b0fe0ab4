//! Entries behind slow links fetch large documents and fleets from a real member.

use crate::{
    site::fixtures::{backend, document, route},
    support::wait::until,
};
use cardamomtally::{
    core::clock::SystemClock,
    direct::config::{
        outcomes::OutcomeCounts,
        poller::{ConfigPoller, PollerSettings},
    },
    net::{
        nng::{Client, Server},
        transport::{Transport, TransportError},
        wire::{Request, Response},
    },
    prelude::*,
    routing::rendezvous,
    site::{
        backend::{Backend, Inventory},
        document::{Class, Document, Route},
        member::{SiteMember, SiteMemberSettings},
        poll::Poll,
    },
    util::log,
};
use cardamomtally_standin::Proxy;
use futures::future::BoxFuture;
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::Instant,
};
use tempfile::TempDir;
use tokio::runtime::Runtime;

/// Bytes per second of each entry's link: its part of 100 Mbit/s that 27 entries share.
const LINK_BYTES_PER_S: u64 = 460_000;

/// The same for 330 entries.
const SHARED_LINK_BYTES_PER_S: u64 = 38_000;

/// Number of backend servers of the largest deployment.
const BACKENDS: u16 = 600;

/// Time in which a document must be in force at every entry.
const IN_FORCE: Duration = Duration::from_millis(2_500);

/// Number of entries, which is kept small so that the test needs few threads.
const ENTRIES: usize = 4;

/// Calls every member through one proxy.
#[derive(Debug)]
struct SlowLink {
    client: Client,
    proxy: Proxy,
}

impl SlowLink {
    fn new(server: &Server, rate: u64) -> Self {
        let proxy = Proxy::start(Some(server.bound())).unwrap();
        proxy.update_faults(|faults| faults.rate = rate);
        Self {
            client: Client::default(),
            proxy,
        }
    }
}

impl Transport for SlowLink {
    fn call(
        &self,
        _member: &str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Response, TransportError>> {
        let proxy = self.proxy.addr().to_string();
        Box::pin(async move { self.client.call(&proxy, request, timeout).await })
    }
}

/// A list of backend servers whose names have nothing in common.
#[derive(Debug)]
struct LargeInventory;

impl Inventory for LargeInventory {
    fn list(&self) -> BoxFuture<'_, eyre::Result<Vec<Backend>>> {
        let address = |n| SocketAddr::from((Ipv4Addr::LOCALHOST, n));
        let name = |n: u16| format!("i-{:016x}", rendezvous::seed(&n.to_string()));
        let list = (1..=BACKENDS).map(|n| backend(&name(n), address(n)));
        Box::pin(std::future::ready(Ok(list.collect())))
    }
}

/// One member and entries that poll it over slow links.
struct Site {
    member: Arc<SiteMember>,
    pollers: Vec<Arc<ConfigPoller>>,
    clock: Arc<dyn Clock>,
    runtime: Runtime,
    server: Server,
    /// Bytes per second of each entry's link.
    rate: u64,
    _folder: TempDir,
}

impl Site {
    fn start() -> Self {
        Self::with_links(LINK_BYTES_PER_S)
    }

    fn with_links(rate: u64) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(4)
            .enable_all()
            .build()
            .unwrap();
        let member = start_member(&folder);
        let server = {
            let _runtime = runtime.enter();
            member.listen("127.0.0.1:0").unwrap()
        };
        let mut site = Self {
            member,
            pollers: Vec::new(),
            clock: Arc::new(SystemClock::default()),
            runtime,
            server,
            rate,
            _folder: folder,
        };
        site.pollers = (0..ENTRIES).map(|_| site.start_poller()).collect();
        site
    }

    fn start_poller(&self) -> Arc<ConfigPoller> {
        let settings = PollerSettings {
            name: "entry".into(),
            seeds: vec!["member".into()],
            ..PollerSettings::default()
        };
        let poller = Arc::new(ConfigPoller::new(
            settings,
            Arc::new(SlowLink::new(&self.server, self.rate)),
            Arc::<OutcomeCounts>::default(),
            Arc::clone(&self.clock),
            log::discard(),
        ));
        let running = Arc::clone(&poller);
        self.runtime.spawn(async move { running.run().await });
        poller
    }

    fn submit(&self, document: &Document) -> Instant {
        until("the document is in force", || {
            let source = format!("document {}", document.number).into_bytes();
            let submitted = self.member.submit(document.clone(), source);
            self.runtime.block_on(submitted).ok()
        });
        Instant::now()
    }

    /// Lets the member read a large list of backend servers, and waits until it has.
    fn read_inventory(&self) {
        let period = Duration::from_millis(100);
        let tasks = Arc::clone(&self.member).run_leader_tasks(Arc::new(LargeInventory), period);
        self.runtime.spawn(tasks);
        until("the list is read", || {
            let count = self.member.fleet().backends.len();
            (count == usize::from(BACKENDS)).then_some(())
        });
    }

    /// Returns whether all entries may send to all backend servers now.
    fn all_know_backends(&self) -> bool {
        self.pollers.iter().all(|poller| {
            let config = poller.current();
            let count = config.fleet.backends.len();
            config.is_valid(self.clock.now()) && count == usize::from(BACKENDS)
        })
    }

    /// Returns the numbers of the documents by which the entries would serve now.
    fn served(&self) -> Vec<Option<u64>> {
        let number = |poller: &Arc<ConfigPoller>| {
            let config = poller.current();
            let valid = config.is_valid(self.clock.now());
            config.table.as_ref().filter(|_| valid).map(|t| t.number)
        };
        self.pollers.iter().map(number).collect()
    }

    fn wait_served(&self, number: u64) {
        until("all entries serve by the document", || {
            let served = self.served();
            served.iter().all(|n| *n == Some(number)).then_some(())
        });
    }
}

fn start_member(folder: &TempDir) -> Arc<SiteMember> {
    let listener = TcpListener::bind("127.0.0.81:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    drop(listener);
    let settings = SiteMemberSettings {
        name: "127.0.0.81".to_owned(),
        folder: folder.path().join("member"),
        seeds: vec!["127.0.0.81".to_owned()],
        form: true,
        peer_port: port,
        ..SiteMemberSettings::default()
    };
    SiteMember::start(&settings, Arc::new(SystemClock::default()), log::discard()).unwrap()
}

/// Returns a document with further routes, whose names have nothing in common.
fn large(number: u64, routes: u64) -> Document {
    let mut large = document(number, Class::Once);
    large.routes.extend((0..routes).map(|n| {
        let text = format!("{:016x}", rendezvous::seed(&n.to_string()));
        Route {
            name: format!("r-{}", &text[..7]).into(),
            host: format!("{}.example", &text[7..12]).into(),
            prefix: format!("/{text}/").into(),
            ..route(Class::Once)
        }
    }));
    large
}

#[test]
fn large_document_is_in_force_in_time_over_slow_links() {
    let site = Site::start();
    site.submit(&document(1, Class::Once));
    site.wait_served(1);

    let accepted = site.submit(&large(2, 2_800));
    site.wait_served(2);

    assert!(accepted.elapsed() < IN_FORCE, "{:?}", accepted.elapsed());
}

#[test]
fn entry_that_starts_over_a_slow_link_fetches_a_large_document_in_time() {
    let mut site = Site::start();
    site.submit(&large(2, 2_800));

    let started = Instant::now();
    site.pollers = vec![site.start_poller()];
    site.wait_served(2);

    assert!(started.elapsed() < IN_FORCE, "{:?}", started.elapsed());
}

#[test]
fn older_document_is_not_used_while_a_large_one_is_fetched_for_too_long() {
    let site = Site::start();
    site.submit(&document(1, Class::Once));
    site.wait_served(1);
    for poller in &site.pollers {
        assert_eq!(poller.current().table.as_ref().map(|t| t.number), Some(1));
    }

    let accepted = site.submit(&large(2, 40_000));
    std::thread::sleep(IN_FORCE.saturating_sub(accepted.elapsed()));

    assert!(!site.served().contains(&Some(1)), "{:?}", site.served());
}

#[test]
fn large_fleet_reaches_entries_that_share_the_leaders_link() {
    let site = Site::with_links(SHARED_LINK_BYTES_PER_S);
    site.submit(&document(1, Class::Once));
    site.wait_served(1);

    site.read_inventory();
    let read = Instant::now();
    until("all entries know the backend servers", || {
        site.all_know_backends().then_some(())
    });

    assert!(read.elapsed() < IN_FORCE, "{:?}", read.elapsed());
}

#[test]
fn only_an_entry_that_fetches_no_fleets_gets_a_large_one_with_its_poll() {
    let site = Site::start();
    site.submit(&document(1, Class::Once));
    site.read_inventory();
    let poll = |fleet_parts| {
        let poll = Poll {
            name: "entry".into(),
            fleet_parts,
            ..Poll::default()
        };
        site.runtime.block_on(site.member.poll(poll)).unwrap()
    };

    let former = poll(false);
    let current = poll(true);

    let sent = former
        .fleet
        .map(|fleet| (fleet.index, fleet.backends.len()));
    assert_eq!(sent, Some((current.fleet_index, usize::from(BACKENDS))));
    assert_eq!(current.fleet, None);
}
