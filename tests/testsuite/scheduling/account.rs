//! Tests of the account of capacity among entries.
//!
//! The exchange runs in memory with the real encoding, see [`super::exchange`].

use super::exchange::{Exchange, Plan, server};
use cardamomtally::{
    prelude::*,
    scheduling::{
        account::{
            Account, PEER_TTL, pool_key,
            table::LoadReport,
            topology::{TREES, Topology},
        },
        settings::{Mode, SchedulingSettings},
    },
};
use proptest::prelude::*;

fn plan(entries: usize, servers: usize, loss: f64) -> Plan {
    Plan {
        entries,
        servers,
        loss,
        seed: 7,
    }
}

fn settings(mode: Mode) -> SchedulingSettings {
    SchedulingSettings {
        mode,
        ..SchedulingSettings::default()
    }
}

fn member(place: usize, mode: Mode) -> Account {
    let mut account = Account::new(Some(settings(mode)));
    account.set_topology(Topology::new(&[10, 11], place), Mono(0));
    account
}

fn at(ms: u64) -> Mono {
    Mono(ms * 1_000)
}

const REPORT: LoadReport = LoadReport {
    running: 12,
    waiting: 3,
    pace: Some(250),
    at: Mono(0),
};

/// Sums over all servers that one entry knows: prefill work and requests in flight.
fn known(exchange: &Exchange, entry: usize) -> (f64, f64) {
    let servers = (0..exchange.in_flight.len()).map(server);
    let totals = exchange.accounts[entry].totals(servers, exchange.now);
    (totals.prefill_ms, totals.in_flight)
}

fn assert_close(known: f64, actual: f64, share: f64) {
    let close = (known - actual).abs() <= share * actual;
    assert!(close, "known {known}, actual {actual}");
}

/// Guards against figures that are lost or garbled on their way to another entry.
#[test]
fn all_figures_arrive_at_another_entry() {
    let (mut first, mut second) = (member(0, Mode::On), member(1, Mode::On));
    let pool = pool_key("chat", "north");
    first.record_own(server(1), 80.0, 7.0, 120_000.0);
    first.record_report(server(1), REPORT);
    first.record_factor(server(1), 1.5, 20.0, at(1));
    first.record_outstanding(pool, 900.0);
    first.record_completed(pool, 500.0, at(1));
    second.record_own(server(1), 20.0, 1.0, 1_000.0);
    for message in first.tick(at(1)) {
        assert_eq!(message.to, [1]);
        assert!(
            second
                .receive(&"a".into(), &message.bytes, at(2))
                .is_empty()
        );
    }

    let view = second.view(server(1), at(12));
    assert_close(view.prefill_ms, 100.0, 0.03);
    assert_close(view.in_flight, 8.0, 0.03);
    assert_close(view.memory, 121_000.0, 0.03);
    assert_close(view.factor.unwrap().value, 1.5, 0.03);
    assert_eq!(view.age, Some(Duration::from_millis(10)));
    let report = view.report.unwrap();
    assert_eq!((report.running, report.waiting), (12, 3));
    assert_close(f64::from(report.pace.unwrap()), 250.0, 0.03);
    let pool = second.pool(pool, at(2));
    assert_close(pool.outstanding_ms, 900.0, 0.01);
    assert_close(pool.completed_ms_per_s, 500.0, 0.01);
}

/// Guards against the sums of an entry that has ended being counted for ever.
#[test]
fn sums_of_a_silent_entry_expire() {
    let (mut first, mut second) = (member(0, Mode::On), member(1, Mode::On));
    first.record_own(server(1), 80.0, 7.0, 0.0);
    for message in first.tick(at(1)) {
        second.receive(&"a".into(), &message.bytes, at(1));
    }
    assert!(second.view(server(1), at(1)).prefill_ms > 70.0);

    let later = at(1) + PEER_TTL;
    second.tick(later);
    let view = second.view(server(1), later);
    assert_eq!(
        (view.prefill_ms, view.in_flight, view.age),
        (0.0, 0.0, None)
    );
}

/// Guards against the sums of an entry of a former build being counted for ever by an entry
/// that sends no figures.
#[test]
fn sums_of_a_former_build_expire() {
    let mut account = Account::new(Some(settings(Mode::Auto)));
    account.record_former(&"a".into(), &[(server(1), 300)], at(1));
    assert_close(account.view(server(1), at(1)).prefill_ms, 300.0, 0.01);
    assert!(account.serves_former(at(1)));

    let later = at(1) + PEER_TTL;
    account.expire(later);
    assert!(account.view(server(1), later).prefill_ms <= 0.0);
    assert!(!account.serves_former(at(6_000)));
}

