//! Tests of the bounds on the memory and the connections of an entry.

use super::fixtures::{Action, Entry, Server, answer, read_answer, request};
use crate::{site::fixtures::document, support::wait::eventually};
use cardamomtally::{
    direct::daemon::DirectSettings,
    listen::capacity::{CapacityBounds, CapacitySettings},
    prelude::*,
    scheduling::settings::{Mode, SchedulingSettings},
    site::{backend::Backend, document::Class},
};
use std::{
    io::{Read as _, Write as _},
    net::{TcpListener, TcpStream},
    sync::atomic::Ordering,
    thread,
    time::Instant,
};

/// A VM with so little memory that a few large messages fill it: 6.2 MB are held in total.
const TINY_VM_MB: u32 = 16;
const LARGE: usize = 2_800_000;

fn tiny_vm(settings: &mut DirectSettings) {
    settings.scheduling = Some(SchedulingSettings::default());
    settings.capacity.memory_mb = Some(TINY_VM_MB);
}

fn entry(class: Class, backends: &[Backend], change: impl FnOnce(&mut DirectSettings)) -> Entry {
    let mut document = document(1, class);
    document.services[0].connections = 1_000;
    Entry::configured(document, backends, change)
}

fn held(entry: &Entry) -> usize {
    entry.app.memory.used().load(Ordering::Acquire)
}

/// A backend server that never answers large requests.
fn holding_server() -> Server {
    Server::start("i-1", |seen, _| {
        if seen.body.len() > 1_000 {
            return vec![Action::AwaitClose];
        }
        vec![answer(seen, "200 OK", "", "done")]
    })
}

fn send_large(entry: &Entry, id: &str) -> TcpStream {
    let mut caller = entry.connect();
    let text = request(id, "", &"x".repeat(LARGE));
    caller.write_all(text.as_bytes()).unwrap();
    caller
}

/// Announces a large body and sends nothing of it.
fn announce_large(entry: &Entry, id: &str) -> TcpStream {
    let mut caller = entry.connect();
    let text =
        request(id, "", "").replace("Content-Length: 0", &format!("Content-Length: {LARGE}"));
    caller.write_all(text.as_bytes()).unwrap();
    caller
}

/// Guards against request bodies that together take more memory than the VM has.
#[test]
fn large_request_is_refused_before_its_body_while_memory_is_short() {
    let server = holding_server();
    let entry = entry(Class::Repeatable, &[server.backend()], tiny_vm);
    let first = [send_large(&entry, "a-1"), send_large(&entry, "a-2")];
    eventually("both bodies are held", || held(&entry) >= 2 * LARGE);

    let refused = read_answer(&mut announce_large(&entry, "a-3"));
    let small = entry.ask(&request("a-4", "", "small"));

    assert_eq!(refused.status, 503, "{}", refused.head);
    assert_eq!(refused.header("x-cardamomtally-verdict"), Some("not-run"));
    let pause: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!((0.1..5.0).contains(&pause), "{pause}");
    assert_eq!(small.status, 200);

    drop(first);
    eventually("the bodies are released", || held(&entry) == 0);
    let mut later = send_large(&entry, "a-5");
    eventually("a large body is accepted again", || held(&entry) >= LARGE);
    later.write_all(b" ").unwrap();
}

