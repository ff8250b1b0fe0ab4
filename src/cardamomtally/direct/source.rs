//! A backend server's stream of events as it comes, and how fast it is passed on.

use super::{
    events::{EventSplitter, Events},
    pool::Connection,
    registry::Choice,
};
use crate::prelude::*;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};

/// Where events come from.
#[derive(Debug)]
pub struct EventSource {
    /// The backend server.
    pub choice: Choice,
    /// Its connection.
    pub connection: Connection,
    /// The answer's body.
    pub body: Incoming,
    /// Cuts it into whole events.
    pub splitter: EventSplitter,
    /// For how long the connection may be kept.
    pub keep_alive: Option<Duration>,
    /// Time to the head, which comes with the first event.
    pub first: Duration,
}

/// The next thing that a stream brings.
#[derive(Debug)]
pub enum Next {
    /// Whole events.
    Events(Events),
    /// The end of a whole stream.
    End,
    /// It broke off.
    Broken(&'static str),
    /// Nothing for longer than a good pause.
    Silent(Duration),
}

/// When events were passed on.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamTiming {
    /// Time to the first event.
    pub first: Duration,
    /// Longest pause between two.
    pub pause: Duration,
    latest: Mono,
}

impl StreamTiming {
    /// Notes an event of a request that came at `since`.
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
    /// Waits for what comes next.
    pub async fn next(&mut self) -> Next {
        loop {
            let Some(frame) = self.body.frame().await else {
                return if self.splitter.is_partial() {
                    Next::Broken("the stream ended within an event")
                } else {
                    Next::End
                };
            };
            let Ok(frame) = frame else {
                return Next::Broken("the stream broke off");
            };
            // Trailers carry nothing for the caller.
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            match self.splitter.push(&bytes) {
                Ok(Some(events)) => return Next::Events(events),
                Ok(None) if self.body.is_end_stream() && !self.splitter.is_partial() => {
                    return Next::End;
                }
                Ok(None) => {}
                Err(_too_long) => return Next::Broken("an event is too long"),
            }
        }
    }
}
