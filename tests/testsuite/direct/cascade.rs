//! Cascades by an answer's own confidence.

use super::fixtures::{Entry, Server, dechunk, events, header, request, stream_end, stream_head};
use crate::site::fixtures::document;
use cardamomtally::{
    direct::escalate,
    routing::budget::{Budget, Cause},
    site::document::{Class, Document},
};
use proptest::prelude::*;

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
fn sure_answer_of_the_smallest_model_stands() {
    let server = server("90");
    let entry = Entry::with(cascade(), &[&server]);

    entry.ask(&request("a-1", "Cardamomtally-Model: *\r\n", ""));

    assert_eq!(models(&server), ["small"]);
}

#[test]
fn doubtful_answer_is_dropped_for_the_largest_models() {
    let server = server("5");
    let entry = Entry::with(cascade(), &[&server]);

    let got = entry.ask(&request("a-1", "Cardamomtally-Model: *\r\n", ""));

    assert_eq!(models(&server), ["small", "large"]);
    assert_eq!(got.header("cardamomtally-confidence"), Some("95"));
    assert!(dechunk(&got.body).0.contains("piece 3"));
}

#[test]
fn model_that_the_caller_names_is_kept() {
    let server = server("5");
    let entry = Entry::with(cascade(), &[&server]);

    entry.ask(&request("a-1", "Cardamomtally-Model: small\r\n", ""));

    assert_eq!(models(&server), ["small"]);
}

#[test]
fn escalations_leave_part_of_the_budget_to_failures() {
    let mut budget = Budget::with_burst(0.0, 8.0);

    let spent = (0..20).filter(|_| budget.spend_above(0.5)).count();
    let failures = (0..20).filter(|_| budget.spend(Cause::Failed)).count();

    assert_eq!((spent, failures), (4, 4));
}

#[test]
fn largest_model_and_unknown_confidence_stand() {
    assert_eq!(escalate::next(2, 3, Some(0.0), 0.0), None);
    assert_eq!(escalate::next(0, 3, None, 0.0), None);
    assert_eq!(escalate::next(0, 1, Some(0.0), 0.0), None);
    assert_eq!(escalate::next(0, 3, Some(0.0), 0.0), Some(2));
}

proptest! {
    #[test]
    fn fuller_backend_servers_drop_no_more_answers(confidence in 0.0..100.0_f64, load in 0.0..2.0_f64, more in 0.0..1.0_f64) {
        let drops = |load| escalate::next(0, 3, Some(confidence), load).is_some();

        prop_assert!(!drops(load + more) || drops(load));
    }
}
