//! Requests whose answers are streams of events.
//!
//! Events are passed on as they become whole. When a backend server breaks off
//! or falls silent, a resumable stream goes on at another one behind the last
//! event that the caller has, within the same answer; the first connection is
//! closed before, so that no two work on it. What cannot go on is broken off,
//! so that it does not look complete.

use super::{
    app::App,
    attempt::{self, AttemptParams, Outcome},
    body::{Body, BodyError, whole},
    call::{self, Call},
    escalate,
    events::{EventSplitter, Events},
    pool::Answer,
    refusal::Refusal,
    registry::{Choice, NoChoice, Requirements},
    retry::{RetryLimits, RetryState},
    source::{EventSource, Next, StreamTiming},
};
use crate::{prelude::*, routing::budget::Cause};
use bytes::Bytes;
use futures::stream;
use http::{Response, response::Parts};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};
use std::sync::atomic::Ordering;

/// How often a stream may be sent.
const RETRY_LIMITS: RetryLimits = RetryLimits {
    min_time: Duration::from_millis(20),
    max_refusals: 3,
    retry_after: Duration::from_millis(300),
};
/// Part of the longest good pause after which a stream is taken for stuck.
const STALL_SHARE: f64 = 0.8;
/// Silence before the first event that lets a stream go elsewhere, beside the
/// parts below.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(600);
/// Part of the route's target that adds to it.
const FIRST_EVENT_TARGET_SHARE: f64 = 0.4;
/// How many times the time that was expected adds to it.
const FIRST_EVENT_EXPECTED_FACTOR: f64 = 3.0;

/// A stream that is being passed on.
struct StreamRelay {
    app: Arc<App>,
    call: Arc<Call>,
    retries: RetryState,
    model_index: usize,
    last_event: Option<u64>,
    events: u32,
    timing: StreamTiming,
    source: Option<EventSource>,
    /// Where to go on, if that was chosen before.
    reserved: Option<Choice>,
}

/// Serves a request.
pub async fn serve(app: &Arc<App>, call: Call, last: Option<u64>) -> Response<Body> {
    let mut flow = StreamRelay {
        app: Arc::clone(app),
        model_index: escalate::first(call.route.cascade.len()),
        call: Arc::new(call),
        retries: RetryState::new(RETRY_LIMITS),
        last_event: last,
        events: 0,
        timing: StreamTiming::default(),
        source: None,
        reserved: None,
    };
    match flow.open().await {
        Ok(Opened::Stream(parts)) => flow.respond(&parts),
        Ok(Opened::Failure(response)) => response,
        Err(refusal) => {
            app.log_refusal(&flow.call, &refusal, flow.retries.tried.len());
            refusal.response()
        }
    }
}

/// The head of an answer.
enum Opened {
    /// Events follow.
    Stream(Parts),
    /// The backend server's own failure, whole.
    Failure(Response<Body>),
}

impl StreamRelay {
    /// Sends the request until a backend server begins to answer.
    async fn open(&mut self) -> Result<Opened, Refusal> {
        loop {
            let since = self.app.clock.now();
            let answer = self.attempt().await?;
            let Some((mut choice, answer)) = answer else {
                continue;
            };
            choice.prefill_finished();
            let (parts, body, connection) = answer.split();
            if let Some((running, waiting)) = attempt::parse_load(&self.app.names, &parts.headers) {
                let instance = &choice.backend.instance;
                self.app.registry.report(instance, running, waiting);
            }
            if parts.status.is_success() {
                if self.escalate_to_larger(&parts) {
                    self.retries.tried.clear();
                    continue;
                }
                self.source = Some(EventSource {
                    choice,
                    connection,
                    body,
                    splitter: EventSplitter::default(),
                    keep_alive: attempt::parse_keep_alive(&parts.headers),
                    first: self.app.clock.now().since(since),
                });
                return Ok(Opened::Stream(parts));
            }
            self.record_failure(choice);
            if self.allow_retry(Cause::Failed).is_err() {
                return Ok(Opened::Failure(self.forward_failure(&parts, body).await));
            }
        }
    }

