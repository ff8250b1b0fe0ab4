//! Account of capacity among entries: what all entries together have outstanding at each backend
//! server, and what each server has last reported.
//!
//! Each entry sends its own figures. Up to [`topology::MAX_MESH`] entries send them to each other
//! directly after changes. More entries add them up along trees, in rounds; the root of a round
//! sends the totals back along the same tree. All figures are soft: a message replaces earlier
//! ones, and what is not replaced expires. An entry that hears nothing uses its own figures.
//!
//! The account does no I/O. Its caller passes the time and the messages received, and sends what
//! it returns.

mod rounds;
pub mod table;
pub mod topology;
pub mod wire;

use self::{
    rounds::Rounds,
    table::{Factor, LoadReport, Pool, Row, Table},
    topology::Topology,
    wire::{ALL, FACTOR, Header, Kind, Message, PLACED, PREFILL, Pools, REPORT},
};
use crate::{
    prelude::*,
    routing::rendezvous,
    scheduling::settings::{Mode, SchedulingSettings},
};

/// Identifies a backend server. Messages contain the first 24 bits. If two servers of a fleet
/// agree in these (1 % of fleets of 600), each appears to have the figures of both.
pub type ServerKey = u64;

/// Age from which the figures of another entry in a mesh are dropped.
pub const PEER_TTL: Duration = Duration::from_millis(600);
/// Least time between two messages to all others in a mesh.
const MIN_DIRECT_GAP: Duration = Duration::from_millis(10);
/// Time that each other entry adds to it, so that the rate of datagrams stays bounded. It is
/// that of the exchange of sums of prefill work.
const DIRECT_GAP_PER_PEER: Duration = Duration::from_micros(1_500);
/// Least time between two messages in a mesh that contain more than prefill work. After it,
/// unchanged figures are sent again.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Time that each other entry adds to it, so that the bytes of these messages do not grow with
/// the number of entries.
const REFRESH_PER_PEER: Duration = Duration::from_millis(10);
/// Age up to which a report is included in messages, so that the loss of one message is made
/// good by the next.
const NEWS_AGE: Duration = Duration::from_millis(600);
/// Time constant of the rate of completed work.
const COMPLETED_TIME: Duration = Duration::from_secs(1);
/// Time for which an entry of a former build counts as present after its latest message.
const FORMER_TTL: Duration = Duration::from_secs(5);
/// Bytes of a datagram besides the message: the headers of IP and UDP, and the envelope with the
/// sender's name.
pub const OVERHEAD_BYTES: usize = 28 + 24;

/// A message to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outgoing {
    /// Places of the receivers in the list of members.
    pub to: Vec<usize>,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// What all entries have outstanding at one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerTotals {
    /// Prefill work in milliseconds.
    pub prefill_ms: f64,
    /// Requests in flight.
    pub in_flight: f64,
    /// Tokens of memory placed.
    pub memory: f64,
    /// Latest load report; its age is `now` less its time.
    pub report: Option<LoadReport>,
    /// Learned factor of all entries.
    pub factor: Option<Factor>,
    /// Age of the other entries' figures; none if only this entry's own are known.
    pub age: Option<Duration>,
}

/// Sums over several backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Number of servers.
    pub servers: usize,
    /// Number of servers with a load report that has not expired.
    pub reported: usize,
    /// Prefill work in milliseconds.
    pub prefill_ms: f64,
    /// Requests in flight.
    pub in_flight: f64,
    /// Tokens of memory placed.
    pub memory: f64,
    /// Age of the other entries' figures; none if only this entry's own are known.
    pub age: Option<Duration>,
}

/// Figures of one other entry of a mesh.
#[derive(Debug, Default)]
struct Peer {
    at: Mono,
    round: u16,
    table: Table,
    pools: Pools,
}

/// Sums over the other entries of a mesh for one server.
#[derive(Clone, Copy, Debug, Default)]
struct PeerSums {
    prefill_ms: f64,
    in_flight: f64,
    memory: f64,
    factor: f64,
    weight: f64,
}