/// Guards against repeated and reordered datagrams changing sums.
#[test]
fn repeated_and_reordered_messages_change_nothing() {
    let (mut first, mut second) = (member(0, Mode::On), member(1, Mode::On));
    first.record_own(server(1), 80.0, 1.0, 0.0);
    let old = first.tick(at(1)).remove(0).bytes;
    first.record_own(server(1), 30.0, 1.0, 0.0);
    first.mark_changed();
    let new = first.tick(at(200)).remove(0).bytes;

    for bytes in [&new, &old, &new, &old] {
        second.receive(&"a".into(), bytes, at(201));
    }

    assert_close(second.view(server(1), at(201)).prefill_ms, 30.0, 0.03);
}

/// Guards against messages that former deployments do not expect.
#[test]
fn nothing_is_sent_unless_overload_control_is_active() {
    for mode in [None, Some(Mode::Off), Some(Mode::Auto)] {
        let mut account = Account::new(mode.map(settings));
        account.set_topology(Topology::new(&[10, 11], 0), Mono(0));
        account.record_own(server(1), 80.0, 1.0, 0.0);
        account.record_report(
            server(1),
            LoadReport {
                pace: None,
                ..REPORT
            },
        );
        account.mark_changed();
        assert_eq!(account.tick(at(1)), []);
        assert_eq!(account.next_tick(at(1)), None);
        account.record_report(
            server(1),
            LoadReport {
                at: at(1),
                ..REPORT
            },
        );
        assert_eq!(account.tick(at(2)).is_empty(), mode != Some(Mode::Auto));
    }
}

/// Guards against a malformed datagram that stops an entry or changes its figures.
#[test]
fn truncated_messages_are_ignored_and_counted() {
    let (mut first, mut second) = (member(0, Mode::On), member(1, Mode::On));
    first.record_own(server(1), 80.0, 1.0, 0.0);
    first.record_own(server(2), 80.0, 1.0, 0.0);
    let bytes = first.tick(at(1)).remove(0).bytes;
    // The header alone is a message without rows.
    let header = 26;

    let cut = (1..bytes.len()).filter(|length| *length != header);
    for length in cut.clone() {
        second.receive(&"a".into(), &bytes[..length], at(1));
    }

    assert_eq!(second.ignored(), cut.count() as u64);
    assert!(second.view(server(1), at(1)).prefill_ms <= 0.0);
}

proptest! {
    /// Guards against panics on arbitrary bytes, and on figures out of range.
    #[test]
    fn arbitrary_messages_do_no_harm(
        kind in 0_u8..3,
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        entries in 2_usize..50,
    ) {
        let members: Vec<usize> = (0..entries).collect();
        let topology = Topology::new(&members, 1);
        let mut account = Account::new(Some(settings(Mode::On)));
        account.set_topology(topology, Mono(0));
        let digest = topology.unwrap().digest.to_be_bytes();
        let mut message = vec![1, kind, 0, 3];
        message.extend(digest);
        message.extend(&bytes);
        for bytes in [&bytes, &message] {
            let _outgoing = account.receive(&"a".into(), bytes, at(1));
            let _outgoing = account.tick(at(500));
            let view = account.view(server(1), at(500));
            prop_assert!(view.prefill_ms.is_finite() && view.in_flight.is_finite());
        }
    }

    /// Guards against entries that get no totals, or pass on sums in all trees.
    #[test]
    fn each_tree_reaches_every_entry_once(count in 2_usize..400) {
        let members: Vec<usize> = (0..count).collect();
        let at = |place| Topology::new(&members, place).unwrap();
        let mut relays = vec![0; count];
        for tree in 0..TREES {
            let mut reached = vec![0; count];
            for place in 0..count {
                let children = at(place).children(tree);
                relays[place] += usize::from(!children.is_empty());
                for child in children {
                    prop_assert_eq!(at(child).parent(tree), Some(place));
                    reached[child] += 1;
                }
                reached[place] += usize::from(at(place).parent(tree).is_none());
            }
            prop_assert!(reached.iter().all(|times| *times == 1));
        }
        prop_assert!(relays.iter().all(|times| *times <= 2), "{relays:?}");
    }
}

/// Guards against an entry whose restart loses or doubles the figures of others.
#[test]
fn restarted_entry_learns_the_figures_again() {
    for entries in [12, 60] {
        let mut exchange = Exchange::new(plan(entries, 40, 0.0));
        exchange.run(Duration::from_secs(3));
        exchange.restart(3);
        exchange.run(Duration::from_secs(3));

        // The restarted process does not know what its predecessor has sent.
        let actual: f64 = exchange.in_flight.iter().sum();
        assert_close(known(&exchange, 3).1, actual, 0.1);
        assert_close(known(&exchange, 4).1, actual, 0.1);
    }
}

