//! Tests of escalation to a larger model by an answer's confidence.

use super::fixtures::{
    Action, Entry, Server, dechunk, events, header, reply, request, stream_end, stream_head,
};
use crate::site::fixtures::document;
use cardamomtally::{
    direct::{exchange::peers::Knowledge as _, serve::escalate},
    prelude::*,
    routing::{
        budget::{Budget, Cause},
        rendezvous,
    },
    scheduling::settings::{Mode, SchedulingSettings},
    site::document::{Class, Document},
};
use proptest::prelude::*;
use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

fn cascade() -> Document {
    let mut document = document(1, Class::Resumable);
    document.routes[0].cascade = vec!["small".into(), "middle".into(), "large".into()];
    document
}

fn server(confidence: &'static str) -> Server {
    Server::start("i-1", move |seen, _| {
        let small = header(&seen.head, "cardamomtally-model") == Some("small");
        let own = if small { confidence } else { "95" };
        let more = format!("Cardamomtally-Confidence: {own}\r\n");
        let count = if small { 2 } else { 3 };
        vec![stream_head(seen, &more), events(1..=count), stream_end()]
    })
}

fn models(server: &Server) -> Vec<String> {
    let seen = server.seen();
    let models = seen.iter().map(|s| header(&s.head, "cardamomtally-model"));
    models.map(|m| m.unwrap_or("none").to_owned()).collect()
}

#[test]
fn confident_answer_of_the_smallest_model_is_kept() {
    let server = server("90");
    let entry = Entry::with(cascade(), &[&server]);

    entry.ask(&request("a-1", "Cardamomtally-Model: *\r\n", ""));

    assert_eq!(models(&server), ["small"]);
}

#[test]
fn answer_with_low_confidence_is_replaced_by_the_largest_models() {
    let server = server("5");
    let entry = Entry::with(cascade(), &[&server]);

    let got = entry.ask(&request("a-1", "Cardamomtally-Model: *\r\n", ""));

    assert_eq!(models(&server), ["small", "large"]);
    assert_eq!(got.header("cardamomtally-confidence"), Some("95"));
    assert!(dechunk(&got.body).0.contains("piece 3"));
}

#[test]
fn answer_of_the_large_model_is_resumed_elsewhere() {
    let servers = ["i-1", "i-2", "i-3"].map(|instance| {
        Server::start(instance, |seen, _| {
            let small = header(&seen.head, "cardamomtally-model") == Some("small");
            let last = header(&seen.head, "last-event-id").is_some();
            let confidence = if small { "5" } else { "95" };
            let head = stream_head(seen, &format!("Cardamomtally-Confidence: {confidence}\r\n"));
            match (small, last) {
                (true, _) => vec![head, events(1..=1), stream_end()],
                (false, false) => vec![head, events(1..=2), Action::Close],
                (false, true) => vec![head, events(3..=4), stream_end()],
            }
        })
    });
    let entry = Entry::with(cascade(), &servers.each_ref());

    let got = entry.ask(&request("a-1", "Cardamomtally-Model: *\r\n", ""));

    let (text, ended) = dechunk(&got.body);
    assert!(ended && text.contains("piece 4"), "{text}");
    let asked: usize = servers.iter().map(|server| server.seen().len()).sum();
    assert_eq!(asked, 3);
}

#[test]
fn model_chosen_by_the_caller_is_kept() {
    let server = server("5");
    let entry = Entry::with(cascade(), &[&server]);

    entry.ask(&request("a-1", "Cardamomtally-Model: small\r\n", ""));

    assert_eq!(models(&server), ["small"]);
}

/// Returns the models that are asked for a prompt with a doubtful answer, after some short
/// ones, while other entries report `wait` milliseconds of work at the backend server.
fn models_under_load(mode: Option<Mode>, wait: u32, tokens: u32) -> Vec<String> {
    let server = server("40");
    let entry = Entry::with_settings(Duration::from_mins(1), |settings| {
        settings.scheduling = mode.map(|mode| SchedulingSettings {
            mode,
            by_forecast: false,
            // What the queue would hold is not part of these tests.
            hold_share: 0.0,
            ..SchedulingSettings::default()
        });
    });
    let mut document = cascade();
    document.routes[0].target = Duration::from_secs(4);
    entry.publish(reply(1, document, vec![server.backend()]));
    let ask = |id: &str, model: &str, tokens: u32| {
        let headers =
            format!("Cardamomtally-Model: {model}\r\nCardamomtally-Tokens: {tokens},50\r\n");
        entry.ask(&request(id, &headers, ""));
    };
    let shorts = 8;
    for number in 0..shorts {
        ask(&format!("s-{number}"), "small", 800);
    }
    let key = rendezvous::seed("i-1");
    let (done, app) = (AtomicBool::new(false), Arc::clone(&entry.app));
    thread::scope(|scope| {
        // Sums expire after some tenths of a second.
        scope.spawn(|| {
            while !done.load(Ordering::Acquire) {
                app.apply_peer_sums(&"entry-2".into(), vec![(key, wait)]);
                thread::sleep(Duration::from_millis(50));
            }
        });
        thread::sleep(Duration::from_millis(50));
        ask("a-1", "*", tokens);
        done.store(true, Ordering::Release);
    });
    models(&server).split_off(shorts)
}

/// Guards against escalations of long prompts that delay first answers during a burst.
#[test]
fn escalation_that_displaces_more_than_it_gains_is_denied_under_load() {
    assert_eq!(models_under_load(Some(Mode::On), 2_000, 12_000), ["small"]);
    assert_eq!(
        models_under_load(Some(Mode::On), 2_000, 800),
        ["small", "large"]
    );
}

/// Guards against denied escalations where there is room, or where overload control is off.
#[test]
fn escalation_is_decided_as_before_with_room_or_without_overload_control() {
    let escalated = ["small", "large"];
    assert_eq!(models_under_load(Some(Mode::On), 0, 12_000), escalated);
    assert_eq!(models_under_load(Some(Mode::On), 300, 12_000), escalated);
    assert_eq!(models_under_load(Some(Mode::Off), 2_000, 12_000), escalated);
    assert_eq!(models_under_load(None, 2_000, 12_000), escalated);
}

#[test]
fn escalations_leave_part_of_the_budget_for_failures() {
    let mut budget = Budget::with_burst(0.0, 8.0);

    let spent = (0..20).filter(|_| budget.spend_optional(0.5)).count();
    let failures = (0..20).filter(|_| budget.spend(Cause::Failed)).count();

    assert_eq!((spent, failures), (4, 4));
}

#[test]
fn largest_model_and_unknown_confidence_are_not_escalated() {
    assert_eq!(escalate::next_model(2, 3), None);
    assert!(!escalate::should_escalate(None, 0.0));
    assert_eq!(escalate::next_model(0, 1), None);
    assert_eq!(escalate::next_model(0, 0), None);
    assert_eq!(escalate::next_model(0, 3), Some(2));
    assert!(escalate::should_escalate(Some(0.0), 0.0));
}

#[test]
fn threshold_falls_with_the_time_used() {
    assert!(escalate::should_escalate(Some(10.0), 1.0));
    assert!(!escalate::should_escalate(Some(20.0), 1.0));
    assert!(!escalate::should_escalate(Some(0.0), 3.0));
}

proptest! {
    #[test]
    fn less_remaining_time_never_causes_an_escalation(confidence in 0.0..100.0_f64, used in 0.0..4.0_f64, more in 0.0..2.0_f64) {
        let escalates = |used| escalate::should_escalate(Some(confidence), used);

        prop_assert!(!escalates(used + more) || escalates(used));
    }
}
