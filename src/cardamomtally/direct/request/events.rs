//! Splits the bytes of an event stream at the ends of events, so that only
//! complete events are forwarded.

use bytes::{Bytes, BytesMut};

/// Longest event. A stream whose event does not end within this number of bytes
/// is treated as broken.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// One or more complete events.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Events {
    /// The events as received.
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last: Option<u64>,
    /// Id of the first event that has one.
    pub first: Option<u64>,
}

/// Buffers the bytes of an event until it is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
}

/// An event is longer than the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TooLong;

impl EventSplitter {
    /// Adds received bytes and returns the events that are complete now, or
    /// `None` if there are none.
    ///
    /// # Errors
    ///
    /// Returns an error if the buffered event is longer than the limit.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Events>, TooLong> {
        let aligned = self.rest.is_empty() && bytes.ends_with(b"\n\n");
        let whole = if aligned {
            bytes.clone()
        } else {
            self.rest.extend_from_slice(bytes);
            let Some(end) = last_end(&self.rest) else {
                return if self.rest.len() > MAX_EVENT_BYTES {
                    Err(TooLong)
                } else {
                    Ok(None)
                };
            };
            self.rest.split_to(end).freeze()
        };
        let (first, last) = event_ids(&whole);
        Ok(Some(Events {
            bytes: whole,
            last,
            first,
        }))
    }

    /// Tells whether an incomplete event is buffered.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.rest.is_empty()
    }
}

/// Returns the position after the last complete event.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let found = bytes.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(found + 2)
}

/// Returns the first and the last event id in the bytes.
fn event_ids(bytes: &[u8]) -> (Option<u64>, Option<u64>) {
    let mut ids = bytes.split(|b| *b == b'\n').filter_map(event_id);
    let first = ids.next();
    let last = ids.next_back().or(first);
    (first, last)
}

fn event_id(line: &[u8]) -> Option<u64> {
    let text = line.strip_prefix(b"id:")?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
