//! A machine of the core is removed for good while the whole system starts for the first time,
//! and an empty one takes its place.

use crate::site::{self, Connection, Record, Result, Site};
use std::{thread, time::Duration};

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"job-status","host":"site.example",
"path_prefix":"/status/","type":"idempotent","timeout_ms":1000,"target_latency_ms":150,
"service":"queue-app","max_attempts":2,"public":true}],
"services":[{"name":"queue-app","health_path":"/healthz","max_connections":220}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}"#;

/// Time from the start of the machine to its loss.
const UNTIL_LOSS: Duration = Duration::from_millis(50);
/// Time from the loss until the other machine starts.
const UNTIL_NEXT: Duration = Duration::from_secs(2);
/// `contact_ms`, after which the core is stable again.
const CONTACT: Duration = Duration::from_secs(4);
/// `ack_ms` is 5 s. The order is sent again and again for longer, to see whether it is late.
const ORDER: Duration = Duration::from_secs(40);
const ACK: f64 = 5.0;

pub fn run(record: &Record, trouble: bool) -> Result<bool> {
    let mut site = Site::new(record, 4)?;
    // The three start within 0.3 s of each other.
    for _ in 0..3 {
        let place = site.add(true, true)?;
        site.start_control(place)?;
        site.start_entry(place)?;
        if place < 2 {
            thread::sleep(Duration::from_millis(100));
        }
    }
    thread::sleep(UNTIL_LOSS);
    if trouble {
        let lost = &mut site.machines[2];
        for child in [lost.entry.take(), lost.control.take()]
            .into_iter()
            .flatten()
        {
            let mut child = child;
            child.kill().map_err(site::text)?;
            child.wait().map_err(site::text)?;
        }
        std::fs::remove_dir_all(site.data(2)).map_err(site::text)?;
        record.line("the third machine is removed for good, with its disk");
        thread::sleep(UNTIL_NEXT);
        let place = site.add(true, false)?;
        site.start_control(place)?;
        site.start_entry(place)?;
        record.line("an empty machine is added at another address, with bootstrap=false");
    }
    thread::sleep(CONTACT + Duration::from_secs(1));
    record.line("the core has been stable for contact_ms: an order is sent");
    let sent = record.seconds();
    let done = site.order("PUT", "/-/config", CONFIG, ORDER)?;
    let passed = record.seconds() - sent;
    if !done {
        ask(record, &site);
    }
    Ok(done && passed <= ACK)
}

/// Records what clients are answered.
fn ask(record: &Record, site: &Site) {
    for place in 0..site.machines.len() {
        if site.machines[place].entry.is_none() {
            continue;
        }
        let (front, id) = (site.front(place), site::attempt_id());
        let request = site::request("GET", "/status/7", &id, &[], "");
        let answer = Connection::open(&front, Duration::from_secs(1)).and_then(|mut connection| {
            connection.send(request.as_bytes())?;
            connection.message()
        });
        let status = answer.ok().flatten().map_or(0, |answer| answer.status());
        record.line(format!("answer  {id} GET /status/7 at {front}: {status}"));
    }
}
