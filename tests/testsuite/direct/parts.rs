//! Tests of reading prompt parts, load headers and events.

use super::fixtures::event;
use bytes::Bytes;
use cardamomtally::direct::{
    fleet::statement::Statement,
    link::attempt,
    request::{
        call::{self, PromptPart},
        events::EventSplitter,
        names::HeaderNames,
    },
};
use http::{HeaderMap, HeaderValue, StatusCode};
use proptest::prelude::*;
use std::time::Duration;

fn headers(name: &'static str, value: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(name, HeaderValue::from_str(value).unwrap());
    headers
}

#[test]
fn parts_of_a_prompt_are_read_in_order() {
    let parts = call::parse_parts("5c1e:800, ff:410");

    let expected = [(0x5c1e, 800), (0xff, 410)].map(|(id, tokens)| PromptPart { id, tokens });
    assert_eq!(parts, expected);
}

#[test]
fn invalid_part_ends_the_list() {
    assert_eq!(call::parse_parts("aa:1,bb,cc:3").len(), 1);
    assert!(call::parse_parts("").is_empty());
}

#[test]
fn loads_and_tokens_are_read() {
    let names = HeaderNames::default();
    let id = HeaderValue::from_static("a-1");
    let load = |text| {
        let mut headers = headers("cardamomtally-load", text);
        headers.insert("cardamomtally-attempt", id.clone());
        let statement = Statement::read(&names, &id, StatusCode::OK, &headers)?;
        statement.load.map(|load| (load.running, load.waiting))
    };

    assert_eq!(load("3, 2,8"), Some((3, 2)));
    assert_eq!(load("x,2,8"), None);
    assert_eq!(call::parse_tokens("1460,80"), (1460, 80));
    assert_eq!(call::parse_tokens("nonsense"), (0, 0));
}

#[test]
fn statement_of_another_backend_server_or_request_is_not_read() {
    let names = HeaderNames::default();
    let (own, other) = (
        HeaderValue::from_static("a-1"),
        HeaderValue::from_static("a-2"),
    );
    let mut answer = headers("cardamomtally-limit", "2.5");
    answer.insert("cardamomtally-attempt", own.clone());
    let read = |id, status| Statement::read(&names, id, status, &answer);

    let limit = read(&own, StatusCode::SERVICE_UNAVAILABLE).and_then(|s| s.limit);
    assert_eq!(limit, Some(2.5));
    assert_eq!(read(&own, StatusCode::MISDIRECTED_REQUEST), None);
    assert_eq!(read(&other, StatusCode::OK), None);
}

#[test]
fn idle_limit_is_70_percent_of_the_keep_alive_timeout() {
    let keep = attempt::parse_keep_alive(&headers("keep-alive", "timeout=2, max=9"));

    assert_eq!(keep, Some(Duration::from_millis(1_400)));
    assert_eq!(attempt::parse_keep_alive(&HeaderMap::new()), None);
}

proptest! {
    #[test]
    fn events_are_complete_however_the_bytes_are_split(count in 1_u64..8, cuts in prop::collection::vec(1_usize..40, 1..30)) {
        let text: String = (1..=count).map(event).collect();
        let mut rest = text.as_bytes();
        let mut splitter = EventSplitter::default();
        let (mut joined, mut last) = (Vec::new(), None);

        for cut in cuts.iter().cycle() {
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            rest = after;
            if let Some(events) = splitter.push(&Bytes::copy_from_slice(piece)).unwrap() {
                prop_assert!(events.bytes.ends_with(b"\n\n"));
                prop_assert!(events.first <= events.last);
                joined.extend_from_slice(&events.bytes);
                last = events.last;
            }
            if rest.is_empty() {
                break;
            }
        }

        prop_assert_eq!(joined, text.into_bytes());
        prop_assert_eq!(last, Some(count));
        prop_assert!(!splitter.is_partial());
    }
}
