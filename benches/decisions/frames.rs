//! Measures how many tokens per second one core decodes from an agent's frames.
//!
//! Each token is one frame with one server-sent event, and sixteen frames arrive
//! in each chunk.

use bytes::Bytes;
use cardamomtally::{
    entry::frames::FrameReader,
    net::{codec, run::Frame},
    prelude::*,
};
use futures::stream;
use std::time::Instant;

/// Number of tokens to decode.
const TOKEN_COUNT: u64 = 1_000_000;
/// Number of frames that arrive in one chunk of bytes.
const FRAMES_PER_CHUNK: usize = 16;
/// Server-sent event of one token.
const TOKEN_EVENT: &str = "data: {\"id\":\"000000000000feed-42\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"}}]}\n\n";

/// Returns the number of tokens per second that a [`FrameReader`] decodes.
///
/// # Errors
///
/// Returns an error if the runtime does not start or a frame is not valid.
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
