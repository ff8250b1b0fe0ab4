//! Tests of the reader of answer frames.

use super::fakes::{encode, frames};
use bytes::Bytes;
use cardamomtally::{
    entry::{
        agents::CallError,
        frames::{AnswerEnd, Batch, FrameReader},
    },
    net::run::Frame,
    prelude::*,
};
use futures::stream;

fn reader(pieces: Vec<Bytes>) -> FrameReader {
    let pieces = pieces.into_iter().map(Ok::<_, std::io::Error>);
    FrameReader::new(stream::iter(pieces), Duration::from_secs(10))
}

async fn read_all(mut reader: FrameReader) -> Result<(Vec<u8>, AnswerEnd), CallError> {
    let mut offset = 0;
    let mut body = Vec::new();
    loop {
        let batch = reader.read(&mut offset).await?;
        body.extend_from_slice(&batch.data);
        if let Some(end) = batch.end {
            return Ok((body, end));
        }
    }
}

#[tokio::test]
async fn frames_cut_anywhere_give_the_same_body() {
    let bytes = Bytes::from(encode(&frames(b"some text", true)));
    for at in 1..bytes.len() {
        let pieces = vec![bytes.slice(..at), bytes.slice(at..)];

        let (body, end) = read_all(reader(pieces)).await.unwrap();

        assert_eq!(body, b"some text");
        assert!(matches!(end, AnswerEnd::Complete(_)));
    }
}

#[tokio::test]
async fn frames_of_one_read_become_one_batch() {
    let bytes = Bytes::from(encode(&frames(b"some text", true)));

    let batch = reader(vec![bytes]).read(&mut 0).await.unwrap();

    assert_eq!(&*batch.data, b"some text");
    assert!(batch.head.is_some() && batch.end.is_some());
}

#[tokio::test]
async fn an_answer_without_an_end_frame_is_ambiguous() {
    let bytes = Bytes::from(encode(&frames(b"some text", false)));

    let outcome = read_all(reader(vec![bytes])).await;

    assert!(matches!(outcome, Err(CallError::Ambiguous(_))));
}

#[tokio::test]
async fn bytes_that_are_known_are_dropped_and_gaps_fail() {
    let data = |offset, bytes: &[u8]| Frame::Data {
        offset,
        bytes: bytes.to_vec(),
    };
    let known = Bytes::from(encode(&[data(0, b"abcd")]));
    let gap = Bytes::from(encode(&[data(9, b"abcd")]));

    let batch = reader(vec![known]).read(&mut 2).await;
    let missing = reader(vec![gap]).read(&mut 2).await;

    let fresh = Batch {
        data: Bytes::from_static(b"cd"),
        ..Batch::default()
    };
    assert_eq!(batch, Ok(fresh));
    assert!(matches!(missing, Err(CallError::Ambiguous(_))));
}

#[tokio::test]
async fn bytes_that_are_no_frames_fail() {
    for bytes in [vec![0xff; 64], vec![0, 0, 0, 3, 1, 2, 3]] {
        let outcome = reader(vec![bytes.into()]).read(&mut 0).await;

        assert!(matches!(outcome, Err(CallError::Ambiguous(_))));
    }
}
