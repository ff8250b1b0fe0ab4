//! A key is taken away while a client that uses it is still sending its request.

use crate::site::{self, Connection, Record, Result, Site};
use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// The length of a request's body, and what its client's link carries in a second.
const BODY_BYTES: usize = 720_000;
const LINK_BYTES: usize = 80_000;
/// Time from the first byte of the requests to the configuration that takes the key away.
const UNTIL_REVOKED: Duration = Duration::from_millis(500);
/// `revoke_ms`.
const REVOKE: f64 = 5.0;

const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A configuration with the keys of two tenants.
fn config(version: u32, keys: &str, others: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"job-submit","host":"site.example",
"path_prefix":"/submit/","type":"non_idempotent","timeout_ms":20000,"target_latency_ms":150,
"service":"queue-app","max_attempts":1}}],
"services":[{{"name":"queue-app","health_path":"/healthz","max_connections":220}}],
"tenants":[{{"name":"hule930","api_keys":[{keys}]}},{{"name":"mide771","api_keys":[{others}]}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}}}"#
    )
}

pub fn run(record: &Record, trouble: bool) -> Result<bool> {
    let site = Site::start(record, 3)?;
    let ran: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    for (number, zone) in site::ZONES.iter().enumerate() {
        let (ran, record) = (Arc::clone(&ran), record.clone());
        site.server(
            &format!("i-{number}"),
            "queue-app",
            zone,
            move |request, connection| {
                let id = request.header("x-attempt-id").unwrap_or("").to_owned();
                let tenant = request.header("x-tenant").unwrap_or("none").to_owned();
                record.line(format!("run     {id} as {tenant}"));
                ran.lock().unwrap().push((id, record.seconds()));
                let answer = site::head(request, 2) + "ok";
                connection.send(answer.as_bytes()).is_ok()
            },
        )?;
    }
    let kept = "\"anfqasnmgkcuyj8pjbvk\"";
    let other = "\"wq5s0m2xk9tr4hbe7cva\"";
    let both = format!("\"{KEY}\",{kept}");
    site.configure(&config(1, &both, other))?;
    site.wait_ready()?;
    thread::sleep(Duration::from_secs(4));

    let clients: Vec<_> = (0..3)
        .map(|place| {
            let (record, front) = (record.clone(), site.front(place));
            thread::spawn(move || submit(&record, &front))
        })
        .collect();
    thread::sleep(UNTIL_REVOKED);
    // With `MOVE` the key is given to the other tenant at once.
    let moved = format!("\"{KEY}\",{other}");
    let (keys, others) = match (trouble, std::env::var_os("MOVE")) {
        (false, _) => (&*both, other),
        (true, None) => (kept, other),
        (true, Some(_)) => (kept, &*moved),
    };
    site.configure(&config(2, keys, others))?;
    let acknowledged = record.seconds();
    thread::sleep(Duration::from_secs_f64(REVOKE));
    // What the entries hold is not older than that configuration.
    for place in 0..3 {
        let id = site::attempt_id();
        let mut connection =
            Connection::open(&site.front(place), Duration::from_secs(1)).map_err(site::text)?;
        let request = site::request("POST", "/submit/8", &id, &[("X-Key", KEY)], "a job");
        connection.send(request.as_bytes()).map_err(site::text)?;
        let status = connection
            .message()
            .map_err(site::text)?
            .map_or(0, |a| a.status());
        record.line(format!(
            "answer  {id} sent now, with the same key: {status}"
        ));
    }
    let mut broken = 0;
    for client in clients {
        let (id, sent) = client.join().map_err(|_| "a client failed".to_owned())??;
        let begun = ran
            .lock()
            .unwrap()
            .iter()
            .find(|(other, _)| *other == id)
            .map(|r| r.1);
        let late = sent - acknowledged;
        let words = begun.map_or("did not run".to_owned(), |at| {
            format!("ran {:.2} s after it", at - acknowledged)
        });
        record.line(format!(
            "{id}: its last byte was sent {late:.2} s after the acknowledgement; it {words}"
        ));
        broken += usize::from(trouble && late > REVOKE && begun.is_some());
    }
    record.line(format!(
        "{broken} of 3 requests ran with the key that was taken away"
    ));
    Ok(broken == 0)
}

/// Sends a request at the pace of the client's link. Returns its id, and when its last byte was
/// sent.
fn submit(record: &Record, front: &str) -> Result<(String, f64)> {
    let id = site::attempt_id();
    let mut connection = Connection::open(front, Duration::from_secs(1)).map_err(site::text)?;
    let headers = [("X-Key", KEY), ("X-Request-Deadline", "20000")];
    let body = "x".repeat(BODY_BYTES);
    let request = site::request("POST", "/submit/7", &id, &headers, &body);
    record.line(format!(
        "send    {id} POST /submit/7 to {front}, {BODY_BYTES} bytes"
    ));
    let begun = Instant::now();
    let mut sent = 0;
    for part in request.as_bytes().chunks(LINK_BYTES / 20) {
        connection.send(part).map_err(site::text)?;
        sent += part.len();
        let due = Duration::from_secs_f64(sent as f64 / LINK_BYTES as f64);
        thread::sleep(due.saturating_sub(begun.elapsed()));
    }
    let ended = record.seconds();
    let answer = connection.message().map_err(site::text)?;
    let status = answer.map_or(0, |answer| answer.status());
    record.line(format!("answer  {id}: {status}"));
    Ok((id, ended))
}
