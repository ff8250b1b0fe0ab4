//! As many machines as may be lost at once lose their disks, right after one of them has
//! acknowledged the first configuration.

use crate::site::{self, Record, Result, Site};
use std::{
    fs, thread,
    time::{Duration, Instant},
};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"job-status","host":"site.example",
"path_prefix":"/status/","type":"idempotent","timeout_ms":1000,"target_latency_ms":150,
"service":"queue-app","max_attempts":2,"public":true}],
"services":[{"name":"queue-app","health_path":"/healthz","max_connections":120}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}"#;

/// Number of machines with a disk, and how many of them may be lost at once.
const MACHINES: usize = 6;
const LOSSES: usize = 2;
/// Time for which they are down.
const DOWN: Duration = Duration::from_secs(3);
/// `recover_s` of the site.
const RECOVER: Duration = Duration::from_secs(15);
/// Time for which the operator reads back; at least `contact_ms`.
const READ: Duration = Duration::from_secs(20);

pub fn run(record: &Record, trouble: bool) -> Result<bool> {
    let mut site = Site::new(record, MACHINES)?;
    site.losses = LOSSES;
    for _ in 0..MACHINES {
        site.add(true, true)?;
    }
    for place in 0..MACHINES {
        site.start_control(place)?;
        site.start_entry(place)?;
    }
    let acknowledged = put(record, &site)?;
    if trouble {
        lose(record, &mut site, [acknowledged, (acknowledged + 1) % 3])?;
    }
    thread::sleep(RECOVER);
    read(record, &site)
}

/// Two machines lose power and their disks, and are back after [`DOWN`].
fn lose(record: &Record, site: &mut Site, lost: [usize; LOSSES]) -> Result<()> {
    let mut children = Vec::new();
    for place in lost {
        let machine = &mut site.machines[place];
        children.extend(
            [machine.control.take(), machine.entry.take()]
                .into_iter()
                .flatten(),
        );
    }
    for child in &mut children {
        child.kill().map_err(site::text)?;
    }
    for child in &mut children {
        child.wait().map_err(site::text)?;
    }
    for place in lost {
        fs::remove_dir_all(site.data(place)).map_err(site::text)?;
        let address = site.operators(place);
        record.line(format!("lost    {address} has lost power and its disk"));
    }
    thread::sleep(DOWN);
    for place in lost {
        site.write_settings(place, true, false)?;
        site.start_control(place)?;
        site.start_entry(place)?;
    }
    record.line("both are back with empty disks and bootstrap=false");
    Ok(())
}

/// Sends the first configuration until it is acknowledged, as soon as control listens. Returns
/// the machine that has acknowledged it.
fn put(record: &Record, site: &Site) -> Result<usize> {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(30) {
        for place in 0..3 {
            let address = site.operators(place);
            let limit = Duration::from_secs(1);
            let answer = site::call(&address, "PUT", "/-/config", CONFIG, limit);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                record.line(format!(
                    "order   PUT /-/config at {address}: 200 (version 7)"
                ));
                return Ok(place);
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    Err("the first configuration was not acknowledged".to_owned())
}

/// Reads the configuration back. Returns whether any machine has it.
fn read(record: &Record, site: &Site) -> Result<bool> {
    let begun = Instant::now();
    let mut last = Vec::new();
    while begun.elapsed() < READ {
        for place in 0..MACHINES {
            let address = site.operators(place);
            let limit = Duration::from_secs(1);
            let words = match site::call(&address, "GET", "/-/config", "", limit) {
                Ok(answer) if answer.status() == 200 => {
                    let same = answer.body == CONFIG.as_bytes();
                    let what = if same { "version 7" } else { "ANOTHER ONE" };
                    record.line(format!("read    GET /-/config at {address}: 200, {what}"));
                    return Ok(same);
                }
                Ok(answer) => format!("read    GET /-/config at {address}: {}", answer.status()),
                Err(why) => format!("read    GET /-/config at {address}: {why}"),
            };
            if !last.contains(&words) {
                record.line(&words);
                last.push(words);
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
    record.line("no machine gives the configuration back that was acknowledged");
    Ok(false)
}
