//! A request that crashes its engines, later than the entry waits for their answer.

use crate::site::{self, Connection, Listed, Message, Record, Result, Site};
use std::{
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Engines of the service, and how long one is away after a crash.
const ENGINES: usize = 5;
const AWAY: Duration = Duration::from_secs(2);
/// How often the request comes, and the time between.
const COMES: usize = 10;
const PERIOD: Duration = Duration::from_secs(4);
/// `contact_ms`, and the retries that may reach engines later than that after the third crash.
const CONTACT: f64 = 4.0;
const ALLOWED: usize = 3;

/// Two routes of the grown Prairie site: `order-lookup` and `kiln-booking`.
const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"order-lookup","host":"site.example","path_prefix":"/lookup/","type":"idempotent",
"timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"studio-ledger","max_attempts":2},
{"name":"kiln-booking","host":"site.example","path_prefix":"/booking/","type":"non_idempotent",
"timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"studio-ledger","max_attempts":1}],
"services":[{"name":"studio-ledger","health_path":"/healthz","max_connections":250}],
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"]},
{"name":"mide771","api_keys":["anfqasnmgkcuyj8pjbvk"]}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}"#;

/// What the engines have seen.
#[derive(Clone)]
struct Seen {
    record: Record,
    /// When the request began to run somewhere, and when an engine crashed.
    arrivals: Arc<Mutex<Vec<f64>>>,
    crashes: Arc<Mutex<Vec<f64>>>,
    list: Arc<Mutex<Vec<Listed>>>,
    /// How long after it begins the request crashes its engine; never if there is none.
    crash: Option<Duration>,
}

pub fn run(record: &Record, trouble: bool) -> Result<bool> {
    let site = Site::start(record, 3)?;
    let after = std::env::var("CRASH_MS")
        .ok()
        .and_then(|ms| ms.parse().ok());
    let seen = Seen {
        record: record.clone(),
        arrivals: Arc::default(),
        crashes: Arc::default(),
        list: Arc::clone(&site.list),
        crash: trouble.then(|| Duration::from_millis(after.unwrap_or(900))),
    };
    for number in 0..ENGINES {
        let seen = seen.clone();
        thread::spawn(move || engine(number, &seen));
    }
    site.configure(CONFIG)?;
    site.wait_ready()?;
    thread::sleep(Duration::from_secs(4));

    let ends = Instant::now() + PERIOD * COMES as u32;
    let others: Vec<_> = (0..3)
        .map(|place| {
            let (record, front) = (record.clone(), site.front(place));
            thread::spawn(move || book(&record, &front, ends))
        })
        .collect();
    for number in 0..COMES {
        let begun = Instant::now();
        lookup(record, &site.front(number % 3));
        thread::sleep(PERIOD.saturating_sub(begun.elapsed()));
    }
    let (mut sent, mut lost) = (0, 0);
    for other in others {
        let (s, l) = other.join().map_err(|_| "a client failed".to_owned())?;
        (sent, lost) = (sent + s, lost + l);
    }
    thread::sleep(Duration::from_secs(2));
    let crashes = seen.crashes.lock().unwrap().clone();
    let arrivals = seen.arrivals.lock().unwrap().clone();
    let third = crashes.get(2).copied();
    let late = |at: &&f64| third.is_some_and(|third| **at > third + CONTACT);
    let late = arrivals.iter().filter(late).count();
    record.line(format!(
        "{} crashes; the request reached engines {} times, {late} of them later than {CONTACT} s \
         after the third crash",
        crashes.len(),
        arrivals.len()
    ));
    record.line(format!(
        "{lost} of {sent} bookings of another tenant, which may run once only, got no answer of \
         an engine"
    ));
    Ok(late <= ALLOWED)
}

/// Runs an engine, which starts again under a new id and address after each crash.
fn engine(number: usize, seen: &Seen) {
    for start in 1.. {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
            return;
        };
        let Ok(address) = listener.local_addr() else {
            return;
        };
        let _set = listener.set_nonblocking(true);
        let id = format!("i-{number}-{start}");
        let listed = Listed {
            id: id.clone(),
            service: "studio-ledger".to_owned(),
            address: address.to_string(),
            zone: site::ZONES[number % 3].to_owned(),
            version: "v1".to_owned(),
            state: "ready",
        };
        let own = format!("i-{number}-");
        let mut list = seen.list.lock().unwrap();
        list.retain(|listed| !listed.id.starts_with(&own));
        list.push(listed);
        drop(list);
        let dead = Arc::new(AtomicBool::new(false));
        let mut streams: Vec<TcpStream> = Vec::new();
        while !dead.load(Ordering::Acquire) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _set = stream.set_nonblocking(false);
            streams.extend(stream.try_clone());
            let (id, seen, dead) = (id.clone(), seen.clone(), Arc::clone(&dead));
            thread::spawn(move || serve(&id, &seen, &dead, stream));
        }
        drop(listener);
        for stream in streams {
            let _closed = stream.shutdown(Shutdown::Both);
        }
        seen.crashes.lock().unwrap().push(seen.record.seconds());
        seen.record.line(format!("crash   {id}"));
        thread::sleep(AWAY);
    }
}

