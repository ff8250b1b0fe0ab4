//! Tests of the account of capacity among entries.

use super::exchange::{Exchange, Plan, server};
use cardamomtally::prelude::*;

#[test]
fn figures_at_several_sizes() {
    for (entries, servers, loss) in [
        (33, 60, 0.0),
        (105, 200, 0.0),
        (105, 200, 0.05),
        (300, 600, 0.0),
        (300, 600, 0.05),
    ] {
        let mut exchange = Exchange::new(Plan {
            entries,
            servers,
            loss,
            seed: 7,
        });
        exchange.run(Duration::from_secs(4));
        exchange.reset_traffic();
        exchange.run(Duration::from_secs(8));
        let rate = exchange.bytes_per_s(Duration::from_secs(8));
        let busy: Duration = exchange.traffic.iter().map(|t| t.busy).sum();
        let grams: usize = exchange.traffic.iter().map(|t| t.datagrams).sum();
        let n = entries as f64;
        let mean: usize = exchange.traffic.iter().map(|t| t.bytes).sum::<usize>() / entries / 8;
        let mut errors = Vec::new();
        for s in 0..servers {
            let v = exchange.accounts[3].view(server(s), exchange.now);
            errors.push((v.in_flight - exchange.in_flight[s]).abs());
        }
        let true_flight: f64 = exchange.in_flight.iter().sum();
        let seen: f64 = (0..servers)
            .map(|s| exchange.accounts[3].view(server(s), exchange.now).in_flight)
            .sum();
        let tp: f64 = exchange.prefill.iter().sum();
        let sp: f64 = (0..servers)
            .map(|s| {
                exchange.accounts[3]
                    .view(server(s), exchange.now)
                    .prefill_ms
            })
            .sum();
        let age = exchange.accounts[3].age(exchange.now);
        let known = exchange.accounts[3].entries(exchange.now);
        let ages = exchange.ages(3);
        let at = |q: f64| ages[((ages.len() - 1) as f64 * q) as usize];
        eprintln!(
            "n {entries} loss {loss}: max {rate:.0} B/s mean {mean} busy {:.3}% dgrams/s {:.0} flight err mean {:.2} true {true_flight} seen {seen:.0} prefill {tp:.0} {sp:.0} age {age:?} entries {known} news p50 {} p90 {} p99 {} max {}",
            busy.as_secs_f64() / n / 8.0 * 100.0,
            grams as f64 / n / 8.0,
            errors.iter().sum::<f64>() / servers as f64,
            at(0.5),
            at(0.9),
            at(0.99),
            at(1.0)
        );
    }
}