    /// Tells whether a larger model is to answer, and reserves its place.
    fn escalate_to_larger(&mut self, parts: &Parts) -> bool {
        if !self.call.any_model || self.events > 0 || self.retries.runs >= self.call.route.attempts
        {
            return false;
        }
        let confidence = attempt::parse_confidence(&self.app.names, &parts.headers);
        let larger = self.reserve_larger(confidence);
        let next = larger.as_ref().map(|(model_index, _)| *model_index);
        self.app
            .log_confidence(&self.call, self.model_index, confidence, next);
        let Some((model_index, choice)) = larger else {
            return false;
        };
        self.model_index = model_index;
        self.reserved = Some(choice);
        true
    }

    /// Chooses where a larger model answers, if this confidence calls for it.
    fn reserve_larger(&self, confidence: Option<f64>) -> Option<(usize, Choice)> {
        let model_index = escalate::next_model(self.model_index, self.call.route.cascade.len())?;
        // A large model's answer might outlast a planned stop.
        if self.app.stopping.load(Ordering::Acquire) || !escalate::should_escalate(confidence, 0.0)
        {
            return None;
        }
        let choice = self.choose(model_index, &[]).ok()?;
        let passed = self.app.clock.now().since(self.call.received) + choice.expected_ttft();
        let used = passed.as_secs_f64() / self.call.route.target.as_secs_f64().max(0.001);
        let goes = escalate::should_escalate(confidence, used)
            && self.app.spend_escalation(&self.call.service.name);
        goes.then_some((model_index, choice))
    }

    /// Takes note of silence, unless prompts that are read explain it.
    fn record_silence(&self, choice: Choice, silence: Duration) {
        if !choice.explains_silence(silence) {
            self.record_failure(choice);
        }
    }

    fn record_failure(&self, mut choice: Choice) {
        choice.record_failure();
        self.app.count(&self.call, &choice, None);
    }

    async fn forward_failure(&self, parts: &Parts, body: Incoming) -> Response<Body> {
        // A failure whose body breaks off is still that failure.
        let body = body
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        let mut response = Response::new(whole(body.unwrap_or_default()));
        *response.status_mut() = parts.status;
        *response.headers_mut() = call::response_headers(&self.app.names, &parts.headers);
        response
    }

    /// Sends the request once. Returns nothing if it may be sent again.
    async fn attempt(&mut self) -> Result<Option<(Choice, Answer)>, Refusal> {
        let now = self.app.clock.now();
        let left = self.retries.remaining(&self.app, &self.call)?;
        let choice = if let Some(choice) = self.reserved.take() {
            choice
        } else {
            let chosen = self.choose(self.model_index, &self.retries.tried);
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
                self.retries.refused += 1;
                self.allow_retry(Cause::NotSent)?;
                Ok(None)
            }
            Outcome::Rejected(_) => {
                self.retries.refused += 1;
                self.allow_retry(Cause::Rejected)?;
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
        self.retries.allow_retry(&self.app, &self.call, cause)
    }

    /// Chooses a backend server for a model of the cascade.
    fn choose(&self, model_index: usize, tried: &[Name]) -> Result<Choice, NoChoice> {
        let wanted = Requirements {
            service: &self.call.service,
            session: self.call.session,
            model: self.model_at(model_index).or(self.call.model.as_deref()),
            prompt: self.call.prompt,
            tried,
        };
        let config = self.app.config.current();
        self.app.registry.choose(&config, &wanted)
    }

    /// Sends the request and waits for the head of an answer. What stays silent
    /// for too long is given up if the request may go on elsewhere.
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
            + choice.expected_ttft().mul_f64(FIRST_EVENT_EXPECTED_FACTOR);
        let sent = match tokio::time::timeout(first.min(left), sending.as_mut()).await {
            Ok(sent) => Some(sent),
            Err(_elapsed) if self.reserve(self.retries.runs + 1, left) => None,
            Err(_elapsed) => {
                let rest = left.saturating_sub(first);
                tokio::time::timeout(rest, sending).await.ok()
            }
        };
        sent.map_or(Outcome::Silent, |sent| {
            attempt::classify(&app.names, &call, sent)
        })
    }

