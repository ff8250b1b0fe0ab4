//! Requests that are answered with a single, short body.
//!
//! The answer is read completely before any of it is forwarded, so that the
//! request can be sent again if the answer breaks off.

use super::retry::{RetryLimits, RetryState};
use crate::{
    direct::{
        app::App,
        fleet::registry::{Choice, Requirements},
        link::{
            attempt::{self, AttemptParams, Outcome},
            pool::Answer,
        },
        request::{
            call::{self, Call},
            refusal::Refusal,
        },
    },
    listen::{
        body::{Body, full_body},
        memory::ReadError,
    },
    prelude::*,
    routing::budget::Cause,
    site::document::Class,
};
use bytes::Bytes;
use http::Response;

/// Limits on the attempts of a plain request.
const RETRY_LIMITS: RetryLimits = RetryLimits {
    min_time: Duration::from_millis(5),
    max_refusals: 2,
    retry_after: Duration::from_millis(200),
};
/// Share of the remaining time after which an attempt at a repeatable request
/// is abandoned and the request is sent to another backend server. The attempt
/// gets at least twice the route's target latency.
const ATTEMPT_TIME_SHARE: f64 = 0.45;

/// A complete answer of a backend server.
#[derive(Debug)]
struct BufferedAnswer {
    parts: http::response::Parts,
    body: Bytes,
}

/// The attempts so far, and the last error answer of a backend server.
#[derive(Debug)]
struct Progress {
    retries: RetryState,
    failure: Option<BufferedAnswer>,
}

/// Sends a request until it is answered or no further attempt is allowed. If
/// every attempt failed, the last error answer of a backend server is
/// forwarded. If no backend server gave an error answer, the entry itself
/// answers with a refusal.
pub async fn serve(app: &Arc<App>, call: Call) -> Response<Body> {
    let mut progress = Progress {
        retries: RetryState::new(RETRY_LIMITS),
        failure: None,
    };
    let outcome = run_attempts(app, &call, &mut progress).await;
    let refusal = match outcome {
        Ok(done) => return forward(app, done),
        Err(refusal) => refusal,
    };
    if let Some(done) = progress.failure {
        return forward(app, done);
    }
    app.log_refusal(&call, &refusal, progress.retries.tried.len());
    refusal.response()
}

async fn run_attempts(
    app: &Arc<App>,
    call: &Call,
    progress: &mut Progress,
) -> Result<BufferedAnswer, Refusal> {
    loop {
        let now = app.clock.now();
        let left = progress.retries.remaining(app, call)?;
        let leave = app.content.admit(call);
        let leave = leave.map_err(|hold| progress.retries.held_back(hold))?;
        let wanted = Requirements {
            service: &call.service,
            session: call.session,
            model: call.model.as_deref(),
            prompt: call.prompt,
            tried: &progress.retries.tried,
            careful: leave.careful,
        };
        let choice = app.registry.choose(&app.config.current(), &wanted);
        let mut choice = choice.map_err(|why| progress.retries.no_backend(why))?;
        progress
            .retries
            .tried
            .push(Arc::clone(&choice.backend.instance));
        let timeout = attempt_timeout(call, progress, left);
        let outcome = attempt_once(app, call, &mut choice, left, timeout).await;
        app.log_attempt(call, &choice, None, &outcome.label(), now);
        let cause = match outcome {
            AttemptResult::Done(done) if !done.parts.status.is_server_error() => return Ok(done),
            AttemptResult::Done(done) => {
                progress.retries.runs += 1;
                progress.failure = Some(done);
                Cause::Failed
            }
            AttemptResult::NotSent(_) => {
                progress.retries.unsent += 1;
                Cause::NotSent
            }
            AttemptResult::Rejected(_) | AttemptResult::Replaced => {
                progress.retries.refused += 1;
                Cause::Rejected
            }
            AttemptResult::Broken(_) | AttemptResult::Unknown(_) => {
                progress.retries.runs += 1;
                Cause::Failed
            }
        };
        progress.retries.allow_retry(app, call, cause)?;
    }
}

/// Returns the time limit of the next attempt. Only repeatable requests that
/// may be sent again afterwards get less than the remaining time.
fn attempt_timeout(call: &Call, progress: &Progress, left: Duration) -> Duration {
    let last = progress.retries.runs + 1 >= call.route.attempts;
    if call.route.class != Class::Repeatable || last {
        return left;
    }
    left.mul_f64(ATTEMPT_TIME_SHARE)
        .max(call.route.target.saturating_mul(2))
        .min(left)
}