impl PeerSums {
    fn add(&mut self, row: &Row, sign: f64) {
        self.prefill_ms += sign * row.prefill_ms;
        self.in_flight += sign * row.in_flight;
        self.memory += sign * row.memory;
        if let Some(factor) = row.factor {
            self.factor += sign * factor.value * factor.weight;
            self.weight += sign * factor.weight;
        }
    }
}

/// This entry's own completed work of a service in a data centre.
#[derive(Clone, Copy, Debug, Default)]
struct OwnPool {
    outstanding_ms: f64,
    rate: f64,
    at: Mono,
}

impl OwnPool {
    fn rate(&self, now: Mono) -> f64 {
        let passed = now.since(self.at).as_secs_f64() / COMPLETED_TIME.as_secs_f64();
        self.rate * (-passed).exp()
    }
}

/// Sending in a mesh.
#[derive(Debug, Default)]
struct Direct {
    dirty: bool,
    /// When the next message may be sent.
    next: Mono,
    /// When the next message with all figures is due.
    refresh: Mono,
    /// Whether the latest message contained anything.
    sent_any: bool,
    round: u16,
}

/// Account of capacity among entries, as one entry keeps it.
#[derive(Debug, Default)]
pub struct Account {
    settings: Option<SchedulingSettings>,
    /// Whether a server has reported its pace, to this or another entry.
    pace_seen: bool,
    topology: Option<Topology>,
    own: Table,
    own_pools: FastMap<u32, OwnPool>,
    peers: FastMap<Name, Peer>,
    sums: FastMap<u32, PeerSums>,
    /// Latest reports that other entries of a mesh have sent.
    reports: FastMap<u32, LoadReport>,
    direct: Direct,
    rounds: Rounds,
    former_seen: Option<Mono>,
    ignored: u64,
}

/// Returns the key of a server in messages.
#[must_use]
pub const fn short(server: ServerKey) -> u32 {
    (server >> 40) as u32
}

/// Returns the key of a service in a data centre.
#[must_use]
pub fn pool_key(service: &str, centre: &str) -> u32 {
    (rendezvous::weight(rendezvous::seed(service), rendezvous::seed(centre)) >> 32) as u32
}

impl Account {
    /// Builds an account. It sends nothing if the settings do not ask for it.
    #[must_use]
    pub fn new(settings: Option<SchedulingSettings>) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Tells whether figures are exchanged: overload control is on, or it is automatic and a
    /// server has reported its pace.
    #[must_use]
    pub fn active(&self) -> bool {
        let mode = self.settings.map_or(Mode::Off, |settings| settings.mode);
        mode == Mode::On || (mode == Mode::Auto && self.pace_seen)
    }

    /// Tells whether this entry sends its figures. Without the list of members, as long as
    /// the leader is of a former build, it does not.
    #[must_use]
    pub fn exchanges(&self) -> bool {
        self.active() && self.topology.is_some()
    }

    /// Replaces the list of members, from which the topology was built.
    pub fn set_topology(&mut self, topology: Option<Topology>, now: Mono) {
        if self.topology != topology {
            self.topology = topology;
            self.rounds.restart(now);
        }
    }

    /// Returns the topology.
    #[must_use]
    pub const fn topology(&self) -> Option<Topology> {
        self.topology
    }

    /// Returns the number of messages that were malformed, or were not meant for this entry.
    #[must_use]
    pub const fn ignored(&self) -> u64 {
        self.ignored
    }

    // Own figures.

    /// Replaces this entry's own sums at a server.
    pub fn record_own(&mut self, server: ServerKey, prefill: f64, in_flight: f64, memory: f64) {
        let row = self.own.entry(short(server)).or_default();
        row.prefill_ms = prefill.max(0.0);
        row.in_flight = in_flight.max(0.0);
        row.memory = memory.max(0.0);
        if row.is_empty() {
            self.own.remove(&short(server));
        }
    }

    /// Adds to this entry's own sums at a server. Negative figures are subtracted.
    pub fn add_own(&mut self, server: ServerKey, prefill: f64, in_flight: f64, memory: f64) {
        let row = self.own.get(&short(server)).copied().unwrap_or_default();
        // Rounding errors of many additions must not leave a rest.
        let sum = |a: f64, b: f64| if a + b < 1e-6 { 0.0 } else { a + b };
        self.record_own(
            server,
            sum(row.prefill_ms, prefill),
            sum(row.in_flight, in_flight),
            sum(row.memory, memory),
        );
    }

