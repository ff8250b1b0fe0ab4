//! Requests that are answered with a stream of events.
//!
//! Each event is forwarded as soon as it is complete. When the connection to a
//! backend server breaks or no event comes for too long, a resumable stream
//! continues on another backend server after the last event that was forwarded,
//! within the same answer to the caller. The first connection is closed before
//! that, so that no two backend servers work on the request. What the next one
//! sends is forwarded only if it continues the stream: a success with events
//! that follow the last one. A stream that cannot be resumed is aborted without
//! a proper end, so that the caller cannot take it for complete.

mod cascade;
mod relay;

use super::{
    escalate,
    retry::{RetryLimits, RetryState},
};
use crate::{
    direct::{
        app::App,
        content::guard::Leave,
        fleet::registry::{Choice, NoChoice, Requirements},
        link::{
            attempt::{self, AttemptParams, Outcome},
            pool::{Answer, Connection},
            source::{EventSource, Part, StreamTiming},
        },
        request::{
            call::{self, Call},
            events::EventSplitter,
            refusal::Refusal,
        },
    },
    listen::body::{Body, full_body},
    prelude::*,
    routing::budget::Cause,
};
use http::{Response, response::Parts};
use hyper::body::Incoming;

/// Limits on the attempts of a stream.
const RETRY_LIMITS: RetryLimits = RetryLimits {
    min_time: Duration::from_millis(20),
    max_refusals: 3,
    retry_after: Duration::from_millis(300),
};
/// Share of the route's longest acceptable pause after which a silent stream is
/// considered stalled. Below 1, so that time remains to resume it within that
/// pause.
const STALL_SHARE: f64 = 0.8;
/// Constant part of the time that a backend server has to send its first event
/// before the request is sent to another one. [`FIRST_EVENT_TARGET_SHARE`] of
/// the target latency and [`FIRST_EVENT_EXPECTED_FACTOR`] times the expected
/// time to first event are added to it.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(600);
/// Share of the route's target latency that is added to the time for the first
/// event.
const FIRST_EVENT_TARGET_SHARE: f64 = 0.4;
/// Multiple of the expected time to first event that is added to the time for
/// the first event.
const FIRST_EVENT_EXPECTED_FACTOR: f64 = 3.0;

/// Time from the head of an answer after which its content counts as harmless: content that
/// ends backend servers does so when they begin to answer.
const VINDICATION_TIME: Duration = Duration::from_secs(1);

/// A stream that is forwarded from a backend server to the caller, with its
/// state across attempts.
struct StreamRelay {
    app: Arc<App>,
    call: Arc<Call>,
    retries: RetryState,
    model_index: usize,
    last_event: Option<u64>,
    events: u32,
    /// Whether the head of the answer was forwarded to the caller.
    begun: bool,
    /// Whether the last forwarded event has no id, so that no backend server can go on after
    /// it.
    unplaced: bool,
    timing: StreamTiming,
    source: Option<EventSource>,
    /// Whether the current attempt may be sent, and how.
    leave: Option<Leave>,
    /// The backend server for the next attempt, if it was chosen in advance and
    /// the retry was already taken from the budget.
    reserved: Option<Choice>,
}

/// Forwards a request whose answer is a stream. `last` is the id of the last
/// event that the caller already has.
pub async fn serve(app: &Arc<App>, call: Call, last: Option<u64>) -> Response<Body> {
    let mut relay = StreamRelay {
        app: Arc::clone(app),
        model_index: escalate::first(call.route.cascade.len()),
        call: Arc::new(call),
        retries: RetryState::new(RETRY_LIMITS),
        last_event: last,
        events: 0,
        begun: false,
        unplaced: false,
        timing: StreamTiming::default(),
        source: None,
        leave: None,
        reserved: None,
    };
    match relay.open().await {
        Ok(Opened::Stream(parts)) => relay.respond(&parts),
        Ok(Opened::Failure(response)) => response,
        Err(refusal) => {
            app.log_refusal(&relay.call, &refusal, relay.retries.tried.len());
            refusal.response()
        }
    }
}

/// The result of opening a stream.
enum Opened {
    /// The head of a successful answer; events follow.
    Stream(Parts),
    /// The complete error answer of the last backend server that was asked.
    Failure(Response<Body>),
}

