//! Requests that are answered with a stream of events.
//!
//! Each event is forwarded as soon as it is complete. When the connection to a
//! backend server breaks or no event comes for too long, a resumable stream
//! continues on another backend server after the last event that was forwarded,
//! within the same answer to the caller. The first connection is closed before
//! that, so that no two backend servers work on the request. A stream that
//! cannot be resumed is aborted without a proper end, so that the caller cannot
//! take it for complete.

use super::{
    escalate,
    retry::{RetryLimits, RetryState},
};
use crate::{
    direct::{
        app::{App, Quote},
        content::guard::Leave,
        fleet::registry::{Choice, NoChoice, Requirements},
        link::{
            attempt::{self, AttemptParams, Outcome},
            pool::Answer,
            source::{EventSource, Next, StreamTiming},
        },
        request::{
            body::{Body, BodyError, full_body},
            call::{self, Call},
            events::{EventSplitter, Events},
            refusal::Refusal,
        },
    },
    prelude::*,
    routing::budget::Cause,
    scheduling::escalation::Verdict,
};
use bytes::Bytes;
use futures::stream;
use http::{Response, response::Parts};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};
use std::sync::atomic::Ordering;

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
            if parts.status.is_success() {
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
                    neglected: false,
                });
                return Ok(Opened::Stream(parts));
            }
            self.record_failure(choice);
            if self.allow_retry(Cause::Failed).is_err() {
                return Ok(Opened::Failure(self.forward_failure(&parts, body).await));
            }
        }
    }

    /// Decides by the answer's confidence whether a larger model answers
    /// instead. If so, a backend server is reserved for it and becomes the next
    /// attempt. `work` is the time that the backend server has spent on the prompt,
    /// in milliseconds.
    fn escalate_to_larger(&mut self, parts: &Parts, work: f64) -> bool {
        let confidence = attempt::parse_confidence(&self.app.names, &parts.headers);
        let is_first = self.model_index == escalate::first(self.call.route.cascade.len());
        if self.events == 0 && is_first {
            self.app.record_first_answer(&self.call, confidence, work);
        }
        if !self.call.any_model || self.events > 0 || self.retries.runs >= self.call.route.attempts
        {
            return false;
        }
        let (larger, quote) = self.reserve_larger(confidence);
        let next = larger.as_ref().map(|(model_index, _)| *model_index);
        self.app
            .log_confidence(&self.call, self.model_index, confidence, next, quote);
        let Some((model_index, choice)) = larger else {
            return false;
        };
        self.model_index = model_index;
        self.reserved = Some(choice);
        true
    }

    /// Chooses a backend server for the larger model, if the confidence is low
    /// enough for the time that remains, the answer is worth the work that it
    /// displaces, and the retry budget allows an escalation. Also returns what
    /// the escalation would cost, if overload control is active.
    fn reserve_larger(&self, confidence: Option<f64>) -> (Option<(usize, Choice)>, Option<Quote>) {
        let models = self.call.route.cascade.len();
        // During a planned stop nothing is escalated: the larger model's answer
        // might not end before the process does.
        let considered = !self.app.stopping.load(Ordering::Acquire)
            && escalate::should_escalate(confidence, 0.0);
        let next = escalate::next_model(self.model_index, models).filter(|_| considered);
        let Some(model_index) = next else {
            return (None, None);
        };
        let quote = self.quote(model_index, confidence);
        if quote.is_some_and(|quote| quote.verdict != Verdict::Allowed) {
            return (None, quote);
        }
        (self.choose_larger(model_index, confidence), quote)
    }

    /// Returns what an escalation to the model at the given place of the
    /// cascade costs, if overload control is active.
    fn quote(&self, model_index: usize, confidence: Option<f64>) -> Option<Quote> {
        self.app.scheduling.as_ref()?;
        let config = self.app.config.current();
        let wanted = self.requirements(model_index, &[], false);
        let outlook = self.app.registry.outlook(&config, &wanted)?;
        self.app.quote_escalation(&self.call, confidence, &outlook)
    }

    fn choose_larger(
        &self,
        model_index: usize,
        confidence: Option<f64>,
    ) -> Option<(usize, Choice)> {
        let choice = self.choose(model_index, &[], false).ok()?;
        let passed = self.app.clock.now().since(self.call.received) + choice.expected_ttft();
        let used = passed.as_secs_f64() / self.call.route.target.as_secs_f64().max(0.001);
        let goes = escalate::should_escalate(confidence, used)
            && self.app.spend_escalation(&self.call.service.name);
        goes.then_some((model_index, choice))
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

    async fn forward_failure(&self, parts: &Parts, body: Incoming) -> Response<Body> {
        // If the body of an error answer breaks off or is too long, its status is still
        // forwarded, with an empty body.
        let left = self.call.remaining(self.app.clock.now());
        let read = tokio::time::timeout(left, self.app.memory.read(body)).await;
        let body = read.ok().and_then(Result::ok).unwrap_or_default();
        let mut response = Response::new(full_body(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = call::response_headers(&self.app.names, &parts.headers);
        response
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

    /// Builds the answer to the caller from the head of the first backend
    /// server's answer and the events to come.
    fn respond(self, parts: &Parts) -> Response<Body> {
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
                Next::Events(events) => {
                    if let Some(bytes) = self.forward(events)? {
                        return Ok(Some(bytes));
                    }
                }
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
                Next::Broken(why) => {
                    if let Some(source) = self.source.take() {
                        self.record_failure(source.choice);
                    }
                    self.resume(why).await?;
                }
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

    /// Records events and returns the bytes to forward. Events that the caller
    /// already has are dropped, and a gap after the last one is an error.
    fn forward(&mut self, events: Events) -> Result<Option<Bytes>, BodyError> {
        if let (Some(first), Some(last)) = (events.first, self.last_event) {
            if events.last.is_some_and(|end| end <= last) {
                return Ok(None);
            }
            if first != last + 1 {
                return Err(
                    "the resumed stream does not begin after the last forwarded event".into(),
                );
            }
        }
        self.last_event = events.last.or(self.last_event);
        self.events += 1;
        self.vindicate();
        self.timing.record(self.call.received, self.app.clock.now());
        Ok(Some(events.bytes))
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
    fn reserve(&mut self, runs: u32, within: Duration) -> bool {
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

    /// Resumes the stream on another backend server.
    async fn resume(&mut self, why: &'static str) -> Result<(), BodyError> {
        self.log_end(why);
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
