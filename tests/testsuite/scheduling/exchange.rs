//! A simulated exchange of the account among entries, in memory and with the real encoding.
//!
//! Time, delays, losses and the load are simulated with a fixed seed. Each entry sends requests
//! to random servers at a fixed rate, hears a load report with each answer, and keeps its own
//! figures in its account.

use cardamomtally::{
    direct::exchange::peers::Message,
    net::codec,
    prelude::*,
    routing::rendezvous,
    scheduling::{
        account::{Account, Outgoing, ServerKey, pool_key, table::LoadReport, topology::Topology},
        settings::{Mode, SchedulingSettings},
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use serde_bytes::ByteBuf;
use std::{cmp::Reverse, collections::BinaryHeap, time::Instant};

/// Bytes of the headers of IP and UDP.
const HEADERS: usize = 28;
/// Requests per second that one entry sends.
const REQUESTS_PER_S: f64 = 24.0;
/// Mean time for which a prompt is processed, in milliseconds.
const PREFILL_MS: f64 = 60.0;
/// Mean time for which a request is in flight, in milliseconds.
const FLIGHT_MS: f64 = 2_500.0;
/// Memory of a request, in tokens.
const MEMORY: f64 = 2_000.0;

/// What a simulation is about.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub entries: usize,
    pub servers: usize,
    /// Share of datagrams that are lost.
    pub loss: f64,
    pub seed: u64,
}

/// What one entry has sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub bytes: usize,
    pub datagrams: usize,
    /// Processor time of the account and the encoding.
    pub busy: Duration,
}

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Tick(usize),
    Wake(usize),
    Deliver {
        to: usize,
        bytes: Vec<u8>,
    },
    Request(usize),
    Prefilled {
        entry: usize,
        server: usize,
        work: u64,
    },
    End {
        entry: usize,
        server: usize,
    },
}

/// A simulated exchange.
#[derive(Debug)]
pub struct Exchange {
    plan: Plan,
    pub now: Mono,
    pub accounts: Vec<Account>,
    pub traffic: Vec<Traffic>,
    names: Vec<Name>,
    events: BinaryHeap<Reverse<(Mono, u64, Event)>>,
    numbered: u64,
    random: SmallRng,
    /// Prefill work and requests in flight at each server.
    pub prefill: Vec<f64>,
    pub in_flight: Vec<f64>,
    /// Entries that are stopped: they neither send nor receive.
    pub stopped: Vec<bool>,
    /// Links, from sender to receiver, on which everything is lost.
    pub cut: FastSet<(usize, usize)>,
    settings: SchedulingSettings,
}

/// Returns the key of a server.
pub fn server(number: usize) -> ServerKey {
    rendezvous::seed(&format!("server-{number}"))
}

impl Exchange {
    pub fn new(plan: Plan) -> Self {
        let settings = SchedulingSettings {
            mode: Mode::On,
            ..SchedulingSettings::default()
        };
        let mut exchange = Self {
            plan,
            now: Mono(1_000_000),
            accounts: Vec::new(),
            traffic: vec![Traffic::default(); plan.entries],
            names: (0..plan.entries)
                .map(|n| format!("entry-{n:04}").into())
                .collect(),
            events: BinaryHeap::new(),
            numbered: 0,
            random: SmallRng::seed_from_u64(plan.seed),
            prefill: vec![0.0; plan.servers],
            in_flight: vec![0.0; plan.servers],
            stopped: vec![false; plan.entries],
            cut: FastSet::default(),
            settings,
        };
        for entry in 0..plan.entries {
            exchange.accounts.push(Account::new(None));
            exchange.restart(entry);
            let at = exchange.now + exchange.exponential(1_000.0 / REQUESTS_PER_S);
            exchange.push(at, Event::Request(entry));
            // Processes do not start together.
            let at = exchange.now + Duration::from_millis(exchange.random.random_range(0..500));
            exchange.push(at, Event::Tick(entry));
        }
        exchange
    }

