//! Renders merged events as text or as a self-contained HTML page.

use super::{Event, Stamp};
use std::{collections::BTreeSet, fmt::Write as _};

/// Milliseconds in a day, to reduce a stamp to the time of day.
const DAY_MS: u64 = 86_400_000;

/// Width of the column of one process in the image, in pixels.
const LANE_PX: usize = 160;

/// Height of the row of one event in the image, in pixels.
const ROW_PX: usize = 18;

/// Renders one line of text for each event: time of day, counter, process, part,
/// subject and text. Process and part are padded to the same width.
pub fn text(events: &[Event]) -> String {
    let width = |of: fn(&Event) -> usize| events.iter().map(of).max().unwrap_or(0);
    let process = width(|e| e.process.len());
    let part = width(|e| e.part.len());
    let mut out = String::new();
    for event in events {
        let line = format_args!(
            "{} {:process$} {:part$} {}: {}",
            time_of_day(event.at),
            event.process,
            event.part,
            event.subject,
            event.text
        );
        // Writing to a string cannot fail.
        let _infallible = writeln!(out, "{line}");
    }
    out
}

/// Renders an HTML page with an image that has a column for each process and a row
/// for each event.
pub fn html(events: &[Event]) -> String {
    let processes: BTreeSet<&str> = events.iter().map(|e| &*e.process).collect();
    let lanes: Vec<&str> = processes.into_iter().collect();
    let mut out = String::from(concat!(
        "<!doctype html><meta charset=\"utf-8\"><title>Time line</title><style>",
        "body{font:13px sans-serif;margin:1em}text{font:11px sans-serif}",
        "line{stroke:#ccc}circle{fill:#27a}</style><h1>Time line</h1>"
    ));
    let width = LANE_PX * lanes.len() + 900;
    let height = ROW_PX * (events.len() + 2);
    let _infallible = write!(out, "<svg width=\"{width}\" height=\"{height}\">");
    for (i, lane) in lanes.iter().enumerate() {
        draw_lane(&mut out, i, lane, height);
    }
    for (row, event) in events.iter().enumerate() {
        let lane = lanes.iter().position(|l| *l == &*event.process);
        draw_event(&mut out, row, lane.unwrap_or(0), lanes.len(), event);
    }
    out.push_str("</svg>\n");
    out
}

fn draw_lane(out: &mut String, lane: usize, name: &str, height: usize) {
    let x = lane * LANE_PX + LANE_PX / 2;
    let _infallible = write!(
        out,
        "<text x=\"{x}\" y=\"12\" text-anchor=\"middle\">{}</text>\
         <line x1=\"{x}\" x2=\"{x}\" y1=\"18\" y2=\"{height}\"/>",
        escape(name)
    );
}

fn draw_event(out: &mut String, row: usize, lane: usize, lanes: usize, event: &Event) {
    let x = lane * LANE_PX + LANE_PX / 2;
    let y = (row + 2) * ROW_PX;
    let label = LANE_PX * lanes + 8;
    let text = format!(
        "{} {} {}: {}",
        time_of_day(event.at),
        event.part,
        event.subject,
        event.text
    );
    let _infallible = write!(
        out,
        "<circle cx=\"{x}\" cy=\"{y}\" r=\"4\"/><text x=\"{label}\" y=\"{}\">{}</text>",
        y + 4,
        escape(&text)
    );
}

/// Formats a stamp as the time of day in UTC and the counter, such as
/// `01:02:03.004+5`.
fn time_of_day(at: Stamp) -> String {
    let ms = at.wall_ms() % DAY_MS;
    let (hours, minutes) = (ms / 3_600_000, ms / 60_000 % 60);
    let (seconds, millis) = (ms / 1_000 % 60, ms % 1_000);
    let counter = at.counter();
    format!("{hours:02}:{minutes:02}:{seconds:02}.{millis:03}+{counter}")
}

/// Escapes a text for HTML content and attributes in double quotes.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
