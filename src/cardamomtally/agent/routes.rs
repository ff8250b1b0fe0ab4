//! The agent's HTTP routes, which entries call.

use super::{
    Parts,
    admission::{Arrival, Outcome},
    answer::Reader,
    attempts::State as AttemptState,
    coordinator::{CancelOutcome, IncomingAttempt, Rejection, StartGrant},
    guard::{self, Forbidden},
    problem::Problem,
    pump,
};
use crate::{
    core::{clock::Mono, id::AttemptId, verdict::Verdict},
    daemon::{
        body::{self, BodySource},
        request_tracker::RequestGuard,
    },
    net::{
        codec,
        run::{
            ATTEMPT_HEADER, AttemptStatus, Frame, HEAD_HEADER, INCARNATION_HEADER, LOAD_HEADER,
            Probe, RunHead, Target,
        },
    },
};
use bytes::Bytes;
use futures::{Stream, stream};
use rocket::{
    Request, Route, State,
    data::Data,
    get,
    http::{Header, Status},
    post,
    request::{FromRequest, Outcome as Extracted},
    response::{self, Responder, Response, stream::ByteStream},
    routes,
    serde::json::Json,
};
use std::{convert::Infallible, pin::Pin, sync::Arc, time::Duration};

/// Maximum time that an attempt waits for the agent to receive the configuration
/// that its entry already holds, in milliseconds.
const CONFIG_WAIT_MS: u64 = 1_500;

/// Interval at which an attempt that waits for the configuration checks it, in
/// milliseconds.
const CONFIG_CHECK_INTERVAL_MS: u64 = 20;

/// Returns all routes.
#[must_use]
pub fn all() -> Vec<Route> {
    routes![run, resume, ask, cancel, billed, probe]
}

/// The headers of `POST /run`.
#[derive(Debug)]
pub struct Headers {
    attempt: Option<AttemptId>,
    head: Result<RunHead, String>,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Headers {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Extracted<Self, Infallible> {
        let headers = request.headers();
        let attempt = headers
            .get_one(ATTEMPT_HEADER)
            .and_then(|id| id.parse().ok());
        let head = headers
            .get_one(HEAD_HEADER)
            .ok_or_else(|| format!("the header `{HEAD_HEADER}` is missing"))
            .and_then(|json| serde_json::from_str(json).map_err(|error| error.to_string()));
        Extracted::Success(Self { attempt, head })
    }
}

/// A stream of frames with the agent's headers.
pub struct Frames {
    attempt: AttemptId,
    incarnation: String,
    load: String,
    stream: Pin<Box<dyn Stream<Item = Vec<u8>> + Send>>,
}

impl std::fmt::Debug for Frames {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Frames").finish_non_exhaustive()
    }
}

impl Frames {
    fn new(
        parts: &Parts,
        attempt: AttemptId,
        reader: Reader,
        guard: Option<Arc<RequestGuard>>,
    ) -> Self {
        let load = parts.coordinator.view().load;
        Self {
            attempt,
            incarnation: parts.incarnation.to_string(),
            load: serde_json::to_string(&load).unwrap_or_default(),
            stream: Box::pin(frames(reader, guard)),
        }
    }
}

impl<'r> Responder<'r, 'r> for Frames {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        Response::build_from(ByteStream(self.stream).respond_to(request)?)
            .header(Header::new(ATTEMPT_HEADER, self.attempt.to_string()))
            .header(Header::new(INCARNATION_HEADER, self.incarnation))
            .header(Header::new(LOAD_HEADER, self.load))
            .ok()
    }
}

/// Encodes a reader's frames, each after its length. The request counts as in
/// flight until the stream and its guard are dropped.
fn frames(reader: Reader, guard: Option<Arc<RequestGuard>>) -> impl Stream<Item = Vec<u8>> + Send {
    stream::unfold((reader, guard), |(mut reader, guard)| async move {
        let frame = reader.next().await?;
        Some((encode(&frame), (reader, guard)))
    })
}

