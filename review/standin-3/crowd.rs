//! Many users at once on one entry, while clients on kept connections take long answers.

use crate::site::{self, Connection, Record, Result, Site};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Clients that keep a connection to the entry on an ordinary day.
const USUAL: usize = 450;
/// Those that come with the burst: x = 1.7.
const MORE: usize = USUAL * 7 / 10;
/// How long the burst lasts, and the whole day.
const BURST: Duration = Duration::from_secs(3);
const DAY: Duration = Duration::from_secs(12);
/// Time between two short requests of a client.
const PERIOD: Duration = Duration::from_millis(1500);
/// Number of threads that the clients are spread over.
const GROUPS: usize = 12;
/// Clients on kept connections that take a long answer meanwhile.
const TAKERS: usize = 6;
/// Length of the long answers in bytes, and what each taker's link carries in a second.
const ANSWER_BYTES: usize = 4 << 20;
const LINK_BYTES: usize = 700_000;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"job-sheets","host":"site.example",
"path_prefix":"/sheets/","type":"idempotent","timeout_ms":20000,"target_latency_ms":8000,
"service":"queue-app","max_attempts":2,"public":true}],
"services":[{"name":"queue-app","health_path":"/healthz","max_connections":220}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}"#;

pub fn run(record: &Record, trouble: bool) -> Result<bool> {
    let site = Site::start(record, 3)?;
    for (number, zone) in site::ZONES.iter().enumerate() {
        site.server(
            &format!("i-{number}"),
            "queue-app",
            zone,
            |request, connection| {
                let long = request.first.contains("/whole");
                let length = if long { ANSWER_BYTES } else { 800 };
                let head = site::head(request, length);
                connection.send(head.as_bytes()).is_ok()
                    && connection.send(&vec![b'x'; length]).is_ok()
            },
        )?;
    }
    site.configure(CONFIG)?;
    site.wait_ready()?;
    thread::sleep(Duration::from_secs(4));
    let front = site.front(0);

    // The takers ask shortly first, so that theirs are kept connections.
    let mut takers = Vec::new();
    for _ in 0..TAKERS {
        takers.push(open(&front)?);
    }
    let ends = Instant::now() + DAY;
    let mut usual = Vec::new();
    for _ in 0..GROUPS {
        let group = (USUAL - TAKERS) / GROUPS;
        usual.push(askers(&front, group, ends)?);
    }
    record.line(format!("{USUAL} clients keep connections to {front}"));
    let takers: Vec<_> = takers
        .into_iter()
        .map(|connection| {
            let record = record.clone();
            thread::spawn(move || take(&record, connection))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if trouble {
        let begun = Instant::now();
        let burst = begun + BURST;
        for _ in 0..GROUPS {
            usual.push(askers(&front, MORE / GROUPS, burst)?);
        }
        let passed = begun.elapsed().as_secs_f64();
        record.line(format!(
            "burst: {MORE} more clients within {passed:.2} s, for 3 s"
        ));
    }
    let mut cut = 0;
    for taker in takers {
        cut += usize::from(!taker.join().map_err(|_| "a client failed".to_owned())??);
    }
    let (mut answered, mut closed) = (0, 0);
    for group in usual {
        let (a, c) = group.join().map_err(|_| "a client failed".to_owned())?;
        (answered, closed) = (answered + a, closed + c);
    }
    record.line(format!(
        "{answered} short requests were answered; {closed} kept connections were closed"
    ));
    record.line(format!(
        "{cut} of {TAKERS} long answers on kept connections were cut"
    ));
    Ok(cut <= 3)
}

/// Opens kept connections, on each of which a client asks shortly every [`PERIOD`] until the
/// end. Returns how many requests were answered, and how many connections the entry closed.
fn askers(front: &str, count: usize, ends: Instant) -> Result<thread::JoinHandle<(usize, usize)>> {
    let mut connections = Vec::new();
    for _ in 0..count {
        connections.push(open(front)?);
    }
    Ok(thread::spawn(move || {
        let (mut answered, mut closed) = (count, 0);
        while Instant::now() < ends {
            let begun = Instant::now();
            let before = connections.len();
            connections.retain_mut(|connection| ask(connection).is_ok());
            answered += connections.len();
            closed += before - connections.len();
            thread::sleep(PERIOD.saturating_sub(begun.elapsed()));
        }
        (answered, closed)
    }))
}

/// Opens a connection, and keeps it after a short answer.
fn open(front: &str) -> Result<Connection> {
    let mut connection = Connection::open(front, Duration::from_secs(1)).map_err(site::text)?;
    ask(&mut connection)?;
    Ok(connection)
}

/// Makes a short request.
fn ask(connection: &mut Connection) -> Result<()> {
    let headers = [("X-Request-Deadline", "5000")];
    let request = site::request("GET", "/sheets/7", &site::attempt_id(), &headers, "");
    connection.send(request.as_bytes()).map_err(site::text)?;
    let answer = connection.message().map_err(site::text)?;
    let sound = answer.is_some_and(|answer| answer.status() == 200 && answer.whole);
    sound
        .then_some(())
        .ok_or_else(|| "a short request was not answered".to_owned())
}

/// Takes a long answer. Returns whether it is whole.
fn take(record: &Record, mut connection: Connection) -> Result<bool> {
    let id = site::attempt_id();
    let headers = [("X-Request-Deadline", "20000")];
    let request = site::request("GET", "/sheets/whole", &id, &headers, "");
    record.line(format!(
        "send    {id} GET /sheets/whole on a kept connection"
    ));
    connection.send(request.as_bytes()).map_err(site::text)?;
    let sent = Instant::now();
    connection.pace = Some(LINK_BYTES);
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