/// Guards against totals without the entries below a relay that has failed, and against
/// entries that wait for it.
#[test]
fn loss_of_the_relay_of_a_tree_costs_age_only() {
    let mut exchange = Exchange::new(plan(60, 60, 0.0));
    exchange.run(Duration::from_secs(4));
    // The root of the first tree.
    exchange.stop(0);

    for _ in 0..20 {
        exchange.run(Duration::from_millis(250));
        let live: f64 = exchange.in_flight.iter().sum();
        let (_, seen) = known(&exchange, 30);
        assert_close(seen, live, 0.2);
    }
    let ages = exchange.ages(4);
    assert!(*ages.last().unwrap() < 1_500, "{ages:?}");
    assert_eq!(exchange.accounts[30].entries(exchange.now), 59);
}

/// Guards against an entry that can send but hears nothing using old figures, and against
/// others losing its figures.
#[test]
fn entry_that_hears_nothing_falls_back_to_its_own_figures() {
    for entries in [12, 60] {
        let mut exchange = Exchange::new(plan(entries, 40, 0.0));
        exchange.run(Duration::from_secs(3));
        exchange.cut.extend((0..entries).map(|from| (from, 5)));
        exchange.run(Duration::from_secs(2));

        let actual: f64 = exchange.in_flight.iter().sum();
        assert_eq!(exchange.accounts[5].age(exchange.now), None);
        assert!(known(&exchange, 5).1 < actual * 3.0 / entries as f64);
        assert_close(known(&exchange, 6).1, actual, 0.15);

        exchange.cut.clear();
        exchange.run(Duration::from_secs(2));
        let actual: f64 = exchange.in_flight.iter().sum();
        assert_close(known(&exchange, 5).1, actual, 0.15);
    }
}

/// Guards against one broken link that hides an entry from others for long.
#[test]
fn link_cut_one_way_costs_age_only() {
    let mut exchange = Exchange::new(plan(60, 60, 0.0));
    // From a child of the root of the first tree to the root.
    exchange.cut.insert((1, 0));
    exchange.run(Duration::from_secs(4));

    let ages = exchange.ages(6);
    assert!(*ages.last().unwrap() < 1_500, "{ages:?}");
}

/// Runs an exchange with a loss of 5 % and compares its bytes, datagrams and ages with bounds.
/// Bytes are those of the entry with the most.
fn assert_bounded(entries: usize, servers: usize, bytes: f64, datagrams: f64, age_ms: u64) {
    let mut exchange = Exchange::new(plan(entries, servers, 0.05));
    exchange.run(Duration::from_secs(4));
    exchange.reset_traffic();
    let time = Duration::from_secs(10);
    exchange.run(time);
    let rate = exchange.bytes_per_s(time);
    let sent = exchange.traffic.iter().map(|traffic| traffic.datagrams);
    let sent = sent.max().unwrap_or_default() as f64 / time.as_secs_f64();
    let actual: f64 = exchange.in_flight.iter().sum();
    let seen = known(&exchange, entries / 2).1;
    let ages = exchange.ages(3);
    let p90 = ages[ages.len() * 9 / 10];
    let found = format!(
        "{entries}: {rate:.0} B/s, {sent:.0} datagrams/s, ages {} and {p90} ms, in flight {seen:.0} of {actual:.0}",
        ages[ages.len() / 2]
    );
    println!("{found}");
    assert!(rate <= bytes, "{found}");
    assert!(sent <= datagrams, "{found}");
    assert!(p90 <= age_ms, "{found}");
    assert_close(seen, actual, 0.15);
}

/// Guards against a small fleet that is slower than the exchange of sums before it, which had
/// a gap of 14 ms.
#[test]
fn traffic_and_age_of_10_entries_are_bounded() {
    assert_bounded(10, 20, 130_000.0, 1_300.0, 60);
}

/// As for 10 entries; the exchange of sums had a gap of 42 ms.
#[test]
fn traffic_and_age_of_29_entries_are_bounded() {
    assert_bounded(29, 50, 210_000.0, 1_400.0, 100);
}

/// Guards against traffic that grows with the number of entries.
#[test]
fn traffic_and_age_of_105_entries_are_bounded() {
    assert_bounded(105, 200, 20_000.0, 100.0, 1_000);
}

/// Guards against more than 20,000 bytes per second for one of 300 entries.
#[test]
fn traffic_and_age_of_300_entries_are_bounded() {
    assert_bounded(300, 600, 20_000.0, 100.0, 2_500);
}

/// Guards against traffic that grows faster than the number of entries.
#[test]
fn traffic_of_1000_entries_is_bounded() {
    let mut exchange = Exchange::new(plan(1_000, 2_000, 0.05));
    exchange.run(Duration::from_secs(3));
    exchange.reset_traffic();
    let time = Duration::from_secs(4);
    exchange.run(time);

    let rate = exchange.bytes_per_s(time);
    println!("1000: {rate:.0} B/s");
    assert!(rate <= 66_000.0, "{rate}");
}
