//! Fuzz tests for the decoders of bytes that come from the network or from disk.
//!
//! They guard against decoders that panic or allocate unbounded memory on
//! malformed input. Each decoder gets arbitrary bytes, damaged copies of valid input, and
//! odd values (nested very deeply, with huge lengths or numbers) on their own and within
//! valid input. The number of cases, which `CARDAMOMTALLY_SEEDS` replaces, and the random
//! seed are fixed, so each run tests the same inputs. The peak memory of a decoder must
//! stay below a constant plus a multiple of the length of its input.

use crate::support::{
    Ticket,
    meter::peak_bytes,
    odd,
    small::{LARGE, SMALL, WORKSPACE},
};
use bytes::Bytes;
use cardamomtally::{
    agent::validation::{AnswerFormat, Checker},
    control::{machine, ticket},
    core::{
        claim::{Bill, ClaimKey, ClaimOp},
        config::{Config, VersionId},
        digest::Digest,
        engine::EngineLoad,
        id::{AttemptId, GroupId, Incarnation, Index, RequestId},
        log::StateMachine,
    },
    direct::{
        exchange::peers::Message as Datagram,
        fleet::statement::Statement,
        request::{call, names::HeaderNames},
    },
    entry::{call::Completion, frames::FrameReader},
    ledger::{self, command::Command},
    net::{
        codec, compress, delta,
        elements::{ElementLimits, ElementScanner, Excess},
        run::{Frame, Probe, RunHead, Usage},
        wire::{Identity, Poll, Request, Response, Role},
    },
    prelude::Mono,
    replica::{
        peers::{Body, Envelope},
        storage::{
            disk::Disk,
            frame::{self, End},
        },
    },
    scheduling::account::{table::Row, wire},
    settings::{self, AgentSettings, ControlSettings, EntrySettings, units::Size},
    site::{
        backend::Backend,
        document::Document,
        poll::{Poll as SitePoll, PollReply},
        state::{self, Command as SiteCommand, Fleet},
        transfer::{Part, PartRequest},
    },
};
use futures::FutureExt as _;
use http::{HeaderMap, HeaderValue, StatusCode, header::RETRY_AFTER};
use proptest::{
    prelude::{Strategy, any, prop_oneof},
    sample::Index as Position,
    test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner},
};
use std::{sync::Arc, time::Duration};

/// Number of inputs for each decoder.
const CASE_COUNT: u32 = 512;

/// Upper bound of the length of an arbitrary input, in bytes.
const INPUT_BYTES: usize = 512;

/// Size of a segment of the replicated log, in bytes.
const SEGMENT_BYTES: u64 = 1 << 20;

/// Bytes of memory that a decoder may hold at once for an input of any length, even
/// an empty one.
const FIXED_BYTES: usize = 4 << 20;

/// Bytes of memory that a decoder may hold at once for each byte of its input, in
/// addition to [`FIXED_BYTES`].
const BYTES_PER_INPUT_BYTE: usize = 1_024;

/// Returns the number of inputs for each decoder: `CARDAMOMTALLY_SEEDS`, or [`CASE_COUNT`]
/// if it is not set.
fn case_count() -> u32 {
    let count = std::env::var("CARDAMOMTALLY_SEEDS").ok();
    count.map_or(CASE_COUNT, |n| n.parse().unwrap())
}