/// Encodes one frame after its 4-byte big-endian length.
#[must_use]
pub fn encode(frame: &Frame) -> Vec<u8> {
    let body = codec::encode(frame);
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

#[post("/run", data = "<data>")]
async fn run(
    headers: Headers,
    source: BodySource<'_>,
    data: Data<'_>,
    parts: &State<Arc<Parts>>,
) -> Result<Frames, Box<Problem>> {
    let parts = parts.inner();
    let Some(attempt) = headers.attempt else {
        return Err(bad_request(
            parts,
            None,
            format!("the header `{ATTEMPT_HEADER}` is no id"),
        ));
    };
    let head = match headers.head {
        Ok(head) => head,
        Err(reason) => return Err(bad_request(parts, Some(attempt), reason)),
    };
    let limit = parts.settings.http.request_limit;
    let Some(request_guard) = parts.requests.try_start(limit).map(Arc::new) else {
        return Err(refuse_unadmitted(parts, attempt, "the agent takes no new work").await);
    };
    let deadline = parts.clock.now() + Duration::from_millis(head.deadline_ms);
    if is_suspect(parts, &head) && !parts.refresh_config().await {
        let reason = "it is not known whether this request is quarantined";
        return Err(refuse_unadmitted(parts, attempt, reason).await);
    }
    if let Err(reason) = check(parts, &head, deadline).await {
        return Err(refuse_unadmitted(parts, attempt, &reason).await);
    }
    let body = match body::read((&parts.settings.http).into(), source, data).await {
        Ok(body) => body,
        Err(fault) => return Err(refuse_unadmitted(parts, attempt, &fault.to_string()).await),
    };
    let grant = parts
        .coordinator
        .admit(incoming(parts, attempt, &head, deadline))
        .await
        .map_err(|rejection| unavailable(parts, attempt, &rejection))?;
    if let Err(reason) = check_now(parts, &head) {
        parts
            .coordinator
            .on_end(attempt, Outcome::Cancelled, AttemptState::NotRun);
        return Err(unavailable(parts, attempt, &not_run(&reason.to_string())));
    }
    start(parts, attempt, head, body, grant, deadline, request_guard)
}

#[get("/attempts/<attempt>?<from>")]
async fn resume(
    attempt: &str,
    from: Option<u64>,
    parts: &State<Arc<Parts>>,
) -> Result<Frames, Box<Problem>> {
    let parts = parts.inner();
    let attempt = parse_attempt(parts, attempt)?;
    let answer = parts.coordinator.find_answer(attempt).await;
    let reader = answer.and_then(|answer| answer.reader(Some(from.unwrap_or(0))));
    let Some(reader) = reader else {
        let lost = Rejection {
            reason: "the answer is not kept".into(),
            verdict: Verdict::Unknown,
            retry: false,
        };
        return Err(Problem::new(parts, Status::NotFound, Some(attempt), &lost));
    };
    // An agent that is stopping still serves this request. The request tracker is
    // closed then and returns no guard, so the request is served uncounted.
    let guard = parts.requests.try_start(u32::MAX).map(Arc::new);
    Ok(Frames::new(parts, attempt, reader, guard))
}

/// A response with the agent's incarnation in a header.
#[derive(Debug)]
struct WithIncarnation<T> {
    incarnation: String,
    value: T,
}

impl<'r, T: Responder<'r, 'static>> Responder<'r, 'static> for WithIncarnation<T> {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'static> {
        Response::build_from(self.value.respond_to(request)?)
            .header(Header::new(INCARNATION_HEADER, self.incarnation))
            .ok()
    }
}

fn with_incarnation<T>(parts: &Parts, value: T) -> WithIncarnation<T> {
    WithIncarnation {
        incarnation: parts.incarnation.to_string(),
        value,
    }
}

#[post("/attempts/<attempt>/ask")]
async fn ask(
    attempt: &str,
    parts: &State<Arc<Parts>>,
) -> Result<WithIncarnation<Json<AttemptStatus>>, Box<Problem>> {
    let attempt = parse_attempt(parts, attempt)?;
    let known = parts.coordinator.query(attempt).await;
    Ok(with_incarnation(parts, Json(known)))
}

#[post("/attempts/<attempt>/cancel")]
async fn cancel(
    attempt: &str,
    parts: &State<Arc<Parts>>,
) -> Result<WithIncarnation<Status>, Box<Problem>> {
    let attempt = parse_attempt(parts, attempt)?;
    if parts.coordinator.cancel(attempt).await == CancelOutcome::Running {
        parts.cancels.notify(attempt);
    }
    Ok(with_incarnation(parts, Status::NoContent))
}

#[post("/attempts/<attempt>/billed")]
fn billed(
    attempt: &str,
    parts: &State<Arc<Parts>>,
) -> Result<WithIncarnation<Status>, Box<Problem>> {
    let attempt = parse_attempt(parts, attempt)?;
    parts.records.billed(attempt);
    parts.coordinator.on_billed(attempt);
    Ok(with_incarnation(parts, Status::NoContent))
}

#[get("/probe")]
fn probe(parts: &State<Arc<Parts>>) -> WithIncarnation<Json<Probe>> {
    let view = parts.coordinator.view();
    let ready = parts.is_ready();
    let probe = Probe {
        backend: parts.settings.process.name.as_str().into(),
        incarnation: parts.incarnation,
        load: view.load,
        ready,
        prefixes: Vec::new(),
    };
    with_incarnation(parts, Json(probe))
}

