//! A machine of the core freezes while the operator withdraws an evacuation there. The
//! operator does so at another machine and later evacuates the zone again. The machine wakes.

use crate::world::{Outcome, Record, World, document};
use std::{thread, time::Duration};

const SERVICE: &str = "queue-app";
const EVACUATE_S: f64 = 5.0;
const CONTACT_S: f64 = 3.0;
/// Time for which the machine is frozen.
const FREEZE_S: f64 = 4.0;

pub fn play(folder: &str, trouble: bool) -> Outcome {
    let record = Record::create(folder);
    let mut world = World::new(record.clone());
    record.line(&format!("trouble: {trouble}"));
    for (id, zone) in [
        ("i-glasgow", "glasgow"),
        ("i-dundee", "dundee"),
        ("i-aberdeen", "aberdeen"),
    ] {
        world.start_engine(id, SERVICE, zone);
    }
    let list = world.serve_list();
    if let Err(error) = world.start_vms(&["glasgow", "dundee", "aberdeen"], list) {
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
    for vm in [1, 2] {
        world.start_clients(vm, 3);
    }
    thread::sleep(Duration::from_secs(3));
    if world
        .order(&[1, 2, 0], "POST /-/evacuate/dundee", "")
        .is_none()
    {
        return Outcome::Failed("the evacuation is never acknowledged".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let frozen = record.now();
    if trouble {
        world.freeze(0, true);
    }
    thread::sleep(Duration::from_millis(300));
    // The operator picks the frozen machine first and moves on after a second.
    if world
        .order(&[0, 1, 2], "DELETE /-/evacuate/dundee", "")
        .is_none()
    {
        return Outcome::Failed("the withdrawal is never acknowledged".to_owned());
    }
    thread::sleep(Duration::from_millis(500));
    let Some(acknowledged) = world.order(&[1, 2, 0], "POST /-/evacuate/dundee", "") else {
        return Outcome::Failed("the second evacuation is never acknowledged".to_owned());
    };
    let left = frozen + FREEZE_S - record.now();
    thread::sleep(Duration::from_secs_f64(left.max(0.0)));
    if trouble {
        world.freeze(0, false);
    }
    let awake = record.now();
    let judged = (acknowledged + EVACUATE_S).max(awake + CONTACT_S);
    thread::sleep(Duration::from_secs_f64(judged + 6.0 - record.now()));
    let (sent, served) = world.counts();
    world.finish();
    let late = world.arrivals();
    let late: Vec<_> = late
        .iter()
        .filter(|a| a.engine == "i-dundee" && a.at > judged)
        .collect();
    let text = format!(
        "{} requests reached the engine in dundee later than {judged:.3} s: its evacuation was \
         acknowledged at {acknowledged:.3} s and not taken back, and all machines ran from \
         {awake:.3} s on; {served} of {sent} requests were served",
        late.len()
    );
    record.line(&text);
    if let Some(first) = late.first() {
        record.line(&format!(
            "the first: request {} at {:.3} s",
            first.id, first.at
        ));
        return Outcome::Broken(text);
    }
    Outcome::Held(text)
}