impl StreamRelay {
    /// Sends the request until a backend server begins to answer, or no further
    /// attempt is allowed.
    async fn open(&mut self) -> Result<Opened, Refusal> {
        loop {
            let since = self.app.clock.now();
            let answer = self.attempt().await?;
            let Some((mut choice, answer)) = answer else {
                continue;
            };
            choice.prefill_finished();
            let (parts, body, connection) = answer.split();
            let streams = !self.begun || attempt::is_event_stream(&parts.headers);
            if parts.status.is_success() && streams {
                if self.escalate_to_larger(&parts, choice.estimate.prefill) {
                    self.retries.tried.clear();
                    continue;
                }
                let first = self.app.clock.now().since(since);
                self.app.count_start(&self.call, &choice, first);
                self.source = Some(EventSource {
                    choice,
                    connection,
                    body,
                    splitter: EventSplitter::default(),
                    delimited: attempt::is_delimited(&parts.headers),
                    keep_alive: attempt::parse_keep_alive(&parts.headers),
                    sent: since,
                    began: self.app.clock.now(),
                    vindicated: false,
                    part: if self.begun {
                        Part::Continuation
                    } else {
                        Part::First
                    },
                    neglected: false,
                });
                return Ok(Opened::Stream(parts));
            }
            self.record_failure(choice);
            if let Err(refusal) = self.allow_retry(Cause::Failed) {
                if self.begun {
                    return Err(refusal);
                }
                let response = self.forward_failure(&parts, body, &connection).await;
                return response.map(Opened::Failure).ok_or(refusal);
            }
        }
    }

    /// Records a failure of a backend server that was silent for the given
    /// time, unless waiting prompts explain the silence.
    fn record_silence(&self, choice: Choice, silence: Duration) {
        if !choice.explains_silence(silence) {
            self.record_failure(choice);
        }
    }

    fn record_failure(&self, mut choice: Choice) {
        choice.record_failure();
        self.app.count_end(&self.call, &choice, false);
    }

    /// Records that the connection of an attempt that was sent at `sent` has failed.
    async fn record_break(&self, choice: &Choice, sent: Mono) {
        self.app
            .content
            .record_break(&self.call, choice, sent)
            .await;
    }

    /// Returns an error answer with its body. Returns `None` if the body breaks off, is too long
    /// or begins with another answer: the status alone would look like a whole answer.
    async fn forward_failure(
        &self,
        parts: &Parts,
        body: Incoming,
        connection: &Connection,
    ) -> Option<Response<Body>> {
        let left = self.call.remaining(self.app.clock.now());
        let read = tokio::time::timeout(left, self.app.memory.read(body)).await;
        let body = read.ok().and_then(Result::ok);
        let body = body.filter(|body| !attempt::begins_with_head(body))?;
        if !attempt::is_delimited(&parts.headers) && connection.ended_early() {
            return None;
        }
        let mut response = Response::new(full_body(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = call::response_headers(&self.app.names, &parts.headers);
        Some(response)
    }

    /// Sends the request once. Returns `None` if it got no answer and may be
    /// sent again.
    async fn attempt(&mut self) -> Result<Option<(Choice, Answer)>, Refusal> {
        let now = self.app.clock.now();
        let left = self.retries.remaining(&self.app, &self.call)?;
        // A trial that has ended must not hold up the next one.
        self.leave = None;
        let leave = self.app.content.admit(&self.call);
        let leave = leave.map_err(|hold| self.retries.held_back(hold))?;
        let careful = leave.careful;
        self.leave = Some(leave);
        let choice = if let Some(choice) = self.reserved.take() {
            choice
        } else {
            let chosen = self.choose(self.model_index, &self.retries.tried, careful);
            chosen.map_err(|why| self.retries.no_backend(why))?
        };
        let instance = Arc::clone(&choice.backend.instance);
        self.retries.tried.push(instance);
        let outcome = self.send(&choice, left).await;
        self.app
            .log_attempt(&self.call, &choice, self.model(), &outcome.label(), now);
        match outcome {
            Outcome::Answered(answer) => {
                self.retries.runs += 1;
                Ok(Some((choice, *answer)))
            }
            Outcome::NotSent(_) => {
                let mut choice = choice;
                choice.record_unreachable();
                self.retries.unsent += 1;
                self.allow_retry(Cause::NotSent)?;
                Ok(None)
            }
            Outcome::Replaced => {
                let mut choice = choice;
                choice.record_replaced();
                self.retries.refused += 1;
                self.allow_retry(Cause::Rejected)?;
                Ok(None)
            }
            Outcome::Rejected(_) => {
                self.retries.refused += 1;
                self.allow_retry(Cause::Rejected)?;
                Ok(None)
            }
            Outcome::Broken(_) => {
                self.retries.runs += 1;
                self.record_break(&choice, now).await;
                self.record_failure(choice);
                self.allow_retry(Cause::Failed)?;
                Ok(None)
            }
            Outcome::Unknown(_) => {
                self.retries.runs += 1;
                self.record_failure(choice);
                self.allow_retry(Cause::Failed)?;
                Ok(None)
            }
            Outcome::Silent => {
                self.retries.runs += 1;
                self.record_silence(choice, self.app.clock.now().since(now));
                if self.reserved.is_none() {
                    self.allow_retry(Cause::Failed)?;
                }
                Ok(None)
            }
        }
    }

    fn allow_retry(&self, cause: Cause) -> Result<(), Refusal> {
        self.retries
            .allow_resume(&self.app, &self.call, cause, self.last_event)
    }

    /// Chooses a backend server for the model at the given place of the
    /// cascade.
    fn choose(
        &self,
        model_index: usize,
        tried: &[Name],
        careful: bool,
    ) -> Result<Choice, NoChoice> {
        let wanted = self.requirements(model_index, tried, careful);
        let config = self.app.config.current();
        self.app.registry.choose(&config, &wanted)
    }

    fn requirements<'a>(
        &'a self,
        model_index: usize,
        tried: &'a [Name],
        careful: bool,
    ) -> Requirements<'a> {
        Requirements {
            service: &self.call.service,
            session: self.call.session,
            model: self.model_at(model_index).or(self.call.model.as_deref()),
            prompt: self.call.prompt,
            tried,
            careful,
        }
    }

