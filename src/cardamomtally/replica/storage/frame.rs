//! Frames: each consists of a length, a CRC32, and content of that length.
//!
//! One frame holds one batch, and a batch is written only after the one before it
//! is synced. A bad frame that is followed by a whole one was therefore synced,
//! and has been corrupted since. A bad frame at the end is a torn write that was
//! never acknowledged.

/// Bytes before a frame's content: length and CRC32, both little-endian.
const HEAD_BYTES: usize = 8;

/// Builds a frame.
#[must_use]
pub fn frame(content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD_BYTES + content.len());
    bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    bytes.extend_from_slice(content);
    bytes
}

/// How a sequence of frames ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The last frame is whole.
    Whole,
    /// The frame at this offset is torn, and no whole frame follows.
    Torn(usize),
    /// The frame at this offset is corrupt, since a whole one follows.
    Corrupt(usize),
}

/// Splits bytes into the contents of whole frames, up to the first bad one.
#[must_use]
pub fn split(bytes: &[u8]) -> (Vec<&[u8]>, End) {
    let mut contents = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let Some(content) = content_at(bytes, offset) else {
            return (contents, bad_end(bytes, offset));
        };
        offset += HEAD_BYTES + content.len();
        contents.push(content);
    }
    (contents, End::Whole)
}

fn bad_end(bytes: &[u8], bad: usize) -> End {
    let whole_follows = (bad + 1..bytes.len()).any(|at| content_at(bytes, at).is_some());
    if whole_follows {
        End::Corrupt(bad)
    } else {
        End::Torn(bad)
    }
}

fn content_at(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let head = bytes.get(offset..offset + HEAD_BYTES)?;
    let (length, crc) = head.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let crc = u32::from_le_bytes(crc.try_into().ok()?);
    let start = offset + HEAD_BYTES;
    let content = bytes.get(start..start.checked_add(length)?)?;
    // Empty frames are never written. They are rejected because a run of zero
    // bytes would decode as one.
    let whole = length > 0 && crc32fast::hash(content) == crc;
    whole.then_some(content)
}
