//! A planned stop while an answer is on its way over the machine's link.

use crate::site::{self, Connection, Record, Result, Site};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Length of each answer in bytes.
const ANSWER_BYTES: usize = 4 << 20;
/// Number of clients that share the machine's link.
const CLIENTS: usize = 2;
/// What the link carries in a second: 10 Mbit/s.
const LINK_BYTES: usize = 1_250_000;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"job-sheets","host":"site.example",
"path_prefix":"/sheets/","type":"idempotent","timeout_ms":20000,"target_latency_ms":8000,
"service":"queue-app","max_attempts":2,"public":true}],
"services":[{"name":"queue-app","health_path":"/healthz","max_connections":220}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}"#;

pub fn run(record: &Record, trouble: bool) -> Result<bool> {
    let mut site = Site::start(record, 4)?;
    let place = site.add(false, true)?;
    site.start_control(place)?;
    site.start_entry(place)?;
    for (number, zone) in site::ZONES.iter().enumerate() {
        site.server(
            &format!("i-{number}"),
            "queue-app",
            zone,
            |request, connection| {
                let head = site::head(request, ANSWER_BYTES);
                connection.send(head.as_bytes()).is_ok()
                    && connection.send(&vec![b'x'; ANSWER_BYTES]).is_ok()
            },
        )?;
    }
    site.configure(CONFIG)?;
    site.wait_ready()?;
    thread::sleep(Duration::from_secs(4));

    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (record, front) = (record.clone(), site.front(place));
            thread::spawn(move || client(&record, &front))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if trouble {
        stop(record, &mut site, place)?;
    }
    let mut whole = 0;
    for client in clients {
        whole += usize::from(client.join().map_err(|_| "a client failed".to_owned())??);
    }
    Ok(whole == CLIENTS)
}

/// Sends SIGTERM to the processes of a machine, and waits for the end of its entry for as long
/// as the platform does.
fn stop(record: &Record, site: &mut Site, place: usize) -> Result<()> {
    let machine = &mut site.machines[place];
    for child in [&machine.entry, &machine.control].into_iter().flatten() {
        site::signal(child, "TERM")?;
    }
    record.line("SIGTERM to the machine that has taken the requests; SIGKILL follows after 8 s");
    let begun = Instant::now();
    let entry = machine.entry.as_mut().ok_or("there is no entry")?;
    while begun.elapsed() < Duration::from_secs(8) {
        if entry.try_wait().map_err(site::text)?.is_some() {
            let passed = begun.elapsed().as_secs_f64();
            record.line(format!("its entry has ended by itself after {passed:.2} s"));
            return Ok(());
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.line("SIGKILL after 8 s");
    entry.kill().map_err(site::text)
}

/// Sends a request and reads its answer at the client's share of the link. Returns whether the
/// answer is whole.
fn client(record: &Record, front: &str) -> Result<bool> {
    let id = site::attempt_id();
    let mut connection = Connection::open(front, Duration::from_secs(1)).map_err(site::text)?;
    let headers = [("X-Request-Deadline", "20000")];
    let request = site::request("GET", "/sheets/7", &id, &headers, "");
    record.line(format!("send    {id} GET /sheets/7 to {front}"));
    connection.send(request.as_bytes()).map_err(site::text)?;
    let sent = Instant::now();
    connection.pace = Some(LINK_BYTES / CLIENTS);
    let Some(answer) = connection.message().map_err(site::text)? else {
        record.line(format!("answer  {id}: none, the connection was closed"));
        return Ok(false);
    };
    record.line(format!(
        "answer  {id}: {} with {} of {} bytes, {} after {:.2} s",
        answer.status(),
        answer.body.len(),
        answer.header("content-length").unwrap_or("?"),
        if answer.whole { "whole" } else { "CUT" },
        sent.elapsed().as_secs_f64()
    ));
    Ok(answer.whole)
}