    /// Sends the request and waits for the head of the answer. If none comes
    /// within the time for the first event, the attempt is abandoned, but only
    /// if another backend server could be reserved. Otherwise the wait goes on
    /// until the deadline.
    async fn send(&mut self, choice: &Choice, left: Duration) -> Outcome {
        let app = Arc::clone(&self.app);
        let call = Arc::clone(&self.call);
        let model = self.model().map(ToOwned::to_owned);
        let params = AttemptParams {
            left,
            model: model.as_deref(),
            last_event: self.last_event,
        };
        let make = || attempt::request(&app.names, &call, choice, params);
        let mut sending = std::pin::pin!(app.pool.send(choice.backend.address, make));
        let first = FIRST_EVENT_TIMEOUT
            + self.call.route.target.mul_f64(FIRST_EVENT_TARGET_SHARE)
            + self
                .expected_first(choice)
                .mul_f64(FIRST_EVENT_EXPECTED_FACTOR);
        let sent = match tokio::time::timeout(first.min(left), sending.as_mut()).await {
            Ok(sent) => Some(sent),
            Err(_elapsed) if self.reserve(self.retries.runs + 1, left) => None,
            Err(_elapsed) => {
                let rest = left.saturating_sub(first);
                tokio::time::timeout(rest, sending).await.ok()
            }
        };
        let Some(sent) = sent else {
            return Outcome::Silent;
        };
        app.record_statement(&call, choice, sent.as_ref());
        attempt::classify(&app.names, &call, sent)
    }

    /// Returns the time to first event for which the timeout allows. With overload control it
    /// is at most the target latency: the forecast of a server that answers nothing any more
    /// grows with its silence, and requests waited there for up to 15 s.
    fn expected_first(&self, choice: &Choice) -> Duration {
        let expected = choice.expected_ttft();
        if choice.has_forecast() {
            expected.min(self.call.route.target)
        } else {
            expected
        }
    }

    /// Returns the model to request, if the entry chooses it.
    fn model(&self) -> Option<&str> {
        self.model_at(self.model_index)
    }

    fn model_at(&self, model_index: usize) -> Option<&str> {
        let model = self.call.route.cascade.get(model_index);
        model.filter(|_| self.call.any_model).map(|m| &**m)
    }
}
