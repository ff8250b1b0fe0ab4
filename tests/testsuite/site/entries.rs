//! Entries that poll a leader, and the peers that each of them gets.

use cardamomtally::{
    prelude::*,
    site::{entries::Entries, poll},
};
use proptest::prelude::*;
use std::net::SocketAddr;

/// Time at which a leader that was first polled at 0 knows the number of entries.
const SETTLED: Mono = Mono(2_000_000);

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn name(number: u16) -> Name {
    format!("entry-{number:03}").into()
}

fn polling(count: u16) -> Entries {
    let mut entries = Entries::default();
    for number in 0..count {
        entries.record_poll(&name(number), Some(address(number)), Mono(0));
    }
    entries
}

#[test]
fn each_entry_of_few_gets_all_others_as_peers() {
    let entries = polling(3);

    assert_eq!(entries.count(SETTLED), 3);
    assert_eq!(entries.peers_of(&name(1)), [address(2), address(0)]);
}

#[test]
fn entry_that_stopped_polling_is_removed() {
    let mut entries = polling(2);
    let later = Mono(0) + Duration::from_secs(6);

    entries.record_poll(&name(1), Some(address(1)), later);

    assert_eq!(entries.count(later), 1);
    assert_eq!(entries.peers_of(&name(1)), []);
}

#[test]
fn entry_without_an_exchange_address_is_counted_but_is_no_peer() {
    let mut entries = polling(1);
    entries.record_poll(&name(7), None, Mono(0));

    assert_eq!(entries.count(SETTLED), 2);
    assert_eq!(entries.peers_of(&name(0)), []);
}

#[test]
fn new_leader_tells_no_number_of_entries_that_it_has_only_begun_to_count() {
    let entries = polling(3);

    assert_eq!(entries.count(Mono(0)), 0);
    assert_eq!(entries.count(Mono(1_999_999)), 0);
    assert_eq!(entries.count(SETTLED), 3);
}

/// Guards against trees over a list that is not the same for all, or has entries of a former
/// build in it, which pass nothing on.
#[test]
fn members_of_the_account_are_the_entries_that_keep_one_in_order_of_names() {
    let mut entries = polling(4);
    for number in [3, 0, 1] {
        entries.record_account(&name(number));
    }

    let members = vec![address(0), address(1), address(3)];
    let told = |number| entries.account_members(&name(number), SETTLED);
    assert_eq!(told(0), Some((members.clone(), 0)));
    assert_eq!(told(3), Some((members.clone(), 2)));
    assert_eq!(told(2), None);
    assert_eq!(entries.account_members(&name(0), Mono(0)), None);
    let packed = poll::pack(&members);
    assert_eq!(poll::unpack(&packed), Some(members));
    assert_eq!(poll::unpack(&packed[1..]), None);
}

proptest! {
    #[test]
    fn each_entry_sends_to_as_many_peers_as_it_receives_from(count in 2_u16..200) {
        let entries = polling(count);

        let mut received = vec![0; usize::from(count)];
        let most = usize::from(count - 1).min(64);
        for number in 0..count {
            let peers = entries.peers_of(&name(number));
            prop_assert_eq!(peers.len(), most);
            for other in peers {
                received[usize::from(other.port())] += 1;
            }
        }

        prop_assert!(received.iter().all(|times| *times == most), "{received:?}");
    }

    #[test]
    fn digest_changes_with_an_added_peer(ports in prop::collection::btree_set(1_u16.., 0..20), other in 1_u16..) {
        let list: Vec<_> = ports.iter().map(|port| address(*port)).collect();
        let mut changed = list.clone();
        changed.push(address(other));

        prop_assert_ne!(poll::digest(&list), poll::digest(&changed));
    }
}
