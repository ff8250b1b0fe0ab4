//! Tests of callers that read their responses slowly or not at all.

use super::fixtures::{Entry, Seen, dechunk, header, read_answer, read_request, request};
use crate::{
    site::fixtures::{backend, document},
    support::wait::eventually,
};
use cardamomtally::{
    direct::daemon::DirectSettings, prelude::*, scheduling::settings::SchedulingSettings,
    site::backend::Backend, site::document::Class,
};
use socket2::{Domain, Socket, Type};
use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::atomic::{AtomicU32, AtomicUsize, Ordering},
    thread,
    time::Instant,
};

/// Socket buffers of the test's own ends of the connections, in bytes. Small, so that
/// the bytes that are under way are those which the entry holds.
const OWN_SOCKET_BYTES: usize = 4 << 10;
/// Memory of the smallest VM, in MiB.
const SMALL_VM_MB: u32 = 88;

/// What a backend server of this module does.
#[derive(Clone, Copy)]
struct Plan {
    /// Number of the last event. The stream ends after it.
    last: u64,
    /// Length of each event's data, in bytes.
    data: usize,
    /// Time after which a response that stays unread is aborted.
    abort: Duration,
}

#[derive(Default)]
struct Counts {
    /// Bytes of all responses that the kernel has taken.
    written: AtomicUsize,
    /// Responses that could not be written to their end.
    ended: AtomicU32,
    /// Requests that resume a stream.
    resumed: AtomicU32,
    begun: AtomicU32,
}

/// A backend server that sends long streams.
struct StreamServer {
    backend: Backend,
    counts: Arc<Counts>,
}

impl StreamServer {
    fn start(instance: &str, plan: Plan) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_send_buffer_size(OWN_SOCKET_BYTES).unwrap();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).unwrap();
        // 200 connections at once exceed the standard library's queue of 128.
        socket.listen(1_024).unwrap();
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr().unwrap();
        let counts = Arc::<Counts>::default();
        let shared = Arc::clone(&counts);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counts = Arc::clone(&shared);
                thread::spawn(move || write_streams(stream, plan, &counts));
            }
        });
        Self {
            backend: backend(instance, addr),
            counts,
        }
    }

    /// Waits until the kernel has taken no further byte for a while, and returns the
    /// number of bytes taken.
    fn written_when_stalled(&self) -> usize {
        let (mut last, mut since) = (0, Instant::now());
        while since.elapsed() < Duration::from_millis(700) {
            thread::sleep(Duration::from_millis(50));
            let written = self.counts.written.load(Ordering::Relaxed);
            if written != last {
                (last, since) = (written, Instant::now());
            }
        }
        last
    }
}

fn write_streams(mut stream: TcpStream, plan: Plan, counts: &Counts) {
    stream.set_write_timeout(Some(plan.abort)).unwrap();
    while let Some(seen) = read_request(&mut stream) {
        counts.begun.fetch_add(1, Ordering::Relaxed);
        if write_stream(&mut stream, &seen, plan, counts).is_none() {
            counts.ended.fetch_add(1, Ordering::Relaxed);
            return;
        }
    }
}

fn write_stream(stream: &mut TcpStream, seen: &Seen, plan: Plan, counts: &Counts) -> Option<()> {
    let id = header(&seen.head, "cardamomtally-attempt").unwrap_or("none");
    let head = format!(
        "HTTP/1.1 200 OK\r\nCardamomtally-Attempt: {id}\r\nCardamomtally-Signature: s-1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let last = header(&seen.head, "last-event-id").and_then(|l| l.parse::<u64>().ok());
    if last.is_some() {
        counts.resumed.fetch_add(1, Ordering::Relaxed);
    }
    for number in last.unwrap_or(0) + 1..=plan.last {
        let text = padded_event(number, plan.data);
        let text = format!("{:x}\r\n{text}\r\n", text.len());
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let count = stream.write(rest).ok()?;
            counts.written.fetch_add(count, Ordering::Relaxed);
            rest = &rest[count..];
        }
    }
    stream.write_all(b"0\r\n\r\n").ok()
}

fn padded_event(number: u64, data: usize) -> String {
    format!("id: {number}\ndata: {}\n\n", "x".repeat(data))
}

/// Sets what an entry on the smallest VM with overload control has.
fn small_vm(settings: &mut DirectSettings) {
    settings.scheduling = Some(SchedulingSettings::default());
    settings.capacity.memory_mb = Some(SMALL_VM_MB);
    settings.max_connections = 2_000;
}