/// Guards against a body of undeclared length that passes the check of its length.
#[test]
fn chunked_request_is_refused_when_it_grows_beyond_a_small_one() {
    let server = holding_server();
    let entry = entry(Class::Repeatable, &[server.backend()], tiny_vm);
    let _first = [send_large(&entry, "a-1"), send_large(&entry, "a-2")];
    eventually("both bodies are held", || held(&entry) >= 2 * LARGE);

    let mut caller = entry.connect();
    let head =
        request("a-3", "Transfer-Encoding: chunked\r\n", "").replace("Content-Length: 0\r\n", "");
    let body = "y".repeat(900_000);
    let text = format!("{head}{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    // The entry may close the connection before it has read everything.
    let _sent = caller.write_all(text.as_bytes());
    let refused = read_answer(&mut caller);

    assert_eq!(refused.status, 503, "{}", refused.head);
    assert_eq!(refused.header("x-cardamomtally-verdict"), Some("not-run"));
}

/// Guards against bounds that hold only where overload control is configured and on.
#[test]
fn without_overload_control_large_requests_beyond_the_memory_are_refused() {
    for mode in [None, Some(Mode::Off)] {
        let server = holding_server();
        let entry = entry(Class::Repeatable, &[server.backend()], |settings| {
            tiny_vm(settings);
            settings.scheduling = in_mode(mode);
        });
        let _first = [send_large(&entry, "a-1"), send_large(&entry, "a-2")];
        eventually("both bodies are held", || held(&entry) >= 2 * LARGE);

        let refused = read_answer(&mut announce_large(&entry, "a-3"));
        let small = entry.ask(&request("a-4", "", "small"));

        assert_eq!(refused.status, 503, "{}", refused.head);
        assert_eq!(refused.header("x-cardamomtally-verdict"), Some("not-run"));
        assert!(refused.header("retry-after").is_some(), "{}", refused.head);
        assert_eq!(small.status, 200);
        let passed_on = server.seen().iter().any(|seen| seen.head.contains("a-3"));
        assert!(!passed_on, "a refused request was passed on");
    }
}

/// Guards against stalled bodies that keep the memory from sound callers until their time
/// limit.
#[test]
fn stalled_body_gives_way_when_another_request_is_refused() {
    let server = holding_server();
    let entry = entry(Class::Repeatable, &[server.backend()], tiny_vm);
    let stall = |id| {
        let mut caller = entry.connect();
        let text = request(id, "", &"x".repeat(LARGE));
        caller
            .write_all(&text.as_bytes()[..text.len() - 1])
            .unwrap();
        caller
    };
    let mut stalled = [stall("a-1"), stall("a-2")];
    eventually("both bodies are held", || held(&entry) >= 2 * LARGE - 2);
    thread::sleep(Duration::from_millis(1_200));

    let refused = read_answer(&mut announce_large(&entry, "a-3"));
    eventually("one body was given up", || held(&entry) < 2 * LARGE - 2);
    let _later = send_large(&entry, "a-4");

    eventually("the next large body is passed on", || {
        server.seen().iter().any(|seen| seen.head.contains("a-4"))
    });
    assert_eq!(refused.status, 503, "{}", refused.head);
    let gave_way = stalled.iter_mut().find_map(|caller| {
        caller
            .set_read_timeout(Some(Duration::from_millis(300)))
            .unwrap();
        caller.peek(&mut [0]).ok().map(|_| read_answer(caller))
    });
    let gave_way = gave_way.expect("one of them has its answer");
    assert_eq!(gave_way.status, 503, "{}", gave_way.head);
    assert_eq!(gave_way.header("x-cardamomtally-verdict"), Some("not-run"));
}

fn in_mode(mode: Option<Mode>) -> Option<SchedulingSettings> {
    mode.map(|mode| SchedulingSettings {
        mode,
        ..SchedulingSettings::default()
    })
}

/// Guards against refusals where no limit on memory is known and overload control is not
/// configured or off.
#[test]
fn without_overload_control_no_request_is_refused_for_its_size() {
    for mode in [None, Some(Mode::Off)] {
        let server = holding_server();
        let entry = entry(Class::Repeatable, &[server.backend()], |settings| {
            settings.scheduling = in_mode(mode);
        });
        let _all: Vec<_> = (0..4)
            .map(|n| send_large(&entry, &format!("a-{n}")))
            .collect();

        eventually("all requests are sent", || server.seen().len() == 4);
    }
}

/// Guards against plain responses that are no longer counted when they were read but wait
/// for a slow caller.
#[test]
fn response_counts_until_its_caller_has_taken_it() {
    let text = "z".repeat(1_000_000);
    let server = Server::start("i-1", move |seen, _| {
        vec![answer(seen, "200 OK", "", &text)]
    });
    let entry = entry(Class::Repeatable, &[server.backend()], tiny_vm);

    let mut callers: Vec<_> = (0..8)
        .map(|n| {
            let mut caller = super::slow_callers::small_connection(entry.addr);
            let text = request(&format!("a-{n}"), "", "");
            caller.write_all(text.as_bytes()).unwrap();
            caller
        })
        .collect();

    eventually("responses wait for their callers", || {
        held(&entry) >= 5_000_000
    });
    thread::sleep(Duration::from_millis(300));
    let most = CapacityBounds::of(CapacitySettings {
        memory_mb: Some(TINY_VM_MB),
        max_fds: None,
    });
    // One response may have been read up to the total while others were admitted.
    assert!(
        held(&entry) <= most.total + (64 << 10) * 8,
        "{}",
        held(&entry)
    );
    let first = read_answer(&mut callers[0]);
    assert!(first.body.len() == 1_000_000 || first.status == 502);
    drop(callers);
    eventually("the responses are released", || held(&entry) == 0);
}

/// Guards against responses that fill the total for ever because nobody takes them, where
/// overload control is not configured.
#[test]
fn response_that_nobody_takes_is_released_without_overload_control() {
    let text = "z".repeat(8_000_000);
    let server = Server::start("i-1", move |seen, _| {
        vec![answer(seen, "200 OK", "", &text)]
    });
    let entry = entry(Class::Repeatable, &[server.backend()], |_| {});

    let mut caller = super::slow_callers::small_connection(entry.addr);
    let text = request("a-1", "", "");
    caller.write_all(text.as_bytes()).unwrap();
    eventually("the response waits for its caller", || {
        held(&entry) >= 8_000_000
    });
    thread::sleep(Duration::from_millis(300));
    assert!(held(&entry) >= 8_000_000, "{}", held(&entry));

    eventually("the response is released", || held(&entry) == 0);
}

/// Guards against a request to a backend server that does not read it, which is held
/// beyond its deadline.
#[test]
fn body_for_a_server_that_does_not_read_is_released_by_the_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let backend = crate::site::fixtures::backend("i-1", listener.local_addr().unwrap());
    let connections = thread::spawn(move || -> Vec<TcpStream> {
        listener.incoming().flatten().take(3).collect()
    });
    let entry = entry(Class::Once, &[backend], |settings| {
        tiny_vm(settings);
        settings.capacity.memory_mb = Some(88);
    });
    let begun = Instant::now();

    let body = "x".repeat(4_000_000);
    let got = entry.ask(&request("a-1", "", &body).replace("Deadline: 9000", "Deadline: 1200"));

    let taken = begun.elapsed();
    assert!(matches!(got.status, 502 | 504), "{}", got.head);
    assert_ne!(got.header("x-cardamomtally-verdict"), Some("not-run"));
    assert!(taken < Duration::from_millis(2_200), "{taken:?}");
    eventually("the body is released", || held(&entry) == 0);
    drop(connections);
}

