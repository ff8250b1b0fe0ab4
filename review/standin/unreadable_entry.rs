//! An entry of the platform's list holds bytes that can't be read. The engines of a service are
//! then replaced one after the other, as in a release.

use crate::world::{Outcome, Record, World, document};
use std::{thread, time::Duration};

const SERVICE: &str = "queue-app";
const ZONES: [&str; 3] = ["glasgow", "dundee", "aberdeen"];
/// `drain_ms` of the site.
const DRAIN_S: f64 = 3.0;
/// Time from when an engine is shown as draining to its end: `drain_ms` and `linger_ms`.
const LEAVES_AFTER_S: f64 = 4.5;

pub fn play(folder: &str, trouble: bool) -> Outcome {
    let record = Record::create(folder);
    let mut world = World::new(record.clone());
    record.line(&format!("trouble: {trouble}"));
    for zone in ZONES {
        world.start_engine(&format!("i-{zone}-1"), SERVICE, zone);
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
    thread::sleep(Duration::from_secs(4));
    let (sent, served) = world.counts();
    if served < 50 || sent > served + 10 {
        return Outcome::Failed(format!(
            "only {served} of {sent} requests were served at first"
        ));
    }
    if trouble {
        // The entry of another writer. The array and all other entries are as usual.
        let entry = b"{\"id\":\"x-\xff\xfe\",\"service\":\"batch\"}".to_vec();
        world.list().foreign.push(entry);
        record.line("list: an entry with bytes that can't be read is added");
    }
    thread::sleep(Duration::from_secs(2));
    for zone in ZONES {
        world.start_engine(&format!("i-{zone}-2"), SERVICE, zone);
    }
    thread::sleep(Duration::from_secs(3));
    let mut leaves = Vec::new();
    for zone in ZONES {
        let id = format!("i-{zone}-1");
        world.drain_engine(&id);
        leaves.push((record.now() + LEAVES_AFTER_S, id));
        thread::sleep(Duration::from_secs(1));
    }
    for (at, id) in leaves {
        thread::sleep(Duration::from_secs_f64((at - record.now()).max(0.0)));
        world.end_engine(&id);
    }
    thread::sleep(Duration::from_secs(3));
    let before = world.counts();
    thread::sleep(Duration::from_secs(5));
    let after = world.counts();
    world.finish();
    let shown = world.list().shown_draining.clone();
    if shown.len() < ZONES.len() {
        return Outcome::Failed(
            "nobody read the list that shows the engines as draining".to_owned(),
        );
    }
    let late = world.arrivals();
    let late: Vec<_> = late
        .iter()
        .filter(|a| shown.get(&a.engine).is_some_and(|at| a.at > at + DRAIN_S))
        .collect();
    let text = format!(
        "{} requests reached engines later than {DRAIN_S} s after the list had shown them as \
         draining; of {} requests that were sent when only the new engines ran, {} were served",
        late.len(),
        after.0 - before.0,
        after.1 - before.1,
    );
    record.line(&text);
    if let Some(first) = late.first() {
        record.line(&format!(
            "the first: request {} at {:.3} s at {}, shown as draining at {:.3} s",
            first.id, first.at, first.engine, shown[&first.engine]
        ));
        return Outcome::Broken(text);
    }
    Outcome::Held(text)
}
