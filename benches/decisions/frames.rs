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

const TOKEN_COUNT: u64 = 1_000_000;
const FRAMES_PER_CHUNK: usize = 16;
const TOKEN_EVENT: &str = "data: {\"id\":\"000000000000feed-42\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"}}]}\n\n";

/// Measures the reading of frames.
pub fn tokens_per_s() -> eyre::Result<f64> {
    let frames = (0..TOKEN_COUNT).map(|n| {
        let frame = codec::encode(&Frame::Data {
            offset: n * TOKEN_EVENT.len() as u64,
            bytes: TOKEN_EVENT.into(),
        });
        [&(frame.len() as u32).to_be_bytes()[..], &frame].concat()
    });
    let frames: Vec<Vec<u8>> = frames.collect();
    let pieces: Vec<Bytes> = frames
        .chunks(FRAMES_PER_CHUNK)
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
        while offset < TOKEN_COUNT * TOKEN_EVENT.len() as u64 {
            reader.read(&mut offset).await?;
        }
        eyre::Ok(())
    })?;
    Ok(TOKEN_COUNT as f64 / started.elapsed().as_secs_f64())
}
