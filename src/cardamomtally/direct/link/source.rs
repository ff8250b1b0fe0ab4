//! The event stream of one backend server, and the timing of the events that
//! are forwarded.

use super::pool::Connection;
use crate::{
    direct::{
        fleet::registry::Choice,
        request::events::{EventSplitter, Events, Invalid, Numbering},
    },
    prelude::*,
};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};

/// Time for which a caller may leave a stream unread before its end says nothing of the
/// backend server any more. Backend servers abort a response that stays unread for some
/// seconds.
const NEGLECT_TIME: Duration = Duration::from_millis(500);

/// The event stream of one backend server.
#[derive(Debug)]
pub struct EventSource {
    /// The backend server.
    pub choice: Choice,
    /// The connection that the events arrive on.
    pub connection: Connection,
    /// The body of the answer.
    pub body: Incoming,
    /// Splits the body at the ends of events.
    pub splitter: EventSplitter,
    /// Whether the stream's end shows by its chunks or length, and not by that of its
    /// connection.
    pub delimited: bool,
    /// Time for which the connection may stay idle afterwards.
    pub keep_alive: Option<Duration>,
    /// When the request was sent.
    pub sent: Mono,
    /// When the head of the answer arrived.
    pub began: Mono,
    /// Whether the answer has gone on long enough to speak for its content.
    pub vindicated: bool,
    /// Which part of the caller's stream it is.
    pub part: Part,
    /// Whether the caller has left the stream unread for so long that the backend server may
    /// have aborted it for that reason.
    pub neglected: bool,
}

/// Which part of a caller's stream a backend server sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// The first one, from the first event.
    First,
    /// A continuation, of which no event was forwarded yet.
    Continuation,
    /// A continuation, of which events were forwarded.
    Continued,
}

/// What the stream has produced.
#[derive(Debug)]
pub enum Next {
    /// One or more complete events.
    Events(Events),
    /// The proper end of the stream.
    End,
    /// What arrived is no valid stream, for the given reason.
    Broken(&'static str),
    /// The connection ended before the stream did, for the given reason.
    Cut(&'static str),
    /// The connection ended before the stream did, after the caller had left the stream
    /// unread.
    Unread,
    /// No event arrived for the given time, and the stream is to be resumed
    /// elsewhere.
    Silent(Duration),
}

/// Timing of the events that were forwarded to the caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamTiming {
    /// Time from the request to the first event.
    pub first: Duration,
    /// Longest time between two events.
    pub pause: Duration,
    latest: Mono,
}

impl StreamTiming {
    /// Tells whether the caller has left the stream unread since its last event. Only valid
    /// when the caller asks for the next one.
    #[must_use]
    pub fn is_neglected(&self, now: Mono) -> bool {
        self.latest != Mono::default() && now.since(self.latest) >= NEGLECT_TIME
    }

    /// Records an event that is forwarded now, for a request received at
    /// `since`.
    pub fn record(&mut self, since: Mono, now: Mono) {
        if self.latest == Mono::default() {
            self.first = now.since(since);
        } else {
            self.pause = self.pause.max(now.since(self.latest));
        }
        self.latest = now;
    }
}

impl EventSource {
    /// Tells whether events come next in a stream whose caller has all up to `last`. Events
    /// that the caller has already do not.
    ///
    /// # Errors
    ///
    /// Returns why the events do not belong there. The first events of a backend server that
    /// is to continue a stream must follow the last one by their ids; an error that it
    /// reports is not the caller's.
    pub fn is_next(&self, events: &Events, last: Option<u64>) -> Result<bool, &'static str> {
        let begins = self.part == Part::Continuation;
        match events.numbering {
            Numbering::Empty => return Ok(!begins),
            Numbering::Gapped => return Err("an event is missing or comes twice"),
            Numbering::Partial | Numbering::Open if begins => {
                return Err("the resumed stream begins with an event without an id");
            }
            Numbering::Partial | Numbering::Open | Numbering::Consecutive => {}
        }
        if self.part != Part::First && events.failed {
            return Err("the resumed stream reports an error");
        }
        let (Some(first), Some(last)) = (events.first, last) else {
            return Ok(true);
        };
        if Some(first) == last.checked_add(1) {
            return Ok(true);
        }
        if !begins && events.last.is_some_and(|end| end <= last) {
            return Ok(false);
        }
        Err("the stream does not go on after the last forwarded event")
    }

    /// Waits for complete events or for the end of the stream.
    pub async fn next(&mut self) -> Next {
        loop {
            let Some(frame) = self.body.frame().await else {
                return if self.neglected && !self.delimited {
                    // The end of the connection may be that of the server's patience.
                    Next::Unread
                } else if !self.delimited && self.connection.ended_early() {
                    Next::Cut("the stream ended before its request was received")
                } else if self.splitter.is_partial() {
                    Next::Cut("the stream ended in the middle of an event")
                } else {
                    self.end()
                };
            };
            let Ok(frame) = frame else {
                if self.neglected {
                    return Next::Unread;
                }
                return Next::Cut("the connection failed during the stream");
            };
            // Trailers are not forwarded.
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            match self.splitter.push(&bytes) {
                Ok(Some(events)) => return Next::Events(events),
                Ok(None) if self.body.is_end_stream() && !self.splitter.is_partial() => {
                    return self.end();
                }
                Ok(None) => {}
                Err(Invalid::TooLong) => {
                    return Next::Broken("an event is longer than 256 KiB");
                }
                Err(Invalid::NoEvent) => return Next::Broken("what arrived is no event"),
            }
        }
    }

    /// Returns the end of a stream that has ended properly. Where another backend server has
    /// begun it, an end without any event does not prove that the caller has all of them.
    const fn end(&self) -> Next {
        match self.part {
            Part::Continuation => Next::Broken("the resumed stream ended without an event"),
            Part::First | Part::Continued => Next::End,
        }
    }
}