    /// Returns this entry's own prefill work and requests in flight at a server.
    #[must_use]
    pub fn own(&self, server: ServerKey) -> (f64, f64) {
        let row = self.own.get(&short(server)).copied().unwrap_or_default();
        (row.prefill_ms, row.in_flight)
    }

    /// Records a load report that this entry has received.
    pub fn record_report(&mut self, server: ServerKey, report: LoadReport) {
        self.pace_seen |= report.pace.is_some();
        let heard = Row {
            report: Some(report),
            ..Row::default()
        };
        self.own
            .entry(short(server))
            .or_default()
            .set(&heard, REPORT);
    }

    /// Replaces the factor that this entry has learned itself, from `weight` observations.
    pub fn record_factor(&mut self, server: ServerKey, value: f64, weight: f64, now: Mono) {
        let factor = Factor {
            value,
            weight,
            at: now,
        };
        self.own.entry(short(server)).or_default().factor = Some(factor);
    }

    /// Replaces this entry's outstanding work of a service in a data centre, in milliseconds.
    pub fn record_outstanding(&mut self, pool: u32, work: f64) {
        self.own_pools.entry(pool).or_default().outstanding_ms = work.max(0.0);
    }

    /// Adds completed work of a service in a data centre, in milliseconds.
    pub fn record_completed(&mut self, pool: u32, work: f64, now: Mono) {
        let own = self.own_pools.entry(pool).or_default();
        own.rate = own.rate(now) + work / COMPLETED_TIME.as_secs_f64();
        own.at = now;
    }

    /// Asks to send this entry's own figures soon, because they changed much. In a mesh, smaller
    /// changes are sent at the next regular message.
    pub const fn mark_changed(&mut self) {
        self.direct.dirty = true;
    }

    // Reading.

    /// Returns what all entries have outstanding at a server.
    #[must_use]
    pub fn view(&self, server: ServerKey, now: Mono) -> ServerTotals {
        let key = short(server);
        let own = self.own.get(&key).copied().unwrap_or_default();
        let mut row = own;
        let direct = self.sums.get(&key).copied().unwrap_or_default();
        row.merge(&Row {
            prefill_ms: direct.prefill_ms.max(0.0),
            in_flight: direct.in_flight.max(0.0),
            memory: direct.memory.max(0.0),
            report: self.reports.get(&key).copied(),
            factor: (direct.weight > 0.5).then(|| Factor {
                value: direct.factor / direct.weight,
                weight: direct.weight,
                at: now,
            }),
        });
        if let Some(others) = self.rounds.others(key, now) {
            row.merge(&others);
        }
        row.expire(now);
        ServerTotals {
            prefill_ms: row.prefill_ms,
            in_flight: row.in_flight,
            memory: row.memory,
            report: row.report,
            factor: row.factor,
            age: self.age(now),
        }
    }

    /// Returns the sums over servers, such as those of a service or a data centre.
    #[must_use]
    pub fn totals(&self, servers: impl IntoIterator<Item = ServerKey>, now: Mono) -> Totals {
        let mut totals = Totals {
            age: self.age(now),
            ..Totals::default()
        };
        for server in servers {
            let view = self.view(server, now);
            totals.servers += 1;
            totals.reported += usize::from(view.report.is_some());
            totals.prefill_ms += view.prefill_ms;
            totals.in_flight += view.in_flight;
            totals.memory += view.memory;
        }
        totals
    }

    /// Returns the figures of a service in a data centre.
    #[must_use]
    pub fn pool(&self, pool: u32, now: Mono) -> Pool {
        let mut sum = self.own_pools_at(now).remove(&pool).unwrap_or_default();
        let peers = self.peers.values().filter_map(|peer| peer.pools.get(&pool));
        for other in peers {
            sum.merge(other);
        }
        if let Some(others) = self.rounds.other_pool(pool, now) {
            sum.merge(&others);
        }
        sum
    }

