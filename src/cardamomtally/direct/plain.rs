//! Requests whose answers are short and forwarded whole.

use super::{
    app::App,
    attempt::{self, Outcome, Turn},
    body::{Body, whole},
    call::{self, Call},
    pool::Answer,
    refusal::Refusal,
    registry::{Choice, Wanted},
    tries::{Tries, TryLimits},
};
use crate::{prelude::*, routing::budget::Cause, site::document::Class};
use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt as _, Limited};

/// Longest answer that is forwarded whole.
const ANSWER_BYTES: usize = 8 << 20;
/// How often a plain request may be sent.
const LIMITS: TryLimits = TryLimits {
    least: Duration::from_millis(5),
    refusals: 2,
    back: Duration::from_millis(200),
};
/// Part of the time left after which a repeatable request is tried elsewhere.
const HEDGE: f64 = 0.45;

/// A whole answer of a backend server.
#[derive(Debug)]
struct Done {
    parts: http::response::Parts,
    body: Bytes,
}

/// What has come of a request so far.
#[derive(Debug)]
struct Progress {
    tries: Tries,
    failure: Option<Done>,
}

/// Serves a request.
pub async fn serve(app: &Arc<App>, call: Call) -> Response<Body> {
    let mut progress = Progress {
        tries: Tries::new(LIMITS),
        failure: None,
    };
    let outcome = attempts(app, &call, &mut progress).await;
    let refusal = match outcome {
        Ok(done) => return forward(app, done),
        Err(refusal) => refusal,
    };
    if let Some(done) = progress.failure {
        return forward(app, done);
    }
    app.note_refusal(&call, &refusal, progress.tries.tried.len());
    refusal.response()
}

async fn attempts(app: &Arc<App>, call: &Call, progress: &mut Progress) -> Result<Done, Refusal> {
    loop {
        let now = app.clock.now();
        let left = progress.tries.left(app, call)?;
        let wanted = Wanted {
            service: &call.service,
            session: call.session,
            model: call.model.as_deref(),
            prompt: call.prompt,
            tried: &progress.tries.tried,
        };
        let choice = app.registry.choose(&app.holder.held(), &wanted);
        let mut choice = choice.map_err(|why| progress.tries.no_choice(why))?;
        progress
            .tries
            .tried
            .push(Arc::clone(&choice.backend.instance));
        let limit = limit(call, progress, left);
        let outcome = one(app, call, &mut choice, left, limit).await;
        app.note_attempt(call, &choice, None, &outcome.label(), now);
        let cause = match outcome {
            Tried::Done(done) if !done.parts.status.is_server_error() => return Ok(done),
            Tried::Done(done) => {
                progress.tries.runs += 1;
                progress.failure = Some(done);
                Cause::Failed
            }
            Tried::Unsent(_) => {
                progress.tries.refused += 1;
                Cause::NotSent
            }
            Tried::Rejected(_) => {
                progress.tries.refused += 1;
                Cause::Rejected
            }
            Tried::Unknown(_) => {
                progress.tries.runs += 1;
                Cause::Failed
            }
        };
        progress.tries.go_on(app, call, cause)?;
    }
}

/// Returns how long one attempt may take.
fn limit(call: &Call, progress: &Progress, left: Duration) -> Duration {
    let last = progress.tries.runs + 1 >= call.route.attempts;
    if call.route.class != Class::Repeatable || last {
        return left;
    }
    left.mul_f64(HEDGE).max(call.route.target * 2).min(left)
}

/// What one attempt led to.
#[derive(Debug)]
enum Tried {
    Done(Done),
    Unsent(&'static str),
    Rejected(&'static str),
    Unknown(&'static str),
}

impl Tried {
    fn label(&self) -> String {
        match self {
            Self::Done(done) => format!("answered {}", done.parts.status.as_u16()),
            Self::Unsent(why) => format!("not sent: {why}"),
            Self::Rejected(why) => format!("rejected: {why}"),
            Self::Unknown(why) => format!("unknown: {why}"),
        }
    }
}

async fn one(
    app: &App,
    call: &Call,
    choice: &mut Choice,
    left: Duration,
    limit: Duration,
) -> Tried {
    let since = app.clock.now();
    let turn = Turn {
        left,
        model: None,
        last: None,
    };
    let make = || attempt::request(&app.names, call, choice, turn);
    let address = choice.backend.address;
    let work = async {
        let sent = app.pool.send(address, make).await;
        match attempt::judge(&app.names, call, sent) {
            Outcome::Answered(answer) => read(app, choice, *answer).await,
            Outcome::Unsent(why) => Tried::Unsent(why),
            Outcome::Rejected(why) => Tried::Rejected(why),
            Outcome::Unknown(why) => Tried::Unknown(why),
            Outcome::Silent => Tried::Unknown("no answer in time"),
        }
    };
    let tried = match tokio::time::timeout(limit, work).await {
        Ok(tried) => tried,
        Err(_elapsed) => Tried::Unknown("no answer in time"),
    };
    let first = app.clock.now().since(since);
    choice.begun();
    match &tried {
        Tried::Done(done) => {
            choice.good();
            let good = !done.parts.status.is_server_error();
            app.count(call, choice, good.then_some(first));
        }
        Tried::Unsent(_) => choice.gone(),
        Tried::Rejected(_) => {}
        Tried::Unknown(_) => {
            choice.bad();
            app.count(call, choice, None);
        }
    }
    tried
}

async fn read(app: &App, choice: &Choice, answer: Answer) -> Tried {
    let (parts, body, connection) = answer.split();
    if let Some((running, waiting)) = attempt::load(&app.names, &parts.headers) {
        app.registry
            .report(&choice.backend.instance, running, waiting);
    }
    let Ok(body) = Limited::new(body, ANSWER_BYTES).collect().await else {
        return Tried::Unknown("the answer broke off");
    };
    let limit = attempt::keep(&parts.headers);
    app.pool.keep(choice.backend.address, connection, limit);
    Tried::Done(Done {
        parts,
        body: body.to_bytes(),
    })
}

fn forward(app: &App, done: Done) -> Response<Body> {
    let mut response = Response::new(whole(done.body));
    *response.status_mut() = done.parts.status;
    *response.headers_mut() = call::pass_back(&app.names, &done.parts.headers);
    response
}