fn entry(class: Class, servers: &[&StreamServer]) -> Entry {
    let backends: Vec<_> = servers.iter().map(|s| s.backend.clone()).collect();
    let mut document = document(1, class);
    document.services[0].connections = 1_000;
    Entry::configured(document, &backends, small_vm)
}

/// Opens a connection whose own receive buffer is small.
pub fn small_connection(addr: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(OWN_SOCKET_BYTES).unwrap();
    socket.connect(&addr.into()).unwrap();
    let stream = TcpStream::from(socket);
    let limit = Some(Duration::from_secs(20));
    stream.set_read_timeout(limit).unwrap();
    stream
}

/// Begins a stream, reads its first bytes, and reads nothing more.
fn unread_caller(entry: &Entry, id: &str) -> TcpStream {
    let mut caller = small_connection(entry.addr);
    caller.write_all(request(id, "", "").as_bytes()).unwrap();
    assert!(caller.read(&mut [0; 64]).unwrap() > 0);
    caller
}

/// Returns the bytes of memory that this process takes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4_096
}

const ENDLESS: Plan = Plan {
    last: u64::MAX - 1,
    data: 200,
    abort: Duration::from_mins(1),
};

/// Guards against a caller that stops reading and whose stream is read on into the
/// entry's memory and the kernel's buffers.
#[test]
fn bytes_held_for_a_caller_that_stops_reading_are_bounded() {
    let server = StreamServer::start("i-1", ENDLESS);
    let entry = entry(Class::Stream, &[&server]);

    let _caller = unread_caller(&entry, "a-1");

    let held = server.written_when_stalled();
    println!("held for one caller: {held} bytes");
    assert!(held <= 512 << 10, "{held} bytes");
}

/// Guards against many such callers, each within its own bound, that together take more
/// memory than the VM has.
#[test]
fn bytes_held_for_200_callers_that_stop_reading_fit_the_smallest_vm() {
    let server = StreamServer::start("i-1", ENDLESS);
    let entry = entry(Class::Stream, &[&server]);

    let before = resident_bytes();
    let _callers: Vec<_> = (0..200)
        .map(|n| unread_caller(&entry, &format!("a-{n}")))
        .collect();

    let held = server.written_when_stalled();
    // Includes the threads of the test's own backend server.
    let resident = resident_bytes().saturating_sub(before);
    println!("held for 200 callers: {held} bytes, process grown by {resident} bytes");
    assert!(held <= (SMALL_VM_MB as usize) << 19, "{held} bytes");
}

/// Guards against connections, and work of backend servers, that are kept for callers
/// which do not read.
#[test]
fn caller_that_reads_nothing_is_disconnected_and_its_work_cancelled() {
    let server = StreamServer::start("i-1", ENDLESS);
    let entry = entry(Class::Resumable, &[&server]);
    let begun = Instant::now();

    let _caller = unread_caller(&entry, "a-1");

    eventually("the backend server's work is cancelled", || {
        server.counts.ended.load(Ordering::Relaxed) == 1
    });
    eventually("no request is in flight", || entry.running() == 0);
    let taken = begun.elapsed();
    assert!(taken >= Duration::from_secs(2), "{taken:?}");
    assert!(taken <= Duration::from_secs(6), "{taken:?}");
    assert_eq!(server.counts.begun.load(Ordering::Relaxed), 1);
}

/// Guards against the disconnection of callers that read slowly but steadily.
#[test]
fn caller_that_reads_slowly_gets_its_whole_stream() {
    let plan = Plan {
        last: 800,
        ..ENDLESS
    };
    let server = StreamServer::start("i-1", plan);
    let entry = entry(Class::Stream, &[&server]);
    let mut caller = small_connection(entry.addr);
    caller.write_all(request("a-1", "", "").as_bytes()).unwrap();

    // About 25 kB/s, for 7.5 s of the 9 s until the deadline.
    let mut got = Vec::new();
    let mut chunk = [0; 2_500];
    loop {
        thread::sleep(Duration::from_millis(100));
        match caller.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(count) => got.extend_from_slice(&chunk[..count]),
        }
    }

    let text = String::from_utf8(got).unwrap();
    let (_, body) = text.split_once("\r\n\r\n").unwrap();
    let expected: String = (1..=800).map(|n| padded_event(n, 200)).collect();
    let (body, ended) = dechunk(body);
    assert!(ended, "{} of {} bytes", body.len(), expected.len());
    assert!(body == expected);
}