    /// Replaces an entry's account by an empty one, as a restart does.
    pub fn restart(&mut self, entry: usize) {
        let members: Vec<usize> = (0..self.plan.entries).collect();
        let mut account = Account::new(Some(self.settings));
        account.set_topology(Topology::new(&members, entry), self.now);
        self.accounts[entry] = account;
    }

    /// Stops an entry; its requests end with it.
    pub fn stop(&mut self, entry: usize) {
        self.stopped[entry] = true;
        for number in 0..self.plan.servers {
            let own = self.accounts[entry].own(server(number));
            self.prefill[number] -= own.0;
            self.in_flight[number] -= own.1;
        }
    }

    fn push(&mut self, at: Mono, event: Event) {
        self.numbered += 1;
        self.events.push(Reverse((at, self.numbered, event)));
    }

    fn exponential(&mut self, mean_ms: f64) -> Duration {
        let part: f64 = self.random.random_range(1e-9..1.0);
        Duration::from_secs_f64(-part.ln() * mean_ms / 1e3)
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self
            .events
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= end)
        {
            if let Some(Reverse((at, _, event))) = self.events.pop() {
                self.now = at;
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(entry) => {
                self.tick(entry);
                let next = self.accounts[entry].next_tick(self.now);
                let longest = self.now + Duration::from_millis(200);
                let next = next.map_or(longest, |next| next.min(longest));
                // A timer of the runtime is late by up to a millisecond.
                let next = next.max(self.now) + Duration::from_millis(1);
                self.push(next, Event::Tick(entry));
            }
            Event::Wake(entry) => self.tick(entry),
            Event::Deliver { to, bytes } => self.deliver(to, &bytes),
            Event::Request(entry) => {
                self.send_request(entry);
                let at = self.now + self.exponential(1_000.0 / REQUESTS_PER_S);
                self.push(at, Event::Request(entry));
            }
            Event::Prefilled { entry, .. } | Event::End { entry, .. } if self.stopped[entry] => {}
            Event::Prefilled {
                entry,
                server: at,
                work,
            } => {
                let work = work as f64 / 1e3;
                self.prefill[at] -= work;
                let report = LoadReport {
                    running: self.in_flight[at] as u32,
                    waiting: 0,
                    pace: Some(100),
                    at: self.now,
                };
                let account = &mut self.accounts[entry];
                account.add_own(server(at), -work, 0.0, 0.0);
                account.record_report(server(at), report);
                account.record_factor(server(at), 1.1, 5.0, self.now);
                account.mark_changed();
                self.wake(entry);
            }
            Event::End { entry, server: at } => {
                self.in_flight[at] -= 1.0;
                let account = &mut self.accounts[entry];
                account.add_own(server(at), 0.0, -1.0, -MEMORY);
                account.record_completed(pool_key("chat", "north"), PREFILL_MS, self.now);
            }
        }
    }

    fn send_request(&mut self, entry: usize) {
        if self.stopped[entry] {
            return;
        }
        let at = self.random.random_range(0..self.plan.servers);
        let prefill = self.exponential(PREFILL_MS);
        // Whole microseconds, so that the end subtracts what the beginning has added.
        let work = prefill.as_micros() as u64;
        self.prefill[at] += work as f64 / 1e3;
        self.in_flight[at] += 1.0;
        let account = &mut self.accounts[entry];
        account.add_own(server(at), work as f64 / 1e3, 1.0, MEMORY);
        account.mark_changed();
        self.wake(entry);
        let (now, end) = (self.now, self.exponential(FLIGHT_MS));
        let prefilled = Event::Prefilled {
            entry,
            server: at,
            work,
        };
        self.push(now + prefill, prefilled);
        self.push(now + prefill + end, Event::End { entry, server: at });
    }

    /// Sends the figures of an entry as soon as it may, as after a change.
    fn wake(&mut self, entry: usize) {
        self.tick(entry);
        let next = self.accounts[entry].next_tick(self.now);
        let soon = self.now + Duration::from_millis(50);
        if let Some(next) = next.filter(|next| *next < soon) {
            self.push(next.max(self.now), Event::Wake(entry));
        }
    }