/// Generates damaged copies of valid inputs, arbitrary bytes, odd values, and valid inputs
/// of which a part is replaced by an odd value. Without valid inputs it generates arbitrary
/// bytes only.
fn hostile_inputs(good: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let arbitrary = proptest::collection::vec(any::<u8>(), 0..INPUT_BYTES);
    if good.is_empty() {
        return arbitrary.boxed();
    }
    let position = any::<Position>();
    let damage = proptest::collection::vec((any::<Position>(), any::<u8>()), 0..6);
    let copy = proptest::sample::select(good.clone());
    let damaged =
        (copy, damage, position, any::<bool>()).prop_map(|(mut bytes, damage, cut, whole)| {
            for (at, byte) in damage {
                if !bytes.is_empty() {
                    let at = at.index(bytes.len());
                    bytes[at] = byte;
                }
            }
            if !whole {
                bytes.truncate(cut.index(bytes.len() + 1));
            }
            bytes
        });
    let odd = || proptest::sample::select(odd_values());
    let replaced = (
        proptest::sample::select(good),
        odd(),
        any::<[Position; 2]>(),
    )
        .prop_map(|(bytes, odd, ends)| {
            let mut ends = ends.map(|at| at.index(bytes.len() + 1));
            ends.sort_unstable();
            [&bytes[..ends[0]], &odd, &bytes[ends[1]..]].concat()
        });
    prop_oneof![1 => arbitrary, 3 => damaged, 1 => odd(), 2 => replaced].boxed()
}

/// Returns the odd values of all formats.
fn odd_values() -> Vec<Vec<u8>> {
    [odd::cbor(), odd::json(), odd::toml()].concat()
}

/// Runs a decoder on hostile inputs and on all odd values, and checks its peak memory on each.
fn fuzz_bytes(good: Vec<Vec<u8>>, decode: impl Fn(&[u8])) {
    let measure = |bytes: &[u8]| {
        let peak = peak_bytes(|| decode(bytes));
        let limit = FIXED_BYTES + BYTES_PER_INPUT_BYTE * bytes.len();
        let excess = format!("{peak} bytes for an input of {}", bytes.len());
        (peak > limit).then_some(excess)
    };
    for odd in odd_values() {
        assert_eq!(measure(&odd), None);
    }
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let cases = Cases {
        cases: case_count(),
        failure_persistence: None,
        ..Cases::default()
    };
    let mut runner = TestRunner::new_with_rng(cases, rng);
    let outcome = runner.run(&hostile_inputs(good), |bytes| {
        proptest::prop_assert_eq!(measure(&bytes), None);
        Ok(())
    });
    outcome.unwrap();
}

/// Runs a text decoder on hostile inputs, in which invalid UTF-8 is replaced.
fn fuzz_text(good: &[&str], decode: impl Fn(&str)) {
    let good = good.iter().map(|text| text.as_bytes().to_vec()).collect();
    fuzz_bytes(good, |bytes| decode(&String::from_utf8_lossy(bytes)));
}

fn sample_poll() -> Poll {
    Poll {
        incarnation: Incarnation(7),
        holds: Index(3),
        digest: Digest::of(b"x"),
        identity: Some(Identity {
            name: "entry-1".into(),
            role: Role::Entry,
            centre: "glasgow".into(),
            http: "127.0.0.1:1".into(),
        }),
        ..Poll::default()
    }
}

fn sample_bill() -> Bill {
    let id = VersionId {
        partner: "clydeside".into(),
        name: SMALL.into(),
    };
    Bill {
        request: sample_request(),
        partner: "clydeside".into(),
        workspace: WORKSPACE.into(),
        version: id,
        prompt_tokens: 3,
        completion_tokens: 5,
        cost_micros: 8,
    }
}

const fn sample_request() -> RequestId {
    RequestId {
        entry: Incarnation(0xfeed),
        seq: 42,
    }
}

fn sample_ops() -> Vec<ClaimOp> {
    let key = ClaimKey::request("clydeside", WORKSPACE, "k");
    vec![
        ClaimOp::Bill(sample_bill()),
        ClaimOp::Look { key },
        ClaimOp::Bills,
    ]
}

fn sample_frames() -> Vec<u8> {
    let frames = [
        Frame::Head {
            status: 200,
            media: "text/plain".into(),
        },
        Frame::Data {
            offset: 0,
            bytes: vec![1, 2, 3],
        },
        Frame::End {
            length: 3,
            usage: Usage::default(),
        },
    ];
    let bytes = frames.iter().flat_map(|frame| {
        let bytes = codec::encode(frame);
        let length = u32::try_from(bytes.len()).unwrap();
        [length.to_be_bytes().to_vec(), bytes].concat()
    });
    bytes.collect()
}

