//! Measures the bytes and the processor time of the account of capacity at one of 300 entries.
//!
//! The exchange is simulated in memory with the real encoding. The time of the system calls is
//! that of datagrams over the loopback interface, sent and received in this process.

#[path = "../../tests/testsuite/scheduling/exchange.rs"]
#[expect(dead_code, reason = "the tests use the rest of it")]
mod exchange;

use self::exchange::{Exchange, Plan};
use std::{
    net::UdpSocket,
    time::{Duration, Instant},
};

/// Simulated time before the measurement, in which the entries find the common rounds.
const WARM_UP: Duration = Duration::from_secs(6);
/// Simulated time of the measurement.
const TIME: Duration = Duration::from_secs(20);
/// Number of datagrams whose system calls are timed.
const DATAGRAMS: u32 = 20_000;

/// Figures of one of 300 entries.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Bytes per second of the entry with the most, in and out, with the headers of IP and UDP.
    pub bytes_per_s: f64,
    /// Mean processor time of an entry, in percent of a core.
    pub core_percent: f64,
}

/// Measures the account of 300 entries and 600 servers.
pub fn measure() -> std::io::Result<Costs> {
    let plan = Plan {
        entries: 300,
        servers: 600,
        loss: 0.0,
        seed: 11,
    };
    let mut exchange = Exchange::new(plan);
    exchange.run(WARM_UP);
    exchange.reset_traffic();
    exchange.run(TIME);
    let bytes_per_s = exchange.bytes_per_s(TIME);
    let busy: Duration = exchange.traffic.iter().map(|traffic| traffic.busy).sum();
    let datagrams: usize = exchange.traffic.iter().map(|t| t.datagrams).sum();
    let seconds = plan.entries as f64 * TIME.as_secs_f64();
    let computing = busy.as_secs_f64() / seconds;
    let calls = datagrams as f64 / seconds * call_time()?.as_secs_f64();
    eprintln!("account: computing {computing:.5} of a core, system calls {calls:.5}");
    let ages = exchange.ages(5);
    let share = |part: usize| ages[ages.len() * part / 100];
    eprintln!(
        "account: changes known after {} ms (p50), {} ms (p90), {} ms (p99)",
        share(50),
        share(90),
        share(99)
    );
    Ok(Costs {
        bytes_per_s,
        core_percent: (computing + calls) * 100.0,
    })
}

/// Returns the mean time to send or receive a datagram.
fn call_time() -> std::io::Result<Duration> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.connect(socket.local_addr()?)?;
    let mut bytes = [0; 1_200];
    let begun = Instant::now();
    for _ in 0..DATAGRAMS {
        socket.send(&bytes)?;
        socket.recv(&mut bytes)?;
    }
    Ok(begun.elapsed() / (DATAGRAMS * 2))
}
