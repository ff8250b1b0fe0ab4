//! Splits the bytes of an event stream at the ends of events, so that only
//! complete events are forwarded, and checks that they are events.

use crate::util::sse;
use bytes::{Bytes, BytesMut};

/// Longest event. A stream whose event does not end within this number of bytes
/// is treated as broken.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// How the events of one batch are numbered. Comments do not count.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Numbering {
    /// There are only comments.
    #[default]
    Empty,
    /// Each event has an id, which is one more than that of the event before.
    Consecutive,
    /// Not all events have an id, but the last one has.
    Partial,
    /// The last event has no id.
    Open,
    /// An id is not one more than the id before it: an event is missing or comes twice.
    Gapped,
}

/// One or more complete events.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Events {
    /// The events as received.
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last: Option<u64>,
    /// Id of the first event that has one.
    pub first: Option<u64>,
    /// How the events are numbered.
    pub numbering: Numbering,
    /// Whether one of the events reports an error.
    pub failed: bool,
}

/// Buffers the bytes of an event until it is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
}

/// Why bytes are no events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invalid {
    /// An event is longer than the limit.
    TooLong,
    /// A line is no field of an event.
    NoEvent,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that are complete now, or
    /// `None` if there are none.
    ///
    /// # Errors
    ///
    /// Returns an error if the buffered event is longer than the limit, or if what
    /// arrived is no event.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Events>, Invalid> {
        let aligned = self.rest.is_empty() && bytes.ends_with(b"\n\n");
        let whole = if aligned {
            bytes.clone()
        } else {
            self.rest.extend_from_slice(bytes);
            let Some(end) = last_end(&self.rest) else {
                return if self.rest.len() > MAX_EVENT_BYTES {
                    Err(Invalid::TooLong)
                } else {
                    Ok(None)
                };
            };
            self.rest.split_to(end).freeze()
        };
        read_events(whole).map(Some)
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

/// An event whose lines are read.
#[derive(Clone, Copy, Debug, Default)]
struct Event {
    id: Option<u64>,
    /// Whether it has a line that is no comment.
    has_field: bool,
}

fn read_events(whole: Bytes) -> Result<Events, Invalid> {
    let mut events = Events::default();
    let mut event = Event::default();
    for line in sse::lines(&whole) {
        if line.is_empty() {
            events.add(std::mem::take(&mut event));
            continue;
        }
        if !sse::is_field(line) {
            return Err(Invalid::NoEvent);
        }
        event.has_field |= !sse::is_comment(line);
        event.id = event_id(line).or(event.id);
        events.failed |= sse::is_error_type(line);
    }
    events.bytes = whole;
    Ok(events)
}

impl Events {
    fn add(&mut self, event: Event) {
        if !event.has_field {
            return;
        }
        self.numbering = match (event.id, self.last, self.numbering) {
            (_, _, Numbering::Gapped) => Numbering::Gapped,
            (None, ..) => Numbering::Open,
            (Some(id), Some(last), _) if Some(id) != last.checked_add(1) => Numbering::Gapped,
            (Some(_), _, Numbering::Partial | Numbering::Open) => Numbering::Partial,
            (Some(_), ..) => Numbering::Consecutive,
        };
        self.first = self.first.or(event.id);
        self.last = event.id.or(self.last);
    }
}

fn event_id(line: &[u8]) -> Option<u64> {
    let text = line.strip_prefix(b"id:")?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