#[test]
fn tickets() {
    let good = Ticket::new("clydeside", 1)
        .centre("glasgow", "in")
        .backend(
            "gla-e1",
            Some(("glasgow", "127.0.0.1:1")),
            &[SMALL],
            &["queue"],
        )
        .version(SMALL, 0.2, "in-service")
        .rolling(LARGE, 1.0, 0.5)
        .cascade("summaries", &[SMALL, LARGE])
        .service("queue", "/queue")
        .workspace(WORKSPACE, &[SMALL], &["queue"])
        .text();

    fuzz_text(&[&good], |text| {
        let judged = ticket::check("ticket.toml", text, Some(&Config::default()));
        assert!(judged.is_ok() || judged.is_err_and(|findings| !findings.0.is_empty()));
    });
}

#[test]
fn settings_files() {
    let good = [
        include_str!("../cases/settings/good/agent-small.toml"),
        include_str!("../cases/settings/good/control-small.toml"),
        include_str!("../cases/settings/good/entry-small.toml"),
    ];

    fuzz_text(&good, |text| {
        let agent = settings::parse::<AgentSettings>("a.toml", text).map(drop);
        let control = settings::parse::<ControlSettings>("c.toml", text).map(drop);
        let entry = settings::parse::<EntrySettings>("e.toml", text).map(drop);
        let refused = [agent, control, entry].into_iter().filter_map(Result::err);
        assert!(refused.into_iter().all(|findings| !findings.0.is_empty()));
    });
}

#[test]
fn identifiers_and_units() {
    let good = [
        sample_request().to_string(),
        "feed-1-2".to_owned(),
        "64KiB".to_owned(),
    ];
    let good: Vec<_> = good.iter().map(String::as_str).collect();

    fuzz_text(&good, |text| {
        // A value that parses must be the same after formatting and parsing.
        if let Ok(id) = text.parse::<RequestId>() {
            assert_eq!(id.to_string().parse(), Ok(id));
        }
        if let Ok(id) = text.parse::<AttemptId>() {
            assert_eq!(id.to_string().parse(), Ok(id));
        }
        if let Some(size) = Size::parse(text) {
            assert_eq!(Size::parse(&size.to_string()), Some(size));
        }
        if let Some(digest) = Digest::parse(text) {
            assert_eq!(Digest::parse(&digest.to_string()), Some(digest));
        }
    });
}

#[test]
fn control_messages() {
    let good = vec![
        codec::encode(&Request::Poll(sample_poll())),
        codec::encode(&Request::Claims(sample_ops())),
        codec::encode(&Response::Unavailable {
            reason: "no quorum".to_owned(),
            refused: true,
        }),
        codec::encode(&Config::default()),
        codec::encode(&Envelope {
            from: "control-1".into(),
            hears: true,
            reads_packed: true,
            group: GroupId::CONFIG,
            body: Body::Ping,
        }),
    ];

    fuzz_bytes(good, |bytes| {
        // A message that decodes must decode again after it has been encoded, and a
        // request must be the same as before.
        if let Ok(request) = codec::decode::<Request>(bytes) {
            let again = codec::decode::<Request>(&codec::encode(&request)).unwrap();
            assert_eq!(format!("{again:?}"), format!("{request:?}"));
        }
        if let Ok(envelope) = codec::decode::<Envelope>(bytes) {
            codec::decode::<Envelope>(&codec::encode(&envelope)).unwrap();
        }
        if let Ok(response) = codec::decode::<Response>(bytes) {
            codec::decode::<Response>(&codec::encode(&response)).unwrap();
        }
    });
}

#[test]
fn configuration_patches() {
    let from = Config::default();
    let to = Config {
        index: Index(9),
        ..Config::default()
    };
    let good = vec![delta::diff(&from, &to).unwrap()];

    fuzz_bytes(good, |bytes| {
        if let Ok(config) = delta::apply(&from, bytes) {
            codec::decode::<Config>(&codec::encode(&config)).unwrap();
        }
    });
}