/// Guards against the disconnection of a caller that takes less within the limit than makes
/// its socket writable again.
#[test]
fn caller_that_reads_very_slowly_is_not_disconnected() {
    let server = StreamServer::start("i-1", ENDLESS);
    let entry = entry(Class::Stream, &[&server]);
    let mut caller = unread_caller(&entry, "a-1");

    let end = Instant::now() + Duration::from_secs(8);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(250));
        assert!(caller.read(&mut [0; 1_000]).unwrap() > 0);
    }

    assert_eq!(server.counts.ended.load(Ordering::Relaxed), 0);
}

/// Reads a stream of 4,000 events after a pause in which the backend servers abort it.
fn read_after_an_abort(class: Class) -> (bool, u32) {
    let plan = Plan {
        last: 4_000,
        data: 200,
        abort: Duration::from_millis(600),
    };
    let patient = Plan {
        abort: Duration::from_mins(1),
        ..plan
    };
    let aborting = StreamServer::start("i-1", plan);
    let other = StreamServer::start("i-2", patient);
    let first = entry(class, &[&aborting]);
    let mut caller = unread_caller(&first, "a-1");
    eventually("the backend server has aborted the response", || {
        aborting.counts.ended.load(Ordering::Relaxed) == 1
    });
    let both = vec![aborting.backend.clone(), other.backend.clone()];
    first.publish(super::fixtures::reply(2, document(2, class), both));

    let rest = read_answer(&mut caller);

    // The first bytes of the head were read before.
    let end = rest.head.len() + rest.body.len();
    let (text, ended) = dechunk(&rest.body);
    let expected: String = (1..=4_000).map(|n| padded_event(n, 200)).collect();
    assert!(expected.starts_with(&text), "events are missing");
    assert!(!ended || text == expected, "ended after {end} bytes");
    let resumed = aborting.counts.resumed.load(Ordering::Relaxed)
        + other.counts.resumed.load(Ordering::Relaxed);
    (ended, resumed)
}

/// Guards against a stream that the backend server aborts because its caller paused, and
/// that is lost although its route allows to resume it.
#[test]
fn stream_aborted_while_unread_is_resumed() {
    assert_eq!(read_after_an_abort(Class::Resumable), (true, 1));
}

/// Guards against such a stream that ends as if it was complete.
#[test]
fn stream_aborted_while_unread_that_cannot_be_resumed_is_broken() {
    assert_eq!(read_after_an_abort(Class::Stream), (false, 0));
}

/// Guards against callers that do not read and thereby delay or break the others.
#[test]
fn sound_callers_are_not_affected_by_one_that_reads_nothing() {
    let unread = StreamServer::start("i-1", ENDLESS);
    let shared = entry(Class::Stream, &[&unread]);
    let sound = Plan {
        last: 20,
        ..ENDLESS
    };
    let server = StreamServer::start("i-2", sound);
    let mut next = document(2, Class::Stream);
    next.services[0].connections = 1_000;

    let _caller = unread_caller(&shared, "a-0");
    let backends = vec![server.backend.clone()];
    shared.publish(super::fixtures::reply(2, next, backends));
    let expected: String = (1..=20).map(|n| padded_event(n, 200)).collect();
    let end = Instant::now() + Duration::from_secs(10);
    let slowest = thread::scope(|scope| {
        let callers: Vec<_> = (0..200)
            .map(|n| {
                let (entry, expected) = (&shared, &expected);
                scope.spawn(move || {
                    let mut slowest = Duration::ZERO;
                    let mut round = 0;
                    while Instant::now() < end {
                        let begun = Instant::now();
                        let got = entry.ask(&request(&format!("s-{n}-{round}"), "", ""));
                        slowest = slowest.max(begun.elapsed());
                        assert_eq!(got.status, 200, "{}", got.body);
                        assert!(dechunk(&got.body) == (expected.clone(), true));
                        round += 1;
                        thread::sleep(Duration::from_millis(500));
                    }
                    slowest
                })
            })
            .collect();
        let results = callers.into_iter().map(|caller| caller.join().unwrap());
        results.max().unwrap()
    });

    println!("slowest sound caller: {slowest:?}");
    assert!(slowest < Duration::from_secs(2), "{slowest:?}");
}
