//! Answer buffers between one writer and its readers.

use bytes::Bytes;
use cardamomtally::{
    agent::answer::{Answer, End, Head},
    net::run::{Frame, Usage},
    prelude::*,
};
use futures::FutureExt as _;
use std::sync::atomic::{AtomicUsize, Ordering};

const LIMIT: u64 = 1_000;

fn answer() -> Arc<Answer> {
    let answer = Arc::new(Answer::new(LIMIT));
    answer.set_head(Head {
        status: 200,
        media: "text/plain".into(),
    });
    answer
}

fn bytes(length: usize) -> Bytes {
    Bytes::from(vec![7; length])
}

fn data(offset: u64, length: usize) -> Frame {
    Frame::Data {
        offset,
        bytes: vec![7; length],
    }
}

#[tokio::test]
async fn reader_gets_head_bytes_and_end() {
    let answer = answer();
    let mut reader = answer.reader(None).expect("the offset is buffered");
    answer.push(bytes(10)).await;
    answer.finish(End::Complete(Usage::default()));

    let head = reader.next().await;
    let body = reader.next().await;
    let end = reader.next().await;
    let after = reader.next().await;

    assert!(matches!(head, Some(Frame::Head { status: 200, .. })));
    assert_eq!(body, Some(data(0, 10)));
    assert!(matches!(end, Some(Frame::End { length: 10, .. })));
    assert_eq!(after, None);
}

#[tokio::test]
async fn resumption_continues_at_its_offset() {
    let answer = answer();
    answer.push(bytes(100)).await;
    answer.finish(End::Complete(Usage::default()));

    let mut reader = answer.reader(Some(60)).expect("the offset is buffered");

    assert_eq!(reader.next().await, Some(data(60, 40)));
    assert!(matches!(reader.next().await, Some(Frame::End { .. })));
}

#[tokio::test]
async fn slow_reader_holds_the_writer_back() {
    let answer = answer();
    let mut reader = answer.reader(None).expect("the offset is buffered");
    answer.push(bytes(900)).await;

    let blocked = answer.push(bytes(900)).now_or_never();
    let kept = answer.buffered_bytes();
    reader.next().await;
    reader.next().await;
    let pushed = answer.push(bytes(900)).now_or_never();

    assert_eq!(blocked, None);
    assert!(kept <= LIMIT, "{kept} bytes kept");
    assert_eq!(pushed, Some(()));
}

#[tokio::test]
async fn waiting_writer_continues_when_the_reader_reads() {
    let answer = answer();
    let mut reader = answer.reader(None).expect("the offset is buffered");
    answer.push(bytes(900)).await;
    let writer = tokio::spawn({
        let answer = Arc::clone(&answer);
        async move { answer.push(bytes(900)).await }
    });

    reader.next().await;
    let first = reader.next().await;
    writer.await.expect("the writer ends");
    let second = reader.next().await;

    assert_eq!(first, Some(data(0, 900)));
    assert_eq!(second, Some(data(900, 900)));
}

#[tokio::test]
async fn writer_never_waits_without_a_reader() {
    let answer = answer();
    drop(answer.reader(None));

    for _ in 0..50 {
        assert_eq!(answer.push(bytes(900)).now_or_never(), Some(()));
    }

    assert!(answer.buffered_bytes() <= LIMIT);
}

#[tokio::test]
async fn writer_continues_when_the_reader_is_dropped() {
    let answer = answer();
    let reader = answer.reader(None).expect("the offset is buffered");
    answer.push(bytes(900)).await;
    let writer = tokio::spawn({
        let answer = Arc::clone(&answer);
        async move { answer.push(bytes(900)).await }
    });

    drop(reader);

    writer.await.expect("the writer ends");
    assert_eq!(answer.buffered_bytes(), 900);
}

#[tokio::test]
async fn dropped_bytes_cannot_be_resumed() {
    let answer = answer();
    answer.push(bytes(900)).await;
    answer.push(bytes(900)).await;

    assert!(answer.reader(Some(0)).is_none(), "resumed at dropped bytes");
    assert!(answer.reader(Some(900)).is_some(), "kept bytes are lost");
}

#[tokio::test]
async fn later_reader_replaces_the_first() {
    let answer = answer();
    let mut first = answer.reader(None).expect("the offset is buffered");
    answer.push(bytes(10)).await;

    let mut second = answer.reader(Some(0)).expect("the offset is buffered");

    assert!(matches!(first.next().await, Some(Frame::Failed { .. })));
    assert!(matches!(second.next().await, Some(Frame::Head { .. })));
}

/// A read buffer that tells when nothing keeps it any more.
struct ReadBuffer(Vec<u8>, Arc<AtomicUsize>);

impl AsRef<[u8]> for ReadBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

impl Drop for ReadBuffer {
    fn drop(&mut self) {
        self.1.fetch_add(1, Ordering::AcqRel);
    }
}

/// Guards against answers in chunks of one byte, each of which keeps the whole buffer that it was
/// read into (LOST: a process that ends by its memory).
#[tokio::test]
async fn small_chunks_do_not_keep_the_buffers_that_they_came_in() {
    let answer = answer();
    let dropped = Arc::<AtomicUsize>::default();

    for number in 0..100_u8 {
        let buffer = ReadBuffer(vec![number; 64 << 10], Arc::clone(&dropped));
        let chunk = Bytes::from_owner(buffer).slice(7..8);
        answer.push(chunk).await;
    }
    answer.finish(End::Complete(Usage::default()));

    assert_eq!(dropped.load(Ordering::Acquire), 100);
    let mut reader = answer.reader(Some(40)).expect("the offset is buffered");
    let mut read = Vec::new();
    while let Some(frame) = reader.next().await {
        if let Frame::Data { bytes, .. } = frame {
            read.extend(bytes);
        }
    }
    assert_eq!(read, (40..100).collect::<Vec<u8>>());
}
