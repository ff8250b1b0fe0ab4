//! A request crashes each engine that begins to run it, some milliseconds after it has begun,
//! and comes again, with the same path, caller and body, at any machine.

use crate::world::{Outcome, Record, World, document};
use std::{collections::BTreeSet, thread, time::Duration};

const SERVICE: &str = "queue-app";
const ZONES: [&str; 3] = ["glasgow", "dundee", "aberdeen"];
/// `contact_ms` of the site.
const CONTACT_S: f64 = 3.0;
/// Number of times that the request comes.
const TIMES: u64 = 12;

pub fn play(folder: &str, trouble: bool) -> Outcome {
    let record = Record::create(folder);
    let mut world = World::new(record.clone());
    record.line(&format!("trouble: {trouble}"));
    for zone in ZONES {
        for number in 1..3 {
            world.start_engine(&format!("i-{zone}-{number}"), SERVICE, zone);
        }
    }
    let list = world.serve_list();
    if let Err(error) = world.start_vms(&ZONES, list) {
        return Outcome::Failed(format!("the programs don't start: {error}"));
    }
    if world
        .order(&[0, 1, 2], "PUT /-/config", &document(7, SERVICE))
        .is_none()
    {
        return Outcome::Failed("the configuration is never acknowledged".to_owned());
    }
    if !world.wait_ready() {
        return Outcome::Failed("the entries don't become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    for vm in 0..3 {
        world.start_clients(vm, 2);
    }
    thread::sleep(Duration::from_secs(12));
    let before = world.counts();
    for number in 0..TIMES {
        if trouble {
            world.send_poison((number % 3) as usize, number);
        }
        thread::sleep(Duration::from_millis(2_500));
    }
    let after = world.counts();
    world.finish();
    let poison: Vec<_> = world
        .arrivals()
        .into_iter()
        .filter(|a| a.id.starts_with("ff"))
        .collect();
    let third = poison.get(2).map_or(f64::INFINITY, |a| a.at);
    let late: BTreeSet<_> = poison
        .iter()
        .filter(|a| a.at > third + CONTACT_S)
        .map(|a| a.id.clone())
        .collect();
    let text = format!(
        "the request came {} times and reached engines {} times; {} of its retries reached engines \
         later than {CONTACT_S} s after it had crashed the third at {third:.3} s; {} of {} other \
         requests were served meanwhile",
        if trouble { TIMES } else { 0 },
        poison.len(),
        late.len(),
        after.1 - before.1,
        after.0 - before.0,
    );
    record.line(&text);
    if late.len() > 3 {
        Outcome::Broken(text)
    } else {
        Outcome::Held(text)
    }
}
