//! Frames: a length, a CRC32 and that many bytes.
//!
//! One frame holds one batch, and the next batch is written only after this one
//! is synced. So a bad frame with a whole one behind it was synced and is
//! corrupt, and a bad frame at the end is a torn write that nobody relied on.

/// Bytes before a frame's content.
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

/// How a run of frames ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// With a whole frame.
    Whole,
    /// With a torn frame from this offset on.
    Torn(usize),
    /// A corrupt frame at this offset precedes a whole one.
    Corrupt(usize),
}

/// Splits bytes into the contents of whole frames.
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
    // An empty frame is never written, and a run of zeros would look like one.
    let whole = length > 0 && crc32fast::hash(content) == crc;
    whole.then_some(content)
}