    /// Returns the age of the other entries' figures, or none if none is known. In a mesh it is
    /// the age of the oldest message that is still used.
    #[must_use]
    pub fn age(&self, now: Mono) -> Option<Duration> {
        let peers = self.peers.values().map(|peer| now.since(peer.at));
        self.rounds.age(now).or_else(|| peers.max())
    }

    /// Returns the number of entries whose figures are known, this one included.
    #[must_use]
    pub fn entries(&self, now: Mono) -> usize {
        let direct = self.peers.len() + 1;
        self.rounds.entries(now).unwrap_or(direct).max(direct)
    }

    // Exchange.

    /// Records the sums of an entry of a former build.
    pub fn record_former(&mut self, entry: &Name, sums: &[(ServerKey, u32)], now: Mono) {
        self.former_seen = Some(now);
        let rows = sums.iter().map(|(server, work)| {
            let row = Row {
                prefill_ms: f64::from(*work),
                ..Row::default()
            };
            (short(*server), row, PREFILL)
        });
        let message = Message {
            header: Header {
                replaces: PREFILL,
                parts: 1,
                range: (0, wire::MAX_KEY),
                ..Header::default()
            },
            rows: rows.collect(),
            ..Message::default()
        };
        self.apply_direct(entry, &message, now);
    }

    /// Tells whether there are entries of a former build, which need the sums of prefill work
    /// in messages of their own.
    #[must_use]
    pub fn serves_former(&self, now: Mono) -> bool {
        let seen = self.former_seen;
        seen.is_some_and(|at| now.since(at) < FORMER_TTL)
    }

    /// Applies a message. Returns what is to be passed on. Messages that are malformed, repeated
    /// or older than another one change nothing.
    pub fn receive(&mut self, from: &Name, bytes: &[u8], now: Mono) -> Vec<Outgoing> {
        if bytes.is_empty() {
            return Vec::new();
        }
        let Some(message) = wire::decode(bytes, now) else {
            self.ignored += 1;
            return Vec::new();
        };
        let paces = message.rows.iter().filter_map(|(_, row, _)| row.report);
        self.pace_seen |= paces.into_iter().any(|report| report.pace.is_some());
        match message.header.kind {
            Kind::Direct => {
                self.apply_direct(from, &message, now);
                Vec::new()
            }
            Kind::Up | Kind::Down => {
                let Some(topology) = self.tree() else {
                    self.ignored += 1;
                    return Vec::new();
                };
                self.rounds.receive(&topology, &message, bytes, now)
            }
        }
    }

    /// Returns the messages that are due.
    pub fn tick(&mut self, now: Mono) -> Vec<Outgoing> {
        self.expire(now);
        let Some(topology) = self.topology.filter(|_| self.active()) else {
            return Vec::new();
        };
        if topology.is_mesh() {
            return self.direct_messages(&topology, now);
        }
        if !self.rounds.due(&topology, now) {
            return Vec::new();
        }
        let pools = self.own_pools_at(now);
        self.rounds.send(&topology, &self.own, &pools, now)
    }

    /// Tells whether the sums of the entries below this one have all arrived, so that they are
    /// to be passed on before the time that [`Account::next_tick`] has told.
    #[must_use]
    pub fn due(&self, now: Mono) -> bool {
        let topology = self.tree().filter(|_| self.active());
        topology.is_some_and(|topology| self.rounds.due(&topology, now))
    }

    /// Returns when [`Account::tick`] is to be called next; none if only after a change.
    #[must_use]
    pub fn next_tick(&self, now: Mono) -> Option<Mono> {
        let topology = self.topology.filter(|_| self.active())?;
        if !topology.is_mesh() {
            return Some(self.rounds.next(&topology));
        }
        let waiting = !self.own.is_empty() || self.direct.sent_any;
        match (self.direct.dirty, waiting) {
            (true, _) => Some(self.direct.next.max(now)),
            (false, true) => Some(self.direct.refresh.max(self.direct.next)),
            (false, false) => None,
        }
    }

    /// Returns the topology if figures travel along trees.
    fn tree(&self) -> Option<Topology> {
        self.topology.filter(|topology| !topology.is_mesh())
    }

