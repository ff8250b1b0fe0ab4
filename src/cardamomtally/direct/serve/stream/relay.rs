//! Forwards the events of a stream to its caller, and resumes it elsewhere.

use super::{Opened, STALL_SHARE, StreamRelay, VINDICATION_TIME};
use crate::{
    direct::{
        link::source::{EventSource, Next, Part},
        request::{
            call,
            events::{Events, Numbering},
        },
    },
    listen::body::{Body, BodyError},
    prelude::*,
    routing::budget::Cause,
};
use bytes::Bytes;
use futures::stream;
use http::{Response, response::Parts};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;

impl StreamRelay {
    /// Builds the answer to the caller from the head of the first backend
    /// server's answer and the events to come.
    pub(super) fn respond(mut self, parts: &Parts) -> Response<Body> {
        self.begun = true;
        let status = parts.status;
        let headers = call::response_headers(&self.app.names, &parts.headers);
        let events = stream::unfold(Some(Box::new(self)), async |relay| {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => None,
                Err(error) => {
                    relay.log_end(&format!("broken off: {error}"));
                    Some((Err(error), None))
                }
            }
        });
        let mut response = Response::new(StreamBody::new(events).boxed_unsync());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Returns the next events, or `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        let mut asked = true;
        loop {
            let now = self.app.clock.now();
            // Later rounds wait for the backend server and not for the caller.
            let neglected = std::mem::take(&mut asked) && self.timing.is_neglected(now);
            let left = self.call.remaining(now);
            if left.is_zero() {
                return Err("the request's deadline has passed".into());
            }
            let Some(source) = &mut self.source else {
                return Err("no backend server is connected".into());
            };
            source.neglected |= neglected;
            let stall_timeout = self.call.route.pause.mul_f64(STALL_SHARE).min(left);
            let next = match tokio::time::timeout(stall_timeout, source.next()).await {
                Ok(next) => next,
                Err(_elapsed) if self.reserve_after_stall(stall_timeout) => {
                    Next::Silent(stall_timeout)
                }
                // Silence alone does not end a stream that cannot be resumed
                // elsewhere.
                Err(_elapsed) => continue,
            };
            match next {
                Next::Events(events) => match self.is_next(&events) {
                    Ok(true) => return Ok(Some(self.forward(events))),
                    Ok(false) => {}
                    Err(why) => self.resume_after_failure(why).await?,
                },
                Next::End => {
                    self.finish();
                    return Ok(None);
                }
                Next::Cut(why) => {
                    if let Some(source) = self.source.take() {
                        self.record_break(&source.choice, source.sent).await;
                        self.record_failure(source.choice);
                    }
                    self.resume(why).await?;
                }
                Next::Unread => {
                    // Neither the backend server nor the content is to blame.
                    self.source = None;
                    self.resume("aborted while the caller did not read").await?;
                }
                Next::Broken(why) => self.resume_after_failure(why).await?,
                Next::Silent(silence) => {
                    if let Some(source) = self.source.take() {
                        self.record_silence(source.choice, silence);
                    }
                    self.resume("the backend server sent no event for too long")
                        .await?;
                }
            }
        }
    }

    /// Tells whether events are the next ones for the caller.
    fn is_next(&self, events: &Events) -> Result<bool, &'static str> {
        let Some(source) = &self.source else {
            return Err("no backend server is connected");
        };
        source.is_next(events, self.last_event)
    }

    /// Records events and returns their bytes.
    fn forward(&mut self, events: Events) -> Bytes {
        match events.numbering {
            Numbering::Empty => {}
            Numbering::Open => self.unplaced = true,
            Numbering::Consecutive | Numbering::Partial | Numbering::Gapped => {
                self.unplaced = false;
            }
        }
        self.last_event = events.last.or(self.last_event);
        self.events += 1;
        if let Some(source) = &mut self.source
            && source.part == Part::Continuation
        {
            source.part = Part::Continued;
        }
        self.vindicate();
        self.timing.record(self.call.received, self.app.clock.now());
        events.bytes
    }

    /// Records that the content does not end its backend server, once the answer has gone
    /// on for a while.
    fn vindicate(&mut self) {
        let now = self.app.clock.now();
        let Some(source) = &mut self.source else {
            return;
        };
        if !source.vindicated && now.since(source.began) >= VINDICATION_TIME {
            source.vindicated = true;
            self.app.content.record_good(&self.call);
        }
    }

    fn log_end(&self, why: &str) {
        self.app.log_end(
            &self.call,
            why,
            self.retries.runs,
            self.last_event,
            &self.timing,
        );
    }

    fn finish(&mut self) {
        let Some(mut source) = self.source.take() else {
            return;
        };
        source.choice.record_success();
        self.app.content.record_good(&self.call);
        self.app.count_end(&self.call, &source.choice, true);
        if source.delimited {
            let address = source.choice.backend.address;
            self.app
                .pool
                .put_idle(address, source.connection, source.keep_alive);
        }
        self.log_end("complete");
    }

    /// Tells whether a silent stream is to be resumed elsewhere, and reserves a
    /// backend server for it. If waiting prompts explain the silence, the
    /// stream moves only if the other backend server's first event is expected
    /// within the route's longest acceptable pause.
    fn reserve_after_stall(&mut self, silence: Duration) -> bool {
        if self.unplaced {
            return false;
        }
        let delayed = |source: &EventSource| source.choice.explains_silence(silence);
        let within = if self.source.as_ref().is_some_and(delayed) {
            self.call.route.pause.saturating_sub(silence)
        } else {
            Duration::MAX
        };
        self.reserve(self.retries.runs, within)
    }

    /// Reserves a backend server for a silent request before the current
    /// attempt is abandoned. `runs` is the number of attempts that may have
    /// run, including the current one. The expected time to first event must
    /// not exceed `within`.
    pub(super) fn reserve(&mut self, runs: u32, within: Duration) -> bool {
        let allowed = self.retries.remaining(&self.app, &self.call).is_ok()
            && runs < self.call.route.attempts
            && self.call.route.class.repeats();
        if !allowed {
            return false;
        }
        let tried = &self.retries.tried;
        let choice = self.choose(self.model_index, tried, false).ok();
        let choice = choice.filter(|choice| choice.expected_ttft() <= within);
        self.reserved = choice.filter(|_| {
            self.retries
                .spend(&self.app, &self.call, Cause::Failed, self.last_event)
        });
        self.reserved.is_some()
    }

    /// Resumes the stream on another backend server after this one has failed.
    async fn resume_after_failure(&mut self, why: &'static str) -> Result<(), BodyError> {
        if let Some(source) = self.source.take() {
            self.record_failure(source.choice);
        }
        self.resume(why).await
    }

    /// Resumes the stream on another backend server.
    async fn resume(&mut self, why: &'static str) -> Result<(), BodyError> {
        self.log_end(why);
        if self.unplaced {
            return Err("the last forwarded event has no id".into());
        }
        if self.reserved.is_none() {
            self.allow_retry(Cause::Failed).map_err(|r| r.detail)?;
        }
        match self.open().await {
            Ok(Opened::Stream(_)) => Ok(()),
            Ok(Opened::Failure(_)) => {
                Err("the backend server that was to resume the stream failed".into())
            }
            Err(refusal) => Err(refusal.detail.into()),
        }
    }
}
