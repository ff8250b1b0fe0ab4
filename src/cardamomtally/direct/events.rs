//! Cuts a stream of events into whole ones.

use bytes::{Bytes, BytesMut};

/// Most bytes of an event that has not ended.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Whole events, and the id of the last of them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Events {
    /// Their bytes.
    pub bytes: Bytes,
    /// The last one's id, if it has one.
    pub last: Option<u64>,
    /// The first one's id, if it has one.
    pub first: Option<u64>,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
}

/// An event is longer than any is allowed to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TooLong;

impl EventSplitter {
    /// Takes bytes and returns the events that are whole now.
    ///
    /// # Errors
    ///
    /// Returns an error if an event does not end within bounds.
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

    /// Tells whether part of an event has come.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.rest.is_empty()
    }
}

/// Returns the end of the last whole event.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let found = bytes.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(found + 2)
}

/// Returns the first and the last event's id.
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