/// The outcome of one attempt, with the complete answer.
#[derive(Debug)]
enum AttemptResult {
    Done(BufferedAnswer),
    NotSent(&'static str),
    Rejected(&'static str),
    Replaced,
    Broken(&'static str),
    Unknown(&'static str),
}

impl AttemptResult {
    fn label(&self) -> String {
        match self {
            Self::Done(done) => format!("answered {}", done.parts.status.as_u16()),
            Self::NotSent(why) => format!("not sent: {why}"),
            Self::Rejected(why) => format!("rejected: {why}"),
            Self::Replaced => Outcome::Replaced.label(),
            Self::Broken(why) | Self::Unknown(why) => format!("unknown: {why}"),
        }
    }
}

async fn attempt_once(
    app: &App,
    call: &Call,
    choice: &mut Choice,
    left: Duration,
    timeout: Duration,
) -> AttemptResult {
    let since = app.clock.now();
    let params = AttemptParams {
        left,
        model: None,
        last_event: None,
    };
    let make = || attempt::request(&app.names, call, choice, params);
    let address = choice.backend.address;
    let work = async {
        let sent = app.pool.send(address, make).await;
        app.record_statement(call, choice, sent.as_ref());
        match attempt::classify(&app.names, call, sent) {
            Outcome::Answered(answer) => read_answer(app, choice, *answer).await,
            Outcome::NotSent(why) => AttemptResult::NotSent(why),
            Outcome::Rejected(why) => AttemptResult::Rejected(why),
            Outcome::Replaced => AttemptResult::Replaced,
            Outcome::Unknown(why) => AttemptResult::Unknown(why),
            Outcome::Broken(why) => AttemptResult::Broken(why),
            Outcome::Silent => AttemptResult::Unknown("no answer within the time limit"),
        }
    };
    let tried = match tokio::time::timeout(timeout, work).await {
        Ok(tried) => tried,
        Err(_elapsed) => AttemptResult::Unknown("no answer within the time limit"),
    };
    let first = app.clock.now().since(since);
    choice.prefill_finished();
    match &tried {
        AttemptResult::Done(done) => {
            choice.record_success();
            app.content.record_good(call);
            let good = !done.parts.status.is_server_error();
            if good {
                app.count_start(call, choice, first);
            }
            app.count_end(call, choice, good);
        }
        AttemptResult::NotSent(_) => choice.record_unreachable(),
        AttemptResult::Rejected(_) => {}
        AttemptResult::Replaced => choice.record_replaced(),
        AttemptResult::Broken(_) | AttemptResult::Unknown(_) => {
            choice.record_failure();
            app.count_end(call, choice, false);
        }
    }
    if matches!(tried, AttemptResult::Broken(_)) {
        app.content.record_break(call, choice, since).await;
    }
    tried
}

async fn read_answer(app: &App, choice: &Choice, answer: Answer) -> AttemptResult {
    let (parts, body, connection) = answer.split();
    let body = match app.memory.read(body).await {
        Ok(body) => body,
        Err(ReadError::TooLong) => {
            return AttemptResult::Unknown("the answer's body is too long");
        }
        Err(ReadError::Broken(error)) if error.is_parse() => {
            return AttemptResult::Unknown("the answer's body is not valid HTTP");
        }
        Err(ReadError::Broken(_)) => {
            return AttemptResult::Broken("the answer's body broke off");
        }
    };
    if !attempt::is_delimited(&parts.headers) && connection.ended_early() {
        return AttemptResult::Broken("the answer ended before its request was received");
    }
    // The length of a body is that of its own bytes. If others came before them, as many are
    // left over.
    if attempt::begins_with_head(&body) && connection.has_ended_soon().await {
        return AttemptResult::Unknown("another answer came between the answer's head and body");
    }
    if attempt::is_delimited(&parts.headers) {
        let keep_alive = attempt::parse_keep_alive(&parts.headers);
        app.pool
            .put_idle(choice.backend.address, connection, keep_alive);
    }
    AttemptResult::Done(BufferedAnswer { parts, body })
}

fn forward(app: &App, done: BufferedAnswer) -> Response<Body> {
    let mut response = Response::new(full_body(done.body));
    *response.status_mut() = done.parts.status;
    *response.headers_mut() = call::response_headers(&app.names, &done.parts.headers);
    response
}