fn serve(id: &str, seen: &Seen, dead: &AtomicBool, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    while let Ok(Some(request)) = connection.message() {
        if !request.whole || dead.load(Ordering::Acquire) {
            return;
        }
        if request
            .header("x-expect-instance")
            .is_some_and(|meant| meant != id)
        {
            if connection
                .send(site::misdirected(&request).as_bytes())
                .is_err()
            {
                return;
            }
            continue;
        }
        if request.first.contains("/lookup/5") {
            begin(id, seen, &request);
            if let Some(after) = seen.crash {
                // It works on, whether or not its caller has left.
                thread::sleep(after);
                dead.store(true, Ordering::Release);
                return;
            }
        }
        thread::sleep(Duration::from_millis(40));
        let answer = site::head(&request, 2) + "ok";
        if dead.load(Ordering::Acquire) || connection.send(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn begin(id: &str, seen: &Seen, request: &Message) {
    seen.arrivals.lock().unwrap().push(seen.record.seconds());
    let attempt = request.header("x-attempt-id").unwrap_or("");
    seen.record
        .line(format!("run     {attempt} at {id}: {}", request.first));
}

/// Makes the request that crashes its engines.
fn lookup(record: &Record, front: &str) {
    let id = site::attempt_id();
    let headers = [
        ("X-Key", "n2ctnfzs989anu6wsjnb"),
        ("X-Request-Deadline", "1500"),
    ];
    record.line(format!("send    {id} GET /lookup/5 to {front}"));
    let request = site::request("GET", "/lookup/5", &id, &headers, "");
    let words = match ask(front, &request) {
        Ok(answer) => answer.status().to_string(),
        Err(why) => why,
    };
    record.line(format!("answer  {id}: {words}"));
}

/// Makes bookings of another tenant until the end. Returns how many, and how many of them got no
/// answer of an engine.
fn book(record: &Record, front: &str, ends: Instant) -> (usize, usize) {
    let (mut sent, mut lost) = (0, 0);
    while Instant::now() < ends {
        let id = site::attempt_id();
        let headers = [
            ("X-Key", "anfqasnmgkcuyj8pjbvk"),
            ("X-Request-Deadline", "1500"),
        ];
        let path = format!("/booking/{sent}");
        let request = site::request("POST", &path, &id, &headers, "a kiln slot");
        sent += 1;
        let served = ask(front, &request).is_ok_and(|a| a.status() == 200 && a.whole);
        if !served {
            lost += 1;
            record.line(format!("answer  {id}: POST {path} was not served"));
        }
        thread::sleep(Duration::from_millis(30));
    }
    (sent, lost)
}

fn ask(front: &str, request: &str) -> Result<Message> {
    let mut connection = Connection::open(front, Duration::from_secs(1)).map_err(site::text)?;
    connection.send(request.as_bytes()).map_err(site::text)?;
    let answer = connection.message().map_err(site::text)?;
    answer.ok_or_else(|| "none, the connection was closed".to_owned())
}