    fn own_pools_at(&self, now: Mono) -> Pools {
        let pools = self.own_pools.iter().map(|(key, own)| {
            let pool = Pool {
                outstanding_ms: own.outstanding_ms,
                completed_ms_per_s: own.rate(now),
            };
            (*key, pool)
        });
        let worth = |pool: &Pool| pool.outstanding_ms + pool.completed_ms_per_s > 0.5;
        pools.filter(|(_, pool)| worth(pool)).collect()
    }

    /// Drops the figures of entries that are silent, and reports that are too old. It is part
    /// of [`Account::tick`].
    pub fn expire(&mut self, now: Mono) {
        let peers = std::mem::take(&mut self.peers);
        for (name, peer) in peers {
            if now.since(peer.at) < PEER_TTL {
                self.peers.insert(name, peer);
            } else {
                self.add_sums(&peer.table, -1.0);
            }
        }
        if self.peers.is_empty() {
            self.sums.clear();
        }
        self.reports
            .retain(|_, report| now.since(report.at) < table::REPORT_TTL);
        self.own.retain(|_, row| {
            row.expire(now);
            !row.is_empty()
        });
    }

    fn add_sums(&mut self, table: &Table, sign: f64) {
        for (key, row) in table {
            self.sums.entry(*key).or_default().add(row, sign);
        }
    }

    fn apply_direct(&mut self, from: &Name, message: &Message, now: Mono) {
        for (key, row, _) in &message.rows {
            if let Some(report) = row.report {
                let latest = self.reports.entry(*key).or_insert(report);
                if report.at > latest.at {
                    *latest = report;
                }
            }
        }
        let mut peer = self.peers.remove(from).unwrap_or_default();
        let header = &message.header;
        let older = rounds::is_before(header.round, peer.round);
        // A restarted entry counts from zero again.
        if older && now.since(peer.at) < PEER_TTL {
            self.peers.insert(Arc::clone(from), peer);
            return;
        }
        self.add_sums(&peer.table, -1.0);
        wire::apply(&mut peer.table, message);
        self.add_sums(&peer.table, 1.0);
        if header.replaces & PLACED != 0 && header.part == 0 {
            peer.pools.clone_from(&message.pools);
        }
        (peer.at, peer.round) = (now, header.round);
        self.peers.insert(Arc::clone(from), peer);
    }

    fn direct_messages(&mut self, topology: &Topology, now: Mono) -> Vec<Outgoing> {
        let refresh = now >= self.direct.refresh;
        let waiting = !self.own.is_empty() || self.direct.sent_any;
        if now < self.direct.next || !(self.direct.dirty || refresh && waiting) {
            return Vec::new();
        }
        let others = topology.count.saturating_sub(1);
        let gap = (DIRECT_GAP_PER_PEER * others as u32).max(MIN_DIRECT_GAP);
        self.direct.dirty = false;
        self.direct.next = now + gap;
        let sent = if refresh { ALL } else { PREFILL };
        if refresh {
            let interval = REFRESH_PER_PEER * others as u32;
            self.direct.refresh = now + interval.max(MIN_REFRESH_INTERVAL);
        }
        let fresh = |row: &Row| row.report.is_some_and(|r| now.since(r.at) < NEWS_AGE);
        let rows = self.own.iter().map(|(key, row)| {
            let stale = if fresh(row) { 0 } else { REPORT };
            (*key, row, row.mask() & sent & !stale)
        });
        let rows: Vec<wire::Selected<'_>> = rows.filter(|row| row.2 != 0).collect();
        let pools = if refresh {
            self.own_pools_at(now)
        } else {
            Pools::new()
        };
        self.direct.sent_any = !rows.is_empty() || (!refresh && self.direct.sent_any);
        self.direct.round = self.direct.round.wrapping_add(1);
        let header = Header {
            kind: Kind::Direct,
            replaces: sent & (PREFILL | PLACED | FACTOR),
            place: topology.place as u16,
            round: self.direct.round,
            entries: 1,
            ..Header::default()
        };
        let to: Vec<usize> = (0..topology.count)
            .filter(|p| *p != topology.place)
            .collect();
        let messages = wire::encode(header, &rows, &pools, now);
        let outgoing = |bytes| Outgoing {
            to: to.clone(),
            bytes,
        };
        messages.into_iter().map(outgoing).collect()
    }
}