fn start(
    parts: &Arc<Parts>,
    attempt: AttemptId,
    head: RunHead,
    body: Bytes,
    grant: StartGrant,
    deadline: Mono,
    request_guard: Arc<RequestGuard>,
) -> Result<Frames, Box<Problem>> {
    let Some(reader) = grant.answer.reader(None) else {
        return Err(unavailable(
            parts,
            attempt,
            &not_run("the attempt has ended"),
        ));
    };
    let frames = Frames::new(parts, attempt, reader, Some(Arc::clone(&request_guard)));
    let job = pump::Job {
        attempt,
        head,
        body,
        answer: grant.answer,
        epoch: grant.epoch,
        deadline,
        cancel: parts.cancels.register(attempt),
    };
    let parts = Arc::clone(parts);
    tokio::spawn(async move {
        pump::run(Arc::clone(&parts), job).await;
        parts.cancels.remove(attempt);
        drop(request_guard);
    });
    Ok(frames)
}

fn incoming(parts: &Parts, attempt: AttemptId, head: &RunHead, deadline: Mono) -> IncomingAttempt {
    IncomingAttempt {
        arrival: Arrival {
            attempt,
            priority: head.priority,
            deadline,
            suspect: is_suspect(parts, head),
        },
        digest: head.digest,
        repeatable: head.repeatable,
    }
}

/// Returns whether a request may crash the backend server.
fn is_suspect(parts: &Parts, head: &RunHead) -> bool {
    let snapshot = Arc::clone(&parts.lease.held().snapshot);
    head.suspect || snapshot.suspects.contains(&head.digest)
}

/// Checks an attempt. If the entry's configuration is newer than the agent's,
/// polls control once and waits for it.
async fn check(parts: &Parts, head: &RunHead, deadline: Mono) -> Result<(), String> {
    if !head.repeatable && head.agent.is_none() {
        return Err("a request that may not be repeated must name the agent's incarnation".into());
    }
    if head.agent.is_some_and(|agent| agent != parts.incarnation) {
        return Err("the agent has restarted since".into());
    }
    let wait = Duration::from_millis(CONFIG_WAIT_MS);
    let until = deadline.min(parts.clock.now() + wait);
    let mut polled = false;
    loop {
        match check_now(parts, head) {
            Err(Refusal::Config(Forbidden::ConfigStale)) if parts.clock.now() < until => {}
            outcome => return outcome.map_err(|refusal| refusal.to_string()),
        }
        if !polled {
            parts.lease.poll_now();
            polled = true;
        }
        tokio::time::sleep(Duration::from_millis(CONFIG_CHECK_INTERVAL_MS)).await;
    }
}

/// Why an attempt may not start.
#[derive(Debug)]
enum Refusal {
    Config(Forbidden),
    NotLoaded,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Config(forbidden) => forbidden.fmt(f),
            Self::NotLoaded => f.write_str("the version's weights are not loaded"),
        }
    }
}

fn check_now(parts: &Parts, head: &RunHead) -> Result<(), Refusal> {
    let lease = parts.lease.held();
    let backend = &parts.settings.process.name;
    guard::check(&lease, parts.clock.now(), backend, head).map_err(Refusal::Config)?;
    if let Target::Version(id) = &head.target
        && let Some(versions) = &parts.coordinator.view().versions
        && !versions.iter().any(|name| **name == *id.name)
    {
        return Err(Refusal::NotLoaded);
    }
    Ok(())
}

/// Refuses an attempt that has not reached admission control. The query leaves a
/// tombstone, so that a copy that arrives later is refused too.
async fn refuse_unadmitted(parts: &Parts, attempt: AttemptId, reason: &str) -> Box<Problem> {
    let verdict = match parts.coordinator.query(attempt).await {
        AttemptStatus::NotSeen | AttemptStatus::NotRun => Verdict::NotRun,
        AttemptStatus::Running | AttemptStatus::Ended | AttemptStatus::Unknown => Verdict::Unknown,
    };
    let rejection = Rejection {
        verdict,
        ..not_run(reason)
    };
    unavailable(parts, attempt, &rejection)
}

fn not_run(reason: &str) -> Rejection {
    Rejection {
        reason: reason.into(),
        verdict: Verdict::NotRun,
        retry: true,
    }
}

fn unavailable(parts: &Parts, attempt: AttemptId, rejection: &Rejection) -> Box<Problem> {
    Problem::new(parts, Status::ServiceUnavailable, Some(attempt), rejection)
}

fn bad_request(parts: &Parts, attempt: Option<AttemptId>, reason: String) -> Box<Problem> {
    let rejection = Rejection {
        reason: reason.into(),
        verdict: Verdict::NotRun,
        retry: false,
    };
    Problem::new(parts, Status::BadRequest, attempt, &rejection)
}

fn parse_attempt(parts: &Parts, attempt: &str) -> Result<AttemptId, Box<Problem>> {
    attempt
        .parse()
        .map_err(|_e| bad_request(parts, None, format!("`{attempt}` is no attempt id")))
}