    /// Returns the model to ask, where the entry chooses it.
    fn model(&self) -> Option<&str> {
        self.model_at(self.model_index)
    }

    fn model_at(&self, model_index: usize) -> Option<&str> {
        let model = self.call.route.cascade.get(model_index);
        model.filter(|_| self.call.any_model).map(|m| &**m)
    }

    /// Answers with the first backend server's head and the events to come.
    fn respond(self, parts: &Parts) -> Response<Body> {
        let status = parts.status;
        let headers = call::response_headers(&self.app.names, &parts.headers);
        let events = stream::unfold(Some(Box::new(self)), async |flow| {
            let mut flow = flow?;
            match flow.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(flow))),
                Ok(None) => None,
                Err(error) => {
                    flow.log_end(&format!("broken off: {error}"));
                    Some((Err(error), None))
                }
            }
        });
        let mut response = Response::new(StreamBody::new(events).boxed_unsync());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Returns the next events, or nothing at the end.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let left = self.call.remaining(self.app.clock.now());
            let Some(source) = &mut self.source else {
                return Err("the stream has no source".into());
            };
            let stall_timeout = self.call.route.pause.mul_f64(STALL_SHARE).min(left);
            let next = match tokio::time::timeout(stall_timeout, source.next()).await {
                Ok(next) => next,
                Err(_elapsed) if left.is_zero() => return Err("no time is left".into()),
                Err(_elapsed) if self.reserve_after_stall(stall_timeout) => {
                    Next::Silent(stall_timeout)
                }
                // Silence alone ends no answer.
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
                    self.resume("the backend server fell silent").await?;
                }
            }
        }
    }

    /// Takes note of events; those that the caller has already are dropped.
    fn forward(&mut self, events: Events) -> Result<Option<Bytes>, BodyError> {
        if let (Some(first), Some(last)) = (events.first, self.last_event) {
            if events.last.is_some_and(|end| end <= last) {
                return Ok(None);
            }
            if first != last + 1 {
                return Err("the stream does not go on where it broke off".into());
            }
        }
        self.last_event = events.last.or(self.last_event);
        self.events += 1;
        self.timing.record(self.call.received, self.app.clock.now());
        Ok(Some(events.bytes))
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
        self.app
            .count(&self.call, &source.choice, Some(source.first));
        let address = source.choice.backend.address;
        self.app
            .pool
            .put_idle(address, source.connection, source.keep_alive);
        self.log_end("complete");
    }

    /// Tells whether a stream that has been silent goes on elsewhere. Where long
    /// prompts explain the silence, it does only if that is still a good pause.
    fn reserve_after_stall(&mut self, silence: Duration) -> bool {
        let delayed = |source: &EventSource| source.choice.explains_silence(silence);
        let within = if self.source.as_ref().is_some_and(delayed) {
            self.call.route.pause.saturating_sub(silence)
        } else {
            Duration::MAX
        };
        self.reserve(self.retries.runs, within)
    }

    /// Finds where a silent stream may go on after some runs, before what it has
    /// is given up; its first event must be due within a time.
    fn reserve(&mut self, runs: u32, within: Duration) -> bool {
        let allowed = self.retries.remaining(&self.app, &self.call).is_ok()
            && runs < self.call.route.attempts
            && self.call.route.class.repeats();
        if !allowed {
            return false;
        }
        let choice = self.choose(self.model_index, &self.retries.tried).ok();
        let choice = choice.filter(|choice| choice.expected_ttft() <= within);
        self.reserved =
            choice.filter(|_| self.app.spend_retry(&self.call.service.name, Cause::Failed));
        self.reserved.is_some()
    }

    /// Goes on at another backend server.
    async fn resume(&mut self, why: &'static str) -> Result<(), BodyError> {
        self.log_end(why);
        if self.reserved.is_none() {
            self.allow_retry(Cause::Failed).map_err(|r| r.detail)?;
        }
        match self.open().await {
            Ok(Opened::Stream(_)) => Ok(()),
            Ok(Opened::Failure(_)) => Err("no backend server goes on".into()),
            Err(refusal) => Err(refusal.detail.into()),
        }
    }
}
