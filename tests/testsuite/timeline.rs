//! The time line: order of events, ring buffer, file, merging and rendering.

use cardamomtally::{
    core::clock::{Clock, Mono},
    timeline::{Event, Recorder, Stamp, merge::merge, render},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// A clock whose wall time the test sets. Its monotonic time is always 0.
#[derive(Debug, Default)]
struct ManualClock {
    wall_micros: AtomicU64,
}

impl Clock for ManualClock {
    fn now(&self) -> Mono {
        Mono(0)
    }

    fn wall_micros(&self) -> u64 {
        self.wall_micros.load(Ordering::Relaxed)
    }
}

fn recorder(process: &str, wall_micros: u64, limit: usize) -> Recorder {
    let clock = ManualClock {
        wall_micros: wall_micros.into(),
    };
    Recorder::new(process, Arc::new(clock), limit)
}

fn texts(events: &[Event]) -> Vec<&str> {
    events.iter().map(|e| e.text.as_str()).collect()
}

#[test]
fn an_effect_never_precedes_its_cause_though_its_clock_is_behind() {
    let ahead = recorder("entry", 9_000_000, 8);
    let behind = recorder("agent", 1_000_000, 8);

    ahead.record("request", &"request 1", "sent");
    behind.observe(ahead.stamp());
    behind.record("attempt", &"request 1", "received");

    let merged = merge(vec![behind.events(), ahead.events()], None);
    assert_eq!(texts(&merged), ["sent", "received"]);
}

#[test]
fn the_ring_keeps_the_latest_events() {
    let recorder = recorder("entry", 0, 2);

    for text in ["one", "two", "three"] {
        recorder.record("request", &"request 1", text);
    }

    assert_eq!(texts(&recorder.events()), ["two", "three"]);
}

#[test]
fn a_recorder_without_capacity_records_nothing() {
    let recorder = recorder("entry", 0, 0);

    recorder.record("request", &"request 1", "one");

    assert_eq!(recorder.events(), []);
}

#[test]
fn merging_filters_by_subject_and_drops_duplicates() {
    let recorder = recorder("entry", 0, 8);
    recorder.record("request", &"request 1", "one");
    recorder.record("request", &"request 2", "two");

    let merged = merge(
        vec![recorder.events(), recorder.events()],
        Some("request 2"),
    );

    assert_eq!(texts(&merged), ["two"]);
}

#[test]
fn html_pages_escape_event_texts() {
    let event = Event {
        at: Stamp(3_723_004 << 16 | 5),
        process: "entry-1".into(),
        part: "request".into(),
        subject: "request 1".to_owned(),
        text: "<script>".to_owned(),
    };

    let text = render::text(std::slice::from_ref(&event));
    let html = render::html(&[event]);

    assert_eq!(text, "01:02:03.004+5 entry-1 request request 1: <script>\n");
    assert!(html.contains("&lt;script&gt;"), "{html}");
    assert!(!html.contains("<script>"), "{html}");
}

#[test]
fn the_file_gets_each_event_as_a_json_line() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("events");
    let recorder = recorder("entry", 5_000, 8)
        .with_file(&path)
        .expect("a file");

    recorder.record("request", &"request 1", "one");
    recorder.record("request", &"request 2", "two");

    let lines = wait_for_lines(&path, 2);
    let events: Vec<Event> = lines
        .iter()
        .map(|line| serde_json::from_str(line).expect("an event"))
        .collect();
    assert_eq!(events, recorder.events());
}

fn wait_for_lines(path: &std::path::Path, count: usize) -> Vec<String> {
    let deadline = Instant::now() + Duration::from_secs(30);
    loop {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let lines: Vec<String> = text.lines().map(str::to_owned).collect();
        if lines.len() >= count || Instant::now() > deadline {
            return lines;
        }
        std::thread::yield_now();
    }
}
