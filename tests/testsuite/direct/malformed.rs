//! Numbers in answers and documents that are proper in form and absurd in size.

use super::{
    choice::{config, fleet, service},
    fixtures::{Entry, Server, answer, request},
    unscheduled::report,
};
use crate::site::fixtures::document;
use cardamomtally::{
    core::clock::SystemClock,
    direct::{
        config::{cold::ColdTimes, snapshot::ConfigSnapshot},
        fleet::{
            registry::{Registry, Requirements},
            statement::Load,
        },
        request::{call, prompt::Prompt},
    },
    prelude::*,
    site::document::{Class, Service},
};

#[test]
fn absurd_number_in_a_header_does_not_cost_the_answer() {
    for header in [
        "Keep-Alive: timeout=NaN",
        "Keep-Alive: timeout=-1",
        "Keep-Alive: timeout=1e400",
        "Cardamomtally-Limit: 1e-300",
        "Cardamomtally-Load: 4294967295,4294967295,0",
        "Cardamomtally-Confidence: NaN",
    ] {
        let more = format!("{header}\r\n");
        let server = Server::start("i-1", move |seen, _| {
            vec![answer(seen, "200 OK", &more, "done")]
        });
        let entry = Entry::start(Class::Repeatable, &[&server]);

        let got = entry.ask(&request("a-1", "", ""));

        assert_eq!((got.status, got.body.as_str()), (200, "done"), "{header}");
    }
}

#[test]
fn absurd_rate_of_a_cold_server_in_a_document_does_not_end_a_request() {
    let clock = SystemClock::default();
    let mut fleet = fleet(&["i-1"]);
    fleet.backends[0].cold_left = Some(60_000);
    let cold = ColdTimes::default().update(&fleet.backends, clock.now());
    let config = ConfigSnapshot {
        cold: Arc::new(cold),
        place: 3,
        ..config(fleet)
    };
    let registry = Arc::new(Registry::new(Arc::new(clock), "north".into()));

    for cold_rate in [1e-300, 1e300, f64::INFINITY] {
        let service = Service {
            cold_rate,
            ..service()
        };
        let wanted = Requirements {
            service: &service,
            session: 1,
            model: None,
            prompt: Prompt::default(),
            tried: &[],
            careful: false,
        };
        let _choice = registry.choose(&config, &wanted);
    }
}

/// Guards against the loss of a whole load report, or against absurd times, because of an
/// optional figure.
#[test]
fn absurd_optional_figure_of_a_load_report_is_ignored_and_the_counts_are_kept() {
    for (figures, slots, pace, ignored) in [
        ("3,2,96", Some(96), None, None),
        ("3,2,96,100", Some(96), Some(1.0), None),
        ("3,2,96,250", Some(96), Some(2.5), None),
        ("3,2,96,10000", Some(96), Some(100.0), None),
        ("3,2,0,100", None, Some(1.0), Some("slots")),
        ("3,2,x,55", None, Some(0.55), Some("slots")),
        ("3,2,,55", None, Some(0.55), Some("slots")),
        ("3,2,96,0", Some(96), None, Some("pace")),
        ("3,2,96,-5", Some(96), None, Some("pace")),
        ("3,2,96,10001", Some(96), None, Some("pace")),
        ("3,2,96,NaN", Some(96), None, Some("pace")),
        ("3,2,96,inf", Some(96), None, Some("pace")),
        ("3,2,96,", Some(96), None, Some("pace")),
        ("3,2", None, None, None),
    ] {
        let statement = report(figures);

        let load = Load {
            running: 3,
            waiting: 2,
            slots,
            pace,
        };
        assert_eq!(statement.load, Some(load), "{figures}");
        assert_eq!(statement.ignored, ignored, "{figures}");
    }
    assert_eq!(report("3,x,96,100").load, None);
    assert_eq!(report("3,x,96,100").ignored, Some("load"));
}

/// Guards against requests that fail because a time of a document is too long to be added
/// or multiplied.
#[test]
fn absurd_time_in_a_document_does_not_end_a_request() {
    for class in [Class::Repeatable, Class::Once] {
        let server = Server::start("i-1", |seen, _| vec![answer(seen, "200 OK", "", "done")]);
        let mut absurd = document(1, class);
        absurd.routes[0].attempts = 3;
        absurd.routes[0].target = Duration::MAX;
        absurd.routes[0].pause = Duration::MAX;
        absurd.routes[0].timeout = Duration::MAX;
        absurd.limits.head_time = Duration::MAX;
        absurd.limits.idle_time = Duration::MAX;
        let entry = Entry::with(absurd, &[&server]);

        let got = entry.ask(&request("a-1", "", ""));

        assert_eq!((got.status, got.body.as_str()), (200, "done"), "{class:?}");
    }
}

/// Guards against the loss of a request whose caller names more tokens than can be counted.
#[test]
fn absurd_number_of_prompt_tokens_does_not_end_a_request() {
    let parts = call::parse_parts("a:4294967295,b:4294967295");

    let prompt = call::prompt(&parts, u32::MAX);

    assert_eq!((prompt.shared, prompt.own), (u32::MAX, 0));
}
