//! Tokens a second that one core takes out of an agent's frames.
//!
//! Each token is one frame with one event, and sixteen frames arrive at a time.

use bytes::Bytes;
use cardamomtally::{
    entry::frames::FrameReader,
    net::{codec, run::Frame},
    prelude::*,
};
use futures::stream;
use std::time::Instant;

const TOKENS: u64 = 1_000_000;
const TOGETHER: usize = 16;
const EVENT: &str = "data: {\"id\":\"000000000000feed-42\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"}}]}\n\n";

/// Measures the reading of frames.
pub fn tokens_per_s() -> eyre::Result<f64> {
    let frames = (0..TOKENS).map(|n| {
        let frame = codec::encode(&Frame::Data {
            offset: n * EVENT.len() as u64,
            bytes: EVENT.into(),
        });
        [&(frame.len() as u32).to_be_bytes()[..], &frame].concat()
    });
    let frames: Vec<Vec<u8>> = frames.collect();
    let pieces: Vec<Bytes> = frames
        .chunks(TOGETHER)
        .map(|piece| Bytes::from(piece.concat()))
        .collect();
    let pieces = stream::iter(pieces.into_iter().map(Ok::<_, std::io::Error>));
    let mut reader = FrameReader::new(pieces, Duration::from_mins(1));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let started = Instant::now();
    runtime.block_on(async {
        let mut offset = 0;
        while offset < TOKENS * EVENT.len() as u64 {
            reader.read(&mut offset).await?;
        }
        eyre::Ok(())
    })?;
    Ok(TOKENS as f64 / started.elapsed().as_secs_f64())
}
