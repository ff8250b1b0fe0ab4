//! Measures the claims per second and their latency at the leader of one ledger
//! shard. The shard has three members, which sync each claim to disk.

use cardamomtally::{
    core::{
        claim::{ClaimKey, ClaimOp, ClaimStore as _, Progress, RequestClaim},
        clock::SystemClock,
        log::Log,
    },
    ledger::{local::LocalStore, machine::Ledger},
    prelude::*,
    replica::{GroupSpec, Host, HostOptions},
    settings::{
        control::{GroupSettings, MemberSettings},
        units::{Size, Span},
    },
    timeline::Recorder,
    util::log,
};
use hdrhistogram::Histogram;
use std::{net::TcpListener, time::Instant};

/// Number of members of the shard.
const MEMBERS: usize = 3;

/// Number of callers of the throughput run. Each sends its next claim when the last
/// one is answered.
const CALLERS: u64 = 256;

/// Number of callers of the latency run, which has a fixed rate.
const PACED_CALLERS: u64 = 100;

/// Time between two claims of a caller in the latency run. All callers together
/// make 5,000 claims per second, the target rate.
const PACED_INTERVAL: Duration = Duration::from_millis(20);

/// Id of the shard's replication group.
const SHARD: GroupId = GroupId(1);

/// Duration of each run.
const RUN_TIME: Duration = Duration::from_secs(5);

/// Time for which the ledger keeps a claim.
const CLAIM_TTL: Duration = Duration::from_hours(1);

/// Longest wait for a leader; the measurement fails after it.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Claims per second in the throughput run, and the 99th percentile of the latency
/// in the latency run.
#[derive(Clone, Copy, Debug)]
pub struct Claims {
    pub per_s: f64,
    pub p99_ms: f64,
}

fn free_address() -> eyre::Result<String> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

fn start(folder: &std::path::Path, members: &[MemberSettings], at: usize) -> eyre::Result<Host> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
    let name = members[at].name.clone();
    Host::start(HostOptions {
        settings: GroupSettings {
            folder: folder.join(&name),
            members: members.to_vec(),
            bind_poll: None,
            bind_peer: None,
            peer_port: None,
            losses: 1,
            form: true,
            heartbeat: Span::ms(100),
            election: Span::ms(500),
            snapshot_entries: 100_000,
            segment: Size(16 << 20),
        },
        groups: vec![GroupSpec {
            id: SHARD,
            members: members.iter().map(|m| m.name.clone()).collect(),
            machine: Box::new(Ledger::default()),
        }],
        log: log::discard(),
        events: Arc::new(Recorder::new(&name, Arc::clone(&clock), 0)),
        clock,
        name,
    })
}

fn claim(caller: u64, number: u64) -> ClaimOp {
    let request = RequestId {
        entry: Incarnation(caller),
        seq: number,
    };
    ClaimOp::Begin {
        key: ClaimKey::request("p", "w", &request.to_string()),
        claim: RequestClaim {
            request,
            body: Digest::of(b"body"),
            attempt: AttemptId { request, number: 1 },
            backend: "queue-1".into(),
            agent: Some(Incarnation(1)),
            progress: Progress::Running,
        },
        ttl: CLAIM_TTL,
    }
}

/// Measures throughput and then latency on a new shard.
///
/// # Errors
///
/// Returns an error if a member does not start or no leader is elected in time.
pub fn measure() -> eyre::Result<Claims> {
    let folder = tempfile::tempdir()?;
    let members: Vec<MemberSettings> = (0..MEMBERS)
        .map(|i| {
            Ok(MemberSettings {
                name: format!("c{i}"),
                poll: String::new(),
                peer: free_address()?,
            })
        })
        .collect::<eyre::Result<_>>()?;
    let hosts: Vec<Arc<Host>> = (0..MEMBERS)
        .map(|at| Ok(Arc::new(start(folder.path(), &members, at)?)))
        .collect::<eyre::Result<_>>()?;
    let leader = wait_for_leader(&hosts)?;
    let store = Arc::new(LocalStore::new(leader as Arc<dyn Log>, 1));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let unpaced = runtime.block_on(run_callers(&store, CALLERS, Duration::ZERO));
    let paced = runtime.block_on(run_callers(&store, PACED_CALLERS, PACED_INTERVAL));
    Ok(Claims {
        per_s: unpaced.len() as f64 / RUN_TIME.as_secs_f64(),
        p99_ms: paced.value_at_quantile(0.99) as f64 / 1_000.0,
    })
}

fn wait_for_leader(hosts: &[Arc<Host>]) -> eyre::Result<Arc<Host>> {
    let until = Instant::now() + ELECTION_TIMEOUT;
    while Instant::now() < until {
        if let Some(host) = hosts.iter().find(|host| host.leader(SHARD).is_self) {
            return Ok(Arc::clone(host));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    eyre::bail!("no leader was elected within {ELECTION_TIMEOUT:?}")
}

async fn run_callers(store: &Arc<LocalStore>, count: u64, pace: Duration) -> Histogram<u64> {
    let started = Instant::now();
    let callers: Vec<_> = (0..count)
        .map(|caller| {
            // The two runs must not claim the same keys, so they use different
            // ranges of caller numbers.
            let caller = caller + count * CALLERS;
            tokio::spawn(run_caller(
                Arc::clone(store),
                caller,
                started + RUN_TIME,
                pace,
            ))
        })
        .collect();
    let mut latencies =
        Histogram::<u64>::new(3).expect("a histogram of three significant digits is valid");
    for caller in callers {
        let part = caller.await.expect("no caller panics");
        latencies.add(part).expect("the histogram resizes itself");
    }
    latencies
}

async fn run_caller(
    store: Arc<LocalStore>,
    caller: u64,
    until: Instant,
    pace: Duration,
) -> Histogram<u64> {
    let mut latencies =
        Histogram::new(3).expect("a histogram of three significant digits is valid");
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let sent = Instant::now();
        if store.apply(claim(caller, number)).await.is_ok() {
            let took = sent.elapsed().as_micros() as u64;
            latencies
                .record(took)
                .expect("the histogram resizes itself");
        }
        tokio::time::sleep(pace.saturating_sub(sent.elapsed())).await;
    }
    latencies
}