    fn tick(&mut self, entry: usize) {
        if self.stopped[entry] {
            return;
        }
        let begun = Instant::now();
        let outgoing = self.accounts[entry].tick(self.now);
        self.traffic[entry].busy += begun.elapsed();
        self.send(entry, outgoing);
    }

    fn send(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for Outgoing { to, bytes } in outgoing {
            let begun = Instant::now();
            let message = Message {
                entry: Arc::clone(&self.names[from]),
                account: Some(ByteBuf::from(bytes)),
                ..Message::default()
            };
            let bytes = codec::encode(&message);
            self.traffic[from].busy += begun.elapsed();
            for to in to {
                self.traffic[from].bytes += bytes.len() + HEADERS;
                self.traffic[from].datagrams += 1;
                let lost = self.random.random::<f64>() < self.plan.loss;
                if lost || self.cut.contains(&(from, to)) {
                    continue;
                }
                let delay = Duration::from_micros(self.random.random_range(500..2_500));
                let bytes = bytes.clone();
                self.push(self.now + delay, Event::Deliver { to, bytes });
            }
        }
    }

    fn deliver(&mut self, to: usize, bytes: &[u8]) {
        if self.stopped[to] {
            return;
        }
        let begun = Instant::now();
        let message: Message = codec::decode(bytes).unwrap();
        let account = &mut self.accounts[to];
        let body = message.account.unwrap_or_default();
        let outgoing = account.receive(&message.entry, &body, self.now);
        let due = account.due(self.now);
        let traffic = &mut self.traffic[to];
        traffic.busy += begun.elapsed();
        traffic.bytes += bytes.len() + HEADERS;
        traffic.datagrams += 1;
        self.send(to, outgoing);
        if due {
            self.tick(to);
        }
    }

    /// Forgets the traffic so far.
    pub fn reset_traffic(&mut self) {
        self.traffic.fill(Traffic::default());
    }

    /// Lets each of some entries in turn place memory at a server of its own that nobody else
    /// uses. Returns how long each other entry took to know it within 3 %, in milliseconds and
    /// sorted. An entry that does not within 10 s counts as 10,000 ms.
    pub fn ages(&mut self, tries: usize) -> Vec<u64> {
        let mut ages = Vec::new();
        for number in 0..tries {
            let key = rendezvous::seed(&format!("probe-{number}"));
            let from = self.random.random_range(0..self.plan.entries);
            let part = Duration::from_millis(self.random.random_range(0..300));
            self.run(part);
            let begun = self.now;
            self.accounts[from].record_own(key, 50.0, 1.0, 1e5);
            self.accounts[from].mark_changed();
            self.wake(from);
            let live = |to: &usize| *to != from && !self.stopped[*to];
            let mut waiting: Vec<usize> = (0..self.plan.entries).filter(live).collect();
            while !waiting.is_empty() && self.now.since(begun) < Duration::from_secs(10) {
                self.run(Duration::from_millis(5));
                let age = self.now.since(begun).as_millis() as u64;
                let (accounts, now) = (&self.accounts, self.now);
                waiting.retain(|to| {
                    let known = accounts[*to].view(key, now).prefill_ms;
                    if known > 40.0 {
                        ages.push(age);
                    }
                    known <= 40.0
                });
            }
            ages.extend(waiting.iter().map(|_| 10_000));
            self.accounts[from].record_own(key, 0.0, 0.0, 0.0);
        }
        ages.sort_unstable();
        ages
    }

    /// Returns the greatest number of bytes per second that an entry has sent and received
    /// since the last reset, `time` ago.
    pub fn bytes_per_s(&self, time: Duration) -> f64 {
        let bytes = self.traffic.iter().map(|traffic| traffic.bytes);
        bytes.max().unwrap_or_default() as f64 / time.as_secs_f64()
    }
}
