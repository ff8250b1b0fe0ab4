//! End-to-end tests with real processes: requests from the caller through entry
//! and agent to the engine and back, and tickets through control to all processes.

use crate::support::{
    Ticket,
    caller::expected,
    eventually,
    site::PARTNER,
    small::{LARGE, SMALL, WORKSPACE, first_ticket, small, start_serving},
};
use cardamomtally_standin::engine::{ERROR_TEXT, Resumption};
use std::{
    io::{BufRead as _, BufReader, Lines},
    process::{Child, ChildStderr, Command, Stdio},
};

#[test]
fn request_passes_from_caller_to_engine_and_back() {
    let site = start_serving(small());
    let caller = site.caller("entry-1", WORKSPACE);

    let plain = caller.chat(SMALL, "spruce", 5);
    let streamed = caller.stream(LARGE, "alder", 7);

    assert_eq!(
        plain.content(),
        Some(expected("spruce", 5)),
        "{}",
        plain.text()
    );
    assert_eq!(
        streamed.content(),
        Some(expected("alder", 7)),
        "{}",
        streamed.text()
    );
    assert!(plain.header("x-request-id").is_some());
}

#[test]
fn submission_runs_once_and_its_resending_gets_the_first_answer() {
    let site = start_serving(small());
    let first = site.caller("entry-1", WORKSPACE);
    let second = site.caller("entry-2", WORKSPACE);

    let one = first.submit("order-7", "cards");
    let again = second.submit("order-7", "cards");
    let keyless = first.call("POST", "/queue/jobs", &[], b"other".to_vec());

    assert_eq!(one.status, 201, "{}", one.text());
    assert_eq!((again.status, again.body), (201, one.body));
    assert_eq!((keyless.status, keyless.verdict()), (400, Some("not-run")));
    assert_eq!(site.service("gla-q1").runs().by_body["cards"], 1);
    assert!(!site.service("gla-q1").runs().by_body.contains_key("other"));
}

#[test]
fn ticket_withdraws_a_version_everywhere() {
    let site = start_serving(small());

    site.submit(&Ticket::new(PARTNER, 2).version(LARGE, 1.0, "withdrawn"));

    for entry in ["entry-1", "entry-2"] {
        let caller = site.caller(entry, WORKSPACE);
        eventually("the version is refused", || {
            caller.chat(LARGE, "late", 1).verdict() == Some("not-run")
        });
        assert!(caller.chat(SMALL, "fine", 1).ok());
    }
}

#[test]
fn tickets_of_equal_number_have_one_winner() {
    let site = start_serving(small());
    let ours = Ticket::new(PARTNER, 2).version(LARGE, 2.0, "in-service");
    let theirs = Ticket::new(PARTNER, 2).version(LARGE, 3.0, "in-service");

    site.submit(&ours);
    let repeated = site.submit_to("control-2", &ours);
    let refused = site.submit_to("control-3", &theirs);
    let old = site.submit_to("control-1", &first_ticket(&site));

    assert_eq!(repeated.status, 200);
    assert_eq!(repeated.json()["repeated"], true);
    assert_eq!(refused.status, 409);
    // Resending the first ticket returns its first answer again.
    assert_eq!(old.status, 200);
}

#[test]
fn site_leaves_no_process_behind() {
    let mut site = start_serving(small());
    let names = ["control-1", "entry-1", "gla-e1"];
    let ids = names.map(|name| site.process(name).id());
    let alive = |id: &u32| std::path::Path::new(&format!("/proc/{id}")).exists();
    let before = ids.iter().filter(|id| alive(id)).count();

    drop(site);

    assert_eq!(before, names.len());
    assert!(!ids.iter().any(alive));
}

/// Starts the demo, waits until its first ticket is accepted, and returns the
/// process with the lines of output that follow.
fn start_demo() -> (Child, Lines<BufReader<ChildStderr>>) {
    let mut demo = Command::new(env!("CARGO_BIN_EXE_cardamomtally"))
        .args(["demo", "--partner", "prairie"])
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the demo starts");
    let mut lines = BufReader::new(demo.stderr.take().unwrap()).lines();
    let mut printed = Vec::new();
    while !printed
        .last()
        .is_some_and(|line: &String| line.contains("Accepted"))
    {
        let Some(line) = lines.next() else {
            panic!(
                "the demo ended before its first ticket was accepted: {}",
                printed.join("\n")
            );
        };
        printed.push(line.unwrap());
    }
    (demo, lines)
}

/// Returns the process ids of a process's children.
fn children(parent: u32) -> Vec<String> {
    let listed = std::fs::read_to_string(format!("/proc/{parent}/task/{parent}/children"));
    let listed = listed.unwrap_or_default();
    listed.split_whitespace().map(ToOwned::to_owned).collect()
}

/// Returns whether a process is running. A zombie, which has ended but has not been
/// waited for, is not running.
fn is_running(id: &String) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    !status.is_empty() && !status.contains("State:\tZ")
}

#[test]
fn demo_completes_every_step() {
    let (mut demo, lines) = start_demo();

    let rest: Vec<_> = lines.map(Result::unwrap).collect();
    let status = demo.wait().unwrap();

    assert!(status.success(), "{}", rest.join("\n"));
}

#[test]
fn interrupted_demo_leaves_no_process_behind() {
    let (mut demo, _lines) = start_demo();
    let started = children(demo.id());

    let pid = libc::pid_t::try_from(demo.id()).unwrap();
    // SAFETY: `kill` takes no pointers, and the demo has not been waited for.
    unsafe { libc::kill(pid, libc::SIGINT) };
    let status = demo.wait().unwrap();

    assert!(!status.success());
    assert!(started.len() > 10, "{started:?}");
    eventually("the demo's processes have ended", || {
        !started.iter().any(is_running)
    });
}

/// Guards against an error's text in a caller's stream, and against one that looks complete.
#[test]
fn caller_of_a_stream_that_its_engine_does_not_continue_sees_the_break_alone() {
    let site = start_serving(small());
    let caller = site.caller("entry-1", WORKSPACE);
    for (resumption, number) in [
        Resumption::Error(500),
        Resumption::TextInStream,
        Resumption::HeadInStream,
        Resumption::ErrorEvent,
        Resumption::EndsAtOnce,
    ]
    .into_iter()
    .zip(0..)
    {
        for name in ["gla-e1", "dun-e1"] {
            site.engine(name).update_faults(|faults| {
                faults.truncated = 1;
                faults.resumption = resumption;
            });
        }
        let tag = format!("spruce{number}");

        let reply = caller.stream(SMALL, &tag, 5);

        let text = reply.text();
        assert_eq!(text.matches(&*format!("{tag}.")).count(), 5, "{text}");
        assert_eq!(text.matches("event: error").count(), 1, "{text}");
        for foreign in [ERROR_TEXT, "HTTP/1.1", "[DONE]"] {
            assert!(!text.contains(foreign), "{resumption:?}: {text}");
        }
    }
}