#[test]
fn log_commands_and_snapshots() {
    let command = Command {
        tick: None,
        ops: sample_ops(),
    };
    let mut shard = ledger::machine::Ledger::default();
    shard.apply(Index(1), &command.encode());
    let store = Arc::<machine::Store>::default();
    let good = vec![
        command.encode(),
        shard.snapshot(),
        machine::Machine::new(Arc::clone(&store)).snapshot(),
    ];

    fuzz_bytes(good, |bytes| {
        let mut shard = ledger::machine::Ledger::default();
        shard.apply(Index(1), bytes);
        let restored = shard.restore(bytes).is_ok();
        let mut config = machine::Machine::new(Arc::clone(&store));
        config.apply(Index(1), bytes);
        let both = restored && config.restore(bytes).is_ok();
        assert!(!both || !bytes.is_empty());
    });
}

#[test]
fn frames_of_an_answer() {
    fuzz_bytes(vec![sample_frames()], |bytes| {
        let whole = Bytes::copy_from_slice(bytes);
        let stream = futures::stream::iter([Ok::<_, String>(whole)]);
        let mut reader = FrameReader::new(stream, Duration::from_mins(1));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build();
        let mut offset = 0;
        runtime.unwrap().block_on(async {
            while reader
                .read(&mut offset)
                .now_or_never()
                .is_some_and(|batch| batch.is_ok())
            {}
        });
        assert!(offset <= bytes.len() as u64);
    });
}

#[test]
fn bodies_of_callers() {
    let good = [
        r#"{"model":"draft-small@1","messages":[{"role":"user","content":"hello"}],"stream":true}"#,
        r#"{"prompt":"hello","stream_options":{"include_usage":false}}"#,
    ];
    let good = good.iter().map(|text| text.as_bytes().to_vec()).collect();

    fuzz_bytes(good, |bytes| {
        if let Ok(body) = Completion::parse(bytes) {
            let sent = body.body_for(LARGE);
            let again = Completion::parse(&sent).unwrap();
            assert_eq!(again.model, LARGE);
        }
    });
}

#[test]
fn answers_of_engines() {
    let request = sample_request();
    let stream = format!("data: {{\"id\":\"{request}\",\"choices\":[]}}\n\ndata: [DONE]\n\n");
    let good = [
        stream.as_str(),
        r#"{"id":"000000000000feed-42","usage":{"prompt_tokens":1,"completion_tokens":2}}"#,
    ];

    fuzz_text(&good, |text| {
        for format in [
            AnswerFormat::Stream,
            AnswerFormat::Json,
            AnswerFormat::Plain,
        ] {
            let mut checker = Checker::new(format, request);
            let passed = checker.push(&Bytes::from(text.to_owned()));
            let passed = passed.map_or(0, |bytes| bytes.len());
            let rest = checker.finish().map_or(0, |bytes| bytes.len());
            assert!(passed + rest <= text.len());
        }
    });
}

#[test]
fn reports_and_headers() {
    let good = [
        r#"{"incarnation":1,"running":2,"queued":3,"cache_used":0.5,"versions":["a@1"]}"#,
        r#"{"backend":"b","incarnation":1,"load":{"running":1,"queued":0,"limit":2,"delay_ms":3,"warming":false,"leaving":false},"ready":true}"#,
    ];

    fuzz_text(&good, |text| {
        if let Ok(load) = serde_json::from_str::<EngineLoad>(text) {
            serde_json::to_string(&load).unwrap();
        }
        let probe = serde_json::from_str::<Probe>(text);
        let head = serde_json::from_str::<RunHead>(text);
        assert!(probe.is_err() || head.is_err());
    });
}

#[test]
fn frames_on_disk() {
    let good = [frame::frame(b"first"), frame::frame(&[0; 40])].concat();

    fuzz_bytes(vec![good], |bytes| {
        let (contents, end) = frame::split(bytes);
        let whole: usize = contents
            .iter()
            .map(|content| frame::frame(content).len())
            .sum();
        match end {
            End::Whole => assert_eq!(whole, bytes.len()),
            End::Torn(at) | End::Corrupt(at) => assert_eq!(whole, at),
        }
    });
}

