//! The cases.

use crate::{
    client, http,
    proxy::Proxy,
    site::{CLYDE_QUEUE, EngineOptions, JAMVI_ROSTER, Record, Site},
};
use std::{
    io::{BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    path::Path,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"r-submit","host":"queue.example","path_prefix":"/submit/","type":"non_idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"queue-app","max_attempts":1,"public":false},
{"name":"r-draft","host":"queue.example","path_prefix":"/draft/","type":"streaming","timeout_ms":20000,"target_latency_ms":2000,"priority":1,"service":"queue-app","max_attempts":3,"public":false,"resumable":true,"target_gap_ms":1200},
{"name":"r-status","host":"queue.example","path_prefix":"/status/","type":"idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"queue-app","max_attempts":2,"public":false}],
"services":[{"name":"queue-app","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tayprint","api_keys":["key-tayprint-1"]},{"name":"forthcopy","api_keys":["key-forthcopy-1"]}]}"#;

pub fn main(number: &str, folder: &str) -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(folder);
    let outcome = match number {
        "6" => slow_readers(folder, trouble),
        "7" => crowded(folder, trouble),
        "8" => held_order(folder, trouble),
        "at-once" => crashing(folder, trouble, &Poison::at_once()),
        "9" => crashing(folder, trouble, &Poison::in_a_stream()),
        "10" => crashing(folder, trouble, &Poison::under_the_same_id()),
        "after-a-pause" => crashing(folder, trouble, &Poison::after_a_pause()),
        _ => Err(format!("there is no case {number}")),
    };
    match outcome {
        Ok(true) => {
            println!("case {number}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("case {number}: THE RULE WAS BROKEN");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("case {number}: could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// When a request that crashes engines comes, and how soon engines crash.
struct Poison {
    /// Times since the start of traffic at which it comes, in seconds.
    times: Vec<f64>,
    crash_after_ms: u64,
    /// Whether engines start again under the id that they had.
    same_id: bool,
    /// Number of entries at which it comes, in turn.
    entries: usize,
    /// Number of other clients, and their pause between two requests in milliseconds.
    others: (usize, u64),
    path: &'static str,
    body: &'static str,
    deadline_ms: u64,
    engines: usize,
}

/// A job submission.
const SUBMIT: Poison = Poison {
    times: Vec::new(),
    crash_after_ms: 40,
    same_id: false,
    entries: 3,
    others: (12, 80),
    path: "/submit/wedding-17",
    body: "order 17 CRASHES",
    deadline_ms: 1_000,
    engines: 3,
};

impl Poison {
    /// Each engine crashes as soon as it begins to run it.
    fn at_once() -> Self {
        let after = std::env::var("CRASH_AFTER_MS").ok();
        Self {
            times: (0..11).map(|i| 1.0 + 4.0 * f64::from(i)).collect(),
            crash_after_ms: after.and_then(|ms| ms.parse().ok()).unwrap_or(0),
            ..SUBMIT
        }
    }

    /// Engines start again under the id that they had.
    fn under_the_same_id() -> Self {
        Self {
            times: (0..14).map(|i| 1.0 + 4.0 * f64::from(i)).collect(),
            same_id: std::env::var("SAME_ID").map_or(true, |value| value != "0"),
            entries: 1,
            others: (1, 700),
            ..SUBMIT
        }
    }

    /// It comes until three engines have crashed, and again after more than a minute.
    fn after_a_pause() -> Self {
        let first = (0..3).map(|i| 0.5 + f64::from(i));
        let second = (0..41).map(|i| 64.0 + f64::from(i));
        Self {
            times: first.chain(second).collect(),
            ..SUBMIT
        }
    }

    /// A stream that crashes its engines some time after its first event.
    fn in_a_stream() -> Self {
        let after = std::env::var("CRASH_AFTER_MS").ok();
        Self {
            times: (0..6).map(|i| 1.0 + 9.0 * f64::from(i)).collect(),
            crash_after_ms: after.and_then(|ms| ms.parse().ok()).unwrap_or(1_500),
            path: "/draft/wedding-17",
            body: "order 17 CRASHES ANSWER=60",
            deadline_ms: 20_000,
            engines: 6,
            ..SUBMIT
        }
    }
}

/// A request that crashes each engine which begins to run it comes again and again, while
/// other clients are served. Returns whether the rule held.
fn crashing(folder: &Path, trouble: bool, poison: &Poison) -> Result<bool, String> {
    let options = EngineOptions {
        count: poison.engines,
        work_ms: 30,
        crash_after_ms: trouble.then_some(poison.crash_after_ms),
        back_after_ms: 2_000,
        same_id: poison.same_id,
    };
    let mut site = Site::start(&CLYDE_QUEUE, CONFIG, &options)?;
    let stop = Arc::new(AtomicBool::new(false));
    let others = Others::start(&site, &stop, poison.others);
    let began = site.now();
    let deadline = poison.deadline_ms.to_string();
    let mut sent = Vec::new();
    for (place, at) in poison.times.iter().enumerate() {
        let wait = began + at * 1e3 - site.now();
        thread::sleep(Duration::from_secs_f64(wait.max(0.0) / 1e3));
        let attempt = format!("poison{place:010}");
        let entry = site.entries[place % poison.entries];
        site.record
            .add(format!("client: sends {attempt} to {entry}"));
        let headers = [
            ("Host", "queue.example"),
            ("X-Attempt-Id", attempt.as_str()),
            ("X-Request-Deadline", deadline.as_str()),
            ("X-Key", "key-forthcopy-1"),
        ];
        let request = client::request("POST", poison.path, &headers, poison.body.as_bytes());
        let answer = client::call(
            entry,
            &request,
            Duration::from_millis(poison.deadline_ms + 200),
        );
        let answer = answer.map_or_else(|error| error, |a| a.status().to_string());
        site.record
            .add(format!("client: {attempt} ends with {answer}"));
        sent.push(attempt);
    }
    thread::sleep(Duration::from_millis(1_500));
    stop.store(true, Ordering::SeqCst);
    let lost = others.finish();
    let steps = site.engines.steps.lock().unwrap().clone();
    for line in site.log_lines("quarantined") {
        site.record.add(format!("log: {line}"));
    }
    site.stop();
    let mut crashes: Vec<f64> = steps
        .iter()
        .filter(|s| s.step == "crashes")
        .map(|s| s.at)
        .collect();
    crashes.sort_by(f64::total_cmp);
    let arrived = steps
        .iter()
        .filter(|s| s.step == "arrived" && sent.contains(&s.attempt));
    let after = crashes
        .get(2)
        .map_or(f64::INFINITY, |third| third + site.deployment.contact_ms);
    let late = arrived.clone().filter(|s| s.at > after).count();
    let verdict = format!(
        "judge: the request came {} times and reached engines {} times; {} engines crashed; {late} arrivals later than contact_ms after the third crash (3 are allowed); of {} other requests {} got no answer of an engine",
        sent.len(),
        arrived.count(),
        crashes.len(),
        lost.0,
        lost.1
    );
    println!("{verdict}");
    site.record.add(verdict);
    site.record.write(&folder.join("record.txt"));
    Ok(late <= 3)
}

/// Other clients, whose requests run once.
struct Others {
    threads: Vec<thread::JoinHandle<()>>,
    sent: Arc<AtomicU64>,
    lost: Arc<Mutex<u64>>,
}

impl Others {
    fn start(site: &Site, stop: &Arc<AtomicBool>, (count, pause_ms): (usize, u64)) -> Self {
        let sent = Arc::new(AtomicU64::new(0));
        let lost = Arc::new(Mutex::new(0));
        let threads = (0..count).map(|place| {
            let entry = site.entries[place % site.entries.len()];
            let (record, stop) = (Arc::clone(&site.record), Arc::clone(stop));
            let (sent, lost) = (Arc::clone(&sent), Arc::clone(&lost));
            thread::spawn(move || {
                let mut connection: Option<TcpStream> = None;
                while !stop.load(Ordering::SeqCst) {
                    let attempt = format!("other{:011}", sent.fetch_add(1, Ordering::SeqCst));
                    let headers = [
                        ("Host", "queue.example"),
                        ("X-Attempt-Id", attempt.as_str()),
                        ("X-Request-Deadline", "1000"),
                        ("X-Key", "key-tayprint-1"),
                    ];
                    let request =
                        client::request("POST", "/submit/job", &headers, attempt.as_bytes());
                    let stream = connection
                        .take()
                        .map_or_else(|| TcpStream::connect(entry).ok(), Some);
                    let Some(stream) = stream else { continue };
                    let answer = client::send(&stream, &request, Duration::from_millis(1_200));
                    match answer {
                        Ok(answer) => {
                            if answer.status() != 200 {
                                record.add(format!(
                                    "client: {attempt} ends with {}",
                                    answer.status()
                                ));
                                *lost.lock().unwrap() += 1;
                            }
                            if !answer.closes() {
                                connection = Some(stream);
                            }
                        }
                        Err(error) => {
                            record.add(format!("client: {attempt} ends with {error}"));
                            *lost.lock().unwrap() += 1;
                        }
                    }
                    thread::sleep(Duration::from_millis(pause_ms));
                }
            })
        });
        Self {
            threads: threads.collect(),
            sent,
            lost,
        }
    }

    /// Returns the number of requests, and of those without an answer of an engine.
    fn finish(self) -> (u64, u64) {
        for thread in self.threads {
            let _ = thread.join();
        }
        let lost = *self.lost.lock().unwrap();
        (self.sent.load(Ordering::SeqCst), lost)
    }
}

/// Bytes of an answer that a slow client reads, and how many it reads a second.
const ANSWER_BYTES: usize = 1_000_000;
const READ_PER_S: usize = 200_000;

/// Clients read their answers slowly while the platform stops their entry.
fn slow_readers(folder: &Path, trouble: bool) -> Result<bool, String> {
    let options = EngineOptions {
        count: 3,
        work_ms: 30,
        crash_after_ms: None,
        back_after_ms: 2_000,
        same_id: false,
    };
    let config = CONFIG.replace("\"timeout_ms\":1000", "\"timeout_ms\":20000");
    let mut site = Site::start(&JAMVI_ROSTER, &config, &options)?;
    let until_ms = site.deployment.grace_ms + 1_000.0;
    let readers: Vec<_> = (0..6)
        .map(|place| {
            let (entry, record) = (site.entries[0], Arc::clone(&site.record));
            thread::spawn(move || read_slowly(entry, place, READ_PER_S, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(700));
    let stopped = site.now();
    if trouble {
        site.signal("entry", 0, "TERM");
        while !site.has_ended("entry", 0) && site.now() < stopped + until_ms {
            thread::sleep(Duration::from_millis(10));
        }
        let passed = (site.now() - stopped) / 1e3;
        site.record.add(format!(
            "platform: the entry has ended {passed:.2} s after SIGTERM"
        ));
    }
    let mut lost = 0;
    let answers = readers.len();
    for reader in readers {
        let (attempt, got, expected, at) = reader.join().map_err(|_| "a client failed")??;
        let steps = site.engines.steps.lock().unwrap();
        let ran = steps
            .iter()
            .any(|s| s.step == "ended" && s.attempt == attempt);
        drop(steps);
        let at = at - *site.record.began.lock().unwrap();
        // The rule binds until 1 s after grace_s.
        let bound = at <= stopped + until_ms;
        if got < expected && ran && bound {
            lost += 1;
        }
        site.record.add(format!("judge: {attempt} got {got} of {expected} bytes at {:.3} s; its engine had run it to the end: {ran}", at / 1e3));
    }
    let verdict =
        format!("judge: {lost} of {answers} answers ended early, though their requests had run");
    println!("{verdict}");
    site.record.add(verdict);
    site.stop();
    site.record.write(&folder.join("record.txt"));
    Ok(lost == 0)
}

/// Sends a request and reads its answer slowly. Returns the attempt, the bytes of the body that
/// came and those that were announced, and when the last ones came.
fn read_slowly(
    entry: SocketAddr,
    place: usize,
    per_s: usize,
    record: &Record,
) -> Result<(String, usize, usize, f64), String> {
    let attempt = format!("slow{place:012}");
    let headers = [
        ("Host", "queue.example"),
        ("X-Attempt-Id", attempt.as_str()),
        ("X-Request-Deadline", "20000"),
        ("X-Key", "key-tayprint-1"),
    ];
    let body = format!("order {place} ANSWER={ANSWER_BYTES}");
    let request = client::request("POST", "/submit/proofs", &headers, body.as_bytes());
    let stream = TcpStream::connect(entry).map_err(|e| e.to_string())?;
    // The connection is a kept one: a short request was answered on it before.
    let first = format!("first{place:011}");
    let mut short = headers;
    short[1].1 = first.as_str();
    let short = client::request("GET", "/status/proofs", &short, b"");
    let answer = client::send(&stream, &short, Duration::from_secs(2))?;
    if answer.status() != 200 {
        return Err(format!("{first} ends with {}", answer.status()));
    }
    stream.set_read_timeout(None).map_err(|e| e.to_string())?;
    (&stream).write_all(&request).map_err(|e| e.to_string())?;
    record.add(format!("client: sends {attempt} to {entry}"));
    let mut from = BufReader::with_capacity(1 << 10, stream);
    let head = http::read_head(&mut from)
        .map_err(|e| e.to_string())?
        .ok_or("no answer")?;
    let expected = head
        .header("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    record.add(format!(
        "client: {attempt} gets the head of a {}, with {expected} bytes to come",
        head.status()
    ));
    let mut got = 0;
    let mut bytes = vec![0; 10_000];
    while got < expected {
        match from.read(&mut bytes) {
            Ok(0) => {
                record.add(format!(
                    "client: {attempt}: the connection ends after {got} bytes"
                ));
                break;
            }
            Ok(count) => got += count,
            Err(error) => {
                record.add(format!("client: {attempt}: {error} after {got} bytes"));
                break;
            }
        }
        thread::sleep(Duration::from_secs_f64(10_000.0 / per_s as f64));
    }
    Ok((attempt, got, expected, http::now_ms()))
}

/// Clients read their answers slowly while many users come to the same entry, each of whom keeps
/// the connection for the next request.
fn crowded(folder: &Path, trouble: bool) -> Result<bool, String> {
    let options = EngineOptions {
        count: 3,
        work_ms: 30,
        crash_after_ms: None,
        back_after_ms: 2_000,
        same_id: false,
    };
    let config = CONFIG.replace("\"timeout_ms\":1000", "\"timeout_ms\":20000");
    let mut site = Site::start(&JAMVI_ROSTER, &config, &options)?;
    let readers: Vec<_> = (0..6)
        .map(|place| {
            let (entry, record) = (site.entries[0], Arc::clone(&site.record));
            thread::spawn(move || read_slowly(entry, place, 55_000, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    // A third of the site's 175 requests a second come to the entry, each from another user who
    // keeps the connection; for the last 3 s 1.7 times as many with the burst.
    let (usual, seconds, burst) = (58.0, 12.0, if trouble { 1.7 } else { 1.0 });
    let begin = (usual * (seconds - 3.0)) as usize;
    let users = begin + (usual * burst * 3.0) as usize;
    let mut kept = Vec::new();
    let mut served = 0;
    for user in 0..users {
        let attempt = format!("user{user:012}");
        let headers = [
            ("Host", "queue.example"),
            ("X-Attempt-Id", attempt.as_str()),
            ("X-Request-Deadline", "1000"),
            ("X-Key", "key-forthcopy-1"),
        ];
        let request = client::request("GET", "/status/visit", &headers, b"");
        let stream = TcpStream::connect(site.entries[0]).map_err(|e| e.to_string())?;
        (&stream).write_all(&request).map_err(|e| e.to_string())?;
        kept.push((stream, attempt));
        let rate = if user < begin { usual } else { usual * burst };
        thread::sleep(Duration::from_secs_f64(1.0 / rate));
    }
    for (stream, _) in &kept {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let Ok(clone) = stream.try_clone() else {
            continue;
        };
        let head = http::read_message(&mut BufReader::new(clone));
        served += u32::from(head.is_ok_and(|h| h.is_some_and(|h| h.status() == 200)));
    }
    site.record
        .add(format!("clients: {users} users came, {served} were served"));
    let mut lost = 0;
    let answers = readers.len();
    for reader in readers {
        let (attempt, got, expected, at) = reader.join().map_err(|_| "a client failed")??;
        let steps = site.engines.steps.lock().unwrap();
        let ran = steps
            .iter()
            .any(|s| s.step == "ended" && s.attempt == attempt);
        drop(steps);
        let at = at - *site.record.began.lock().unwrap();
        lost += u32::from(got < expected && ran);
        site.record.add(format!("judge: {attempt} got {got} of {expected} bytes at {:.3} s; its engine had run it to the end: {ran}", at / 1e3));
    }
    let verdict = format!(
        "judge: {lost} of {answers} answers ended early, though their requests had run (3 are allowed); {served} of {users} users were served"
    );
    println!("{verdict}");
    site.record.add(verdict);
    site.stop();
    site.record.write(&folder.join("record.txt"));
    Ok(lost <= 3)
}

/// Bounds of `sites/clyde-queue.toml`.
const EVACUATE_MS: f64 = 5_000.0;
/// Time for which the link is cut.
const CUT_MS: u64 = 4_000;

/// The link between the operator and a node is cut while the operator withdraws an evacuation
/// there. It withdraws it at another node and orders it again.
fn held_order(folder: &Path, trouble: bool) -> Result<bool, String> {
    let options = EngineOptions {
        count: 3,
        work_ms: 30,
        crash_after_ms: None,
        back_after_ms: 2_000,
        same_id: false,
    };
    let mut site = Site::start(&CLYDE_QUEUE, CONFIG, &options)?;
    let stop = Arc::new(AtomicBool::new(false));
    let others = Others::start(&site, &stop, (6, 50));
    let proxy = Proxy::start(site.controls[1])?;
    let path = "/-/evacuate/glasgow";
    let order = |node: &TcpStream, name: &str, method: &str| {
        site.record
            .add(format!("operator: {method} {path} to {name}"));
        let request = client::request(method, path, &[("Host", "control")], b"");
        let status = client::send(node, &request, Duration::from_secs(1)).map(|a| a.status());
        site.record
            .add(format!("operator: {method} {path}: {status:?}"));
        status == Ok(200)
    };
    let connect = |node: SocketAddr| TcpStream::connect(node).map_err(|e| e.to_string());
    // The operator keeps its connection to the node for the next order.
    let (first, other) = (connect(proxy.address)?, connect(site.controls[2])?);
    if !order(&first, "node 1", "POST") {
        return Err("the first order was not acknowledged".to_owned());
    }
    thread::sleep(Duration::from_millis(1_500));
    proxy.hold(trouble);
    let cut = site.now();
    let state = if trouble { "is cut" } else { "works on" };
    site.record.add(format!(
        "network: the link of the operator to node 1 {state}"
    ));
    // The operator moves on after a second, and leaves the connection open.
    if !order(&first, "node 1", "DELETE") && !order(&other, "node 2", "DELETE") {
        return Err("the withdrawal was not acknowledged".to_owned());
    }
    thread::sleep(Duration::from_millis(500));
    if !order(&other, "node 2", "POST") {
        return Err("the second order was not acknowledged".to_owned());
    }
    let acknowledged = site.now();
    let left = cut + CUT_MS as f64 - site.now();
    thread::sleep(Duration::from_secs_f64(left.max(0.0) / 1e3));
    proxy.hold(false);
    site.record
        .add("network: the link of the operator to node 1 works");
    let joined = site.now();
    // Judged from the later of the two on: evacuate_ms after the acknowledgement, and contact_ms
    // after the cut.
    let from = (acknowledged + EVACUATE_MS).max(joined + site.deployment.contact_ms);
    thread::sleep(Duration::from_secs_f64(
        (from - site.now()).max(0.0) / 1e3 + 10.0,
    ));
    stop.store(true, Ordering::SeqCst);
    let (sent, lost) = others.finish();
    let steps = site.engines.steps.lock().unwrap().clone();
    let late = steps
        .iter()
        .filter(|s| s.step == "arrived" && s.place == 0 && s.at > from);
    let verdict = format!(
        "judge: {} requests reached the engine in glasgow later than evacuate_ms after its evacuation was acknowledged; it was not taken back since; of {sent} requests {lost} got no answer of an engine",
        late.clone().count()
    );
    let held = late.count() == 0;
    println!("{verdict}");
    site.record.add(verdict);
    site.stop();
    site.record.write(&folder.join("record.txt"));
    Ok(held)
}
