//! Requests whose answers are short and forwarded whole.

use super::{
    app::App,
    attempt::{self, Outcome, Turn},
    body::{Body, whole},
    call::{self, Call},
    holder::Held,
    pool::Answer,
    refusal::Refusal,
    registry::{Choice, NoChoice, Wanted},
};
use crate::{prelude::*, routing::budget::Cause, site::document::Class};
use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt as _, Limited};

/// Longest answer that is forwarded whole.
const ANSWER_BYTES: usize = 8 << 20;
/// Time below which nothing is sent any more.
const LEAST: Duration = Duration::from_millis(5);
/// Backend servers that may refuse a request, beyond those that may run it.
const REFUSALS: u32 = 2;
/// Part of the time left after which a repeatable request is tried elsewhere.
const HEDGE: f64 = 0.45;

/// A whole answer of a backend server.
#[derive(Debug)]
struct Done {
    parts: http::response::Parts,
    body: Bytes,
}

/// What has come of a request so far.
#[derive(Debug, Default)]
struct Progress {
    tried: Vec<Name>,
    /// Backend servers that may have run it.
    runs: u32,
    failure: Option<Done>,
}

/// Serves a request.
pub async fn serve(app: &Arc<App>, held: &Held, call: Call) -> Response<Body> {
    let mut progress = Progress::default();
    let outcome = attempts(app, held, &call, &mut progress).await;
    let refusal = match outcome {
        Ok(done) => return forward(app, done),
        Err(refusal) => refusal,
    };
    if let Some(done) = progress.failure {
        return forward(app, done);
    }
    app.note_refusal(&call, &refusal, progress.tried.len());
    refusal.response()
}

async fn attempts(
    app: &Arc<App>,
    held: &Held,
    call: &Call,
    progress: &mut Progress,
) -> Result<Done, Refusal> {
    loop {
        let now = app.clock.now();
        let left = call.left(now);
        if left < LEAST {
            return Err(progress.give_up(StatusCode::GATEWAY_TIMEOUT, "no time is left"));
        }
        let wanted = Wanted {
            service: &call.service,
            session: call.session,
            model: call.model.as_deref(),
            prompt: call.prompt,
            tried: &progress.tried,
        };
        let choice = app.registry.choose(held, &wanted);
        let mut choice = choice.map_err(|why| progress.no_choice(why))?;
        progress.tried.push(Arc::clone(&choice.backend.instance));
        let limit = limit(call, progress, left);
        let outcome = one(app, call, &mut choice, left, limit).await;
        app.note_attempt(call, &choice, None, &outcome.label(), now);
        let cause = match outcome {
            Tried::Done(done) if !done.parts.status.is_server_error() => return Ok(done),
            Tried::Done(done) => {
                progress.runs += 1;
                progress.failure = Some(done);
                Cause::Failed
            }
            Tried::Unsent(_) => Cause::NotSent,
            Tried::Rejected(_) => Cause::Rejected,
            Tried::Unknown(_) => {
                progress.runs += 1;
                Cause::Failed
            }
        };
        progress.go_on(app, call, cause)?;
    }
}

/// Returns how long one attempt may take.
fn limit(call: &Call, progress: &Progress, left: Duration) -> Duration {
    let last = progress.runs + 1 >= call.route.attempts;
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

impl Progress {
    fn give_up(&self, status: StatusCode, detail: &'static str) -> Refusal {
        if self.runs == 0 {
            return Refusal::unavailable(detail, Duration::from_millis(200));
        }
        Refusal::unknown(status, detail)
    }

    fn no_choice(&self, why: NoChoice) -> Refusal {
        let detail = match why {
            NoChoice::None => "no other backend server may run it",
            NoChoice::Busy => "all backend servers are busy or failing",
        };
        self.give_up(StatusCode::BAD_GATEWAY, detail)
    }

    /// Allows another attempt, or ends the request.
    fn go_on(&self, app: &App, call: &Call, cause: Cause) -> Result<(), Refusal> {
        if call.left(app.clock.now()) < LEAST {
            return Err(self.give_up(StatusCode::GATEWAY_TIMEOUT, "no time is left"));
        }
        let may_repeat = self.runs == 0 || call.route.class.repeats();
        if !may_repeat {
            return Err(self.give_up(StatusCode::BAD_GATEWAY, "the backend server failed"));
        }
        let most = call.route.attempts.max(1) + REFUSALS;
        if self.tried.len() as u32 >= most || self.runs >= call.route.attempts {
            return Err(self.give_up(StatusCode::BAD_GATEWAY, "no attempt is left"));
        }
        if !app.spend(&call.service.name, cause) {
            return Err(self.give_up(StatusCode::BAD_GATEWAY, "the retry budget is spent"));
        }
        Ok(())
    }
}

fn forward(app: &App, done: Done) -> Response<Body> {
    let mut response = Response::new(whole(done.body));
    *response.status_mut() = done.parts.status;
    *response.headers_mut() = call::pass_back(&app.names, &done.parts.headers);
    response
}