/// Guards against more connections than the process has file descriptors for.
#[test]
fn callers_connections_are_bounded_by_the_file_descriptors() {
    let server = holding_server();
    let entry = entry(Class::Repeatable, &[server.backend()], |settings| {
        tiny_vm(settings);
        settings.capacity.max_fds = Some(40);
    });
    let open: Vec<_> = (0..16).map(|_| entry.connect()).collect();
    thread::sleep(Duration::from_millis(200));

    let mut waiting = entry.connect();
    waiting
        .write_all(request("a-1", "", "").as_bytes())
        .unwrap();
    waiting
        .set_read_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    assert!(
        waiting.read(&mut [0; 16]).is_err(),
        "served beside 16 others"
    );

    drop(open);
    waiting
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    assert_eq!(read_answer(&mut waiting).status, 200);
}

/// Guards against idle connections to backend servers that use up the file descriptors.
#[test]
fn idle_connections_to_servers_are_bounded_by_the_file_descriptors() {
    let server = Server::start("i-1", |seen, number| {
        let pause = Action::Wait(Duration::from_millis(400));
        let done = answer(seen, "200 OK", "", "done");
        if number < 12 {
            vec![pause, done]
        } else {
            vec![done]
        }
    });
    let entry = entry(Class::Repeatable, &[server.backend()], |settings| {
        tiny_vm(settings);
        settings.capacity.max_fds = Some(50);
    });

    thread::scope(|scope| {
        for number in 0..12 {
            let entry = &entry;
            scope.spawn(move || entry.ask(&request(&format!("a-{number}"), "", "")));
        }
    });

    assert!(
        entry.app.pool.idle_count() <= 5,
        "{}",
        entry.app.pool.idle_count()
    );
    assert_eq!(entry.ask(&request("a-99", "", "")).status, 200);
}

/// Guards against bounds that do not fit the VM, or that are lost with a missing limit.
#[test]
fn bounds_follow_the_limits_of_the_vm() {
    let of = |memory_mb, max_fds| CapacityBounds::of(CapacitySettings { memory_mb, max_fds });
    for memory_mb in [32_u32, 88, 96, 220, 4_096] {
        let bounds = of(Some(memory_mb), Some(3_075));
        let memory = (memory_mb as usize) << 20;
        // 200 stalled streams with two sockets each; the kernel doubles the size.
        let sockets = 200 * 2 * 2 * bounds.socket.unwrap();
        assert!(
            bounds.limit + sockets < memory * 3 / 4 || memory_mb < 88,
            "{bounds:?}"
        );
        assert!(bounds.message <= bounds.total && bounds.total <= bounds.limit);
        assert!(2 * bounds.callers.unwrap() + bounds.idle.unwrap() < 3_075);
    }
    let unknown = of(None, None);
    let former = CapacityBounds::default();
    assert_eq!(
        (unknown.total, unknown.message),
        (former.total, former.message)
    );
    assert_eq!(
        (unknown.callers, unknown.idle, unknown.socket),
        (None, None, None)
    );
}
