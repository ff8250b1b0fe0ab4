//! Checks that answers are complete and belong to their requests.

use super::fixtures::*;
use bytes::Bytes;
use cardamomtally::{
    agent::validation::{AnswerFormat, Checker, Fault, check_request_id},
    net::run::{Target, Usage},
    prelude::*,
};

const OTHER_REQUEST: &str = "000000000000beef-9";

fn request() -> RequestId {
    attempt(1).request
}

fn event(id: &str, text: &str) -> String {
    format!("data: {{\"id\":\"{id}\",\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
}

fn usage(id: &str) -> String {
    format!(
        "data: {{\"id\":\"{id}\",\"choices\":[],\"usage\":{{\"prompt_tokens\":3,\"completion_tokens\":2}}}}\n\n"
    )
}

fn stream() -> String {
    let id = request().to_string();
    event(&id, "one") + &event(&id, "two") + &usage(&id) + "data: [DONE]\n\n"
}

fn push(checker: &mut Checker, text: &str) -> Result<Bytes, Fault> {
    checker.push(&Bytes::copy_from_slice(text.as_bytes()))
}

#[test]
fn complete_stream_passes_however_it_is_split() {
    let text = stream();
    for cut in 1..text.len() {
        let mut checker = Checker::new(AnswerFormat::Stream, request());
        let mut passed = push(&mut checker, &text[..cut]).unwrap().to_vec();
        passed.extend(push(&mut checker, &text[cut..]).unwrap());

        assert_eq!(checker.finish(), Ok(Bytes::new()), "cut at {cut}");
        assert_eq!(String::from_utf8(passed).unwrap(), text, "cut at {cut}");
        assert_eq!(checker.events(), 4);
        assert_eq!(
            checker.usage(),
            Usage {
                prompt: 3,
                completion: 2
            }
        );
    }
}

#[test]
fn stream_without_its_end_marker_is_rejected() {
    let mut checker = Checker::new(AnswerFormat::Stream, request());
    let text = stream().replace("data: [DONE]\n\n", "");

    push(&mut checker, &text).unwrap();

    assert_eq!(checker.finish(), Err(Fault::Truncated));
}

#[test]
fn event_of_another_request_is_never_forwarded() {
    let mut checker = Checker::new(AnswerFormat::Stream, request());
    let first = push(&mut checker, &event(&request().to_string(), "mine"));

    let crossed = push(&mut checker, &event(OTHER_REQUEST, "secret"));

    assert!(first.is_ok(), "{first:?}");
    assert_eq!(crossed, Err(Fault::WrongRequest));
}

#[test]
fn body_is_held_back_until_it_is_checked() {
    let mut checker = Checker::new(AnswerFormat::Json, request());
    let body = format!("{{\"id\":\"{OTHER_REQUEST}\",\"choices\":[]}}");

    let passed = push(&mut checker, &body);

    assert_eq!(passed, Ok(Bytes::new()));
    assert_eq!(checker.finish(), Err(Fault::WrongRequest));
}

#[test]
fn truncated_body_is_rejected() {
    let mut checker = Checker::new(AnswerFormat::Json, request());
    let body = format!("{{\"id\":\"{}\",\"choices\":[", request());

    push(&mut checker, &body).unwrap();

    assert_eq!(checker.finish(), Err(Fault::Truncated));
}

#[test]
fn resumed_stream_continues_at_the_next_event() {
    let id = request().to_string();
    let mut checker = Checker::new(AnswerFormat::Stream, request());
    let half = event(&id, "two");
    push(&mut checker, &event(&id, "one")).unwrap();
    push(&mut checker, &half[..20]).unwrap();

    checker.resume();
    let resumed = push(&mut checker, &half).unwrap();

    assert_eq!(resumed, Bytes::from(half));
    assert_eq!(checker.events(), 2);
}

#[test]
fn request_id_in_the_header_is_checked() {
    let model = Target::Version(version("a@1"));
    let service = Target::Service(version("queue"));
    let mine = request().to_string();

    assert_eq!(check_request_id(&model, request(), Some(&mine)), Ok(()));
    assert_eq!(
        check_request_id(&model, request(), Some(OTHER_REQUEST)),
        Err(Fault::WrongRequest)
    );
    assert_eq!(
        check_request_id(&model, request(), None),
        Err(Fault::MissingId)
    );
    assert_eq!(check_request_id(&service, request(), None), Ok(()));
    assert_eq!(
        check_request_id(&service, request(), Some(OTHER_REQUEST)),
        Err(Fault::WrongRequest)
    );
}

#[test]
fn event_above_the_size_limit_is_rejected() {
    let mut checker = Checker::new(AnswerFormat::Stream, request());
    let chunk = "x".repeat(1 << 20);

    let outcome = (0..8).try_for_each(|_| push(&mut checker, &chunk).map(drop));

    assert_eq!(outcome, Err(Fault::TooLong));
}

/// Guards against a lost event: events that arrive with a faulty one are not forwarded.
#[test]
fn resumption_begins_before_events_that_came_with_a_faulty_one() {
    let id = request().to_string();
    let mut checker = Checker::new(AnswerFormat::Stream, request());
    push(&mut checker, &event(&id, "one")).unwrap();

    let cut = event(&id, "two") + "data: {\"id\":\n\n";

    assert_eq!(push(&mut checker, &cut), Err(Fault::Truncated));
    assert_eq!(checker.events(), 1);
}

/// Guards against a head, an error page or another service's text in a stream.
#[test]
fn text_that_is_no_event_is_rejected() {
    for text in [
        "HTTP/1.1 503 Busy\r\nX-Request-Id: 1\r\n\r\n",
        "overloaded\n\n",
        "try later\n\n",
        "<html>\n\n",
    ] {
        let mut checker = Checker::new(AnswerFormat::Stream, request());

        assert_eq!(push(&mut checker, text), Err(Fault::Malformed), "{text:?}");
    }
}