#[test]
fn files_of_a_log() {
    let folder = tempfile::tempdir().unwrap();
    drop(Disk::open(folder.path(), SEGMENT_BYTES).unwrap());
    let files = std::fs::read_dir(folder.path()).unwrap();
    let files = files.map(|file| file.unwrap().path());
    let files: Vec<_> = files
        .filter(|file| file.metadata().unwrap().len() > 0)
        .collect();
    let good = files
        .iter()
        .map(|file| std::fs::read(file).unwrap())
        .collect();

    fuzz_bytes(good, |bytes| {
        for file in &files {
            let before = std::fs::read(file).unwrap();
            std::fs::write(file, bytes).unwrap();
            // A damaged file is refused with an error, or its damaged end is cut
            // off. Opening it must not panic.
            let opened = Disk::open(folder.path(), SEGMENT_BYTES).map(drop);
            assert!(opened.map_or_else(|error| !error.to_string().is_empty(), |()| true));
            std::fs::write(file, before).unwrap();
        }
    });
}

#[test]
fn messages_of_a_site() {
    let backend = Backend {
        instance: "i-1".into(),
        service: "s".into(),
        address: "10.0.0.9:80".parse().unwrap(),
        centre: "north".into(),
        version: "v1".into(),
        slots: 4,
        ready: true,
        cold_left: Some(9),
        cold_until: 9,
    };
    let fleet = Fleet {
        backends: vec![backend.clone()],
        ..Fleet::default()
    };
    let good = vec![
        codec::encode(&SitePoll::default()),
        codec::encode(&PollReply {
            fleet: Some(fleet),
            ..PollReply::default()
        }),
        codec::encode(&PartRequest::default()),
        codec::encode(&SiteCommand::Backends(vec![backend])),
        codec::encode(&SiteCommand::Submit(Box::default())),
        compress::compress(&codec::encode(&Document::default())),
    ];

    fuzz_bytes(good, |bytes| {
        let poll = codec::decode::<SitePoll>(bytes).is_ok();
        let reply = codec::decode::<PollReply>(bytes);
        if let Ok(reply) = &reply {
            codec::decode::<PollReply>(&codec::encode(reply)).unwrap();
        }
        let part = codec::decode::<Part>(bytes).is_ok();
        let wanted = codec::decode::<PartRequest>(bytes).is_ok();
        let store = Arc::<state::Store>::default();
        let mut machine = state::Machine::new(store);
        machine.apply(Index(1), bytes);
        let restored = machine.restore(bytes).is_ok();
        assert!(!(poll && part && wanted && restored && bytes.is_empty()));
    });
}

#[test]
fn compressed_messages() {
    let good = vec![compress::compress(&codec::encode(&Document::default()))];
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let cases = Cases {
        cases: case_count(),
        failure_persistence: None,
        ..Cases::default()
    };
    let mut runner = TestRunner::new_with_rng(cases, rng);
    let outcome = runner.run(&hostile_inputs(good), |bytes| {
        let plain = compress::decompress(&bytes);
        proptest::prop_assert!(plain.is_err() || plain.unwrap().len() <= 64 << 20);
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn datagrams_between_entries() {
    let good = vec![
        codec::encode(&Datagram {
            entry: "entry-1".into(),
            sums: Some(vec![(7, 40)]),
            replaced: vec![9],
            ..Datagram::default()
        }),
        codec::encode(&Datagram {
            entry: "entry-1".into(),
            account: Some(account_figures().remove(0).into()),
            ..Datagram::default()
        }),
    ];

    fuzz_bytes(good, |bytes| {
        if let Ok(message) = codec::decode::<Datagram>(bytes) {
            let again = codec::decode::<Datagram>(&codec::encode(&message)).unwrap();
            assert_eq!(again, message);
        }
    });
}

fn account_figures() -> Vec<Vec<u8>> {
    let row = Row {
        prefill_ms: 40.0,
        in_flight: 3.0,
        memory: 9_000.0,
        ..Row::default()
    };
    let header = wire::Header {
        entries: 3,
        ..wire::Header::default()
    };
    let rows = [(7, &row, wire::PREFILL), (9_000, &row, wire::ALL)];
    wire::encode(header, &rows, &wire::Pools::default(), Mono(5_000_000))
}

#[test]
fn figures_of_the_account() {
    fuzz_bytes(account_figures(), |bytes| {
        // An age that is greater than the uptime must not underflow.
        if let Some(message) = wire::decode(bytes, Mono(0)) {
            assert!(message.rows.len() <= bytes.len());
            for (key, row, _) in message.rows {
                assert!(key <= wire::MAX_KEY && row.memory.is_finite());
            }
        }
    });
}

#[test]
fn headers_of_engines_and_callers() {
    let names = HeaderNames::default();
    let id = HeaderValue::from_static("a-1");
    let good = ["3,2,96,100", "0.5", "1", "ab:30,cd:40", "4000000000,9"];

    fuzz_text(&good, |text| {
        let prompt = call::prompt(&call::parse_parts(text), call::parse_tokens(text).0);
        assert!(prompt.own <= u32::MAX - prompt.shared || prompt.own == 0);
        let Ok(value) = HeaderValue::from_str(text) else {
            return;
        };
        let fields = [&names.load, &names.limit, &names.leaving, &RETRY_AFTER];
        let mut headers: HeaderMap = fields
            .map(|name| (name.clone(), value.clone()))
            .into_iter()
            .collect();
        headers.insert(names.attempt.clone(), id.clone());
        let told = Statement::read(&names, &id, StatusCode::SERVICE_UNAVAILABLE, &headers).unwrap();
        assert!(told.limit.is_none_or(|rate| rate > 0.0 && rate.is_finite()));
    });
}

/// An element that a scanner has found, or why it was not passed on.
type Found = Result<Vec<u8>, Excess>;

/// Returns the elements that a scanner finds in a document that arrives in pieces, and the
/// rest of the document.
fn scan(document: &[u8], piece: usize) -> (Vec<Found>, Option<Vec<u8>>) {
    let limits = ElementLimits {
        bytes: 64 << 10,
        depth: 32,
    };
    let mut scanner = ElementScanner::new(Some("items"), limits);
    let mut found = Vec::new();
    for piece in document.chunks(piece.max(1)) {
        let read = scanner.push(piece, |element| found.push(element.map(<[u8]>::to_vec)));
        if read.is_err() {
            return (found, None);
        }
    }
    (found, scanner.finish().ok())
}

/// Guards against elements that are lost, joined or cut, however the document arrives.
#[test]
fn elements_of_a_list() {
    let good = [
        r#"{"items":[{"a":"]"},[1,{"b":"\"}], ""],[" ],"next":null}"#,
        r#"{"more":{"items":[1]},"x":"items","items":[]}"#,
    ];
    let good = good.iter().map(|text| text.as_bytes().to_vec()).collect();

    fuzz_bytes(good, |bytes| {
        let whole = scan(bytes, bytes.len());
        assert_eq!(scan(bytes, 7), whole);
        let read = serde_json::from_slice::<serde_json::Map<_, serde_json::Value>>(bytes);
        let listed = read
            .ok()
            .and_then(|page| page.get("items")?.as_array().cloned());
        if let (Some(listed), (found, Some(_))) = (listed, whole) {
            let decode = |element: &Found| match element {
                Ok(bytes) => serde_json::from_slice(bytes).ok(),
                Err(_) => None,
            };
            assert_eq!(found.len(), listed.len());
            for (found, listed) in found.iter().zip(&listed) {
                let decoded: Option<serde_json::Value> = decode(found);
                assert!(decoded.is_none_or(|decoded| decoded == *listed));
            }
        }
    });
}
