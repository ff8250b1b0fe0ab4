//! HTTP interface for callers: reads a request, checks it and answers it.
//!
//! One handler takes every method and path that has no route of its own,
//! because the paths of plain services are defined by tickets. A faulty request
//! is refused before anything is sent to an agent, so such refusals state
//! `not-run`.

use super::{
    app::App,
    call::{Call, CallParts, Completion},
    complete,
    problem::Problem,
    repeat,
    reply::Reply,
    service,
};
use crate::{
    core::{
        id::{Name, RequestId},
        snapshot::{Snapshot, WorkspaceKey},
        verdict::Verdict,
    },
    daemon::{
        body::{self, BodyReadError, BodySource},
        request_tracker::RequestGuard,
    },
    listen::memory::BufferMemory,
    settings::common::HttpSettings,
};
use bytes::Bytes;
use rocket::{
    Data, Request, Route,
    http::Method,
    route::{Handler, Outcome},
};
use serde::Serialize;
use std::sync::Arc;

/// Rank of the callers' routes. The HTTP library tries routes in ascending order
/// of rank, so the routes that every daemon has take precedence.
const RANK: isize = 20;

/// HTTP methods that callers may use.
const METHODS: [Method; 7] = [
    Method::Delete,
    Method::Get,
    Method::Head,
    Method::Options,
    Method::Patch,
    Method::Post,
    Method::Put,
];

/// Start of a form body that makes the HTTP library replace the method of the
/// request. Such a form is refused, because its method would not be the one
/// that the caller sent.
const METHOD_FIELD: &[u8] = b"_method=";

/// Handler of all requests from callers.
#[derive(Clone, Debug)]
pub struct CallerApi(pub Arc<App>);

/// An element of the list of models.
#[derive(Debug, Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'a str,
}

/// The list of models, in the format of the completion API.
#[derive(Debug, Serialize)]
struct Models<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

impl CallerApi {
    /// Returns the routes to mount at `/`.
    #[must_use]
    pub fn routes(&self) -> Vec<Route> {
        METHODS
            .iter()
            .map(|method| Route::ranked(RANK, *method, "/<path..>", self.clone()))
            .collect()
    }

    async fn answer(&self, request: &Request<'_>, data: Data<'_>, id: RequestId) -> Reply {
        let app = &self.0;
        let Some(guard) = app
            .context
            .requests
            .try_start(app.settings.http.request_limit)
        else {
            let detail = if app.context.requests.is_closed() {
                "this entry is stopping"
            } else {
                "this entry serves as many requests as it may"
            };
            let verdict = self.early_verdict(request);
            return Problem::new(503, verdict, detail)
                .retry_after(repeat::RETRY_AFTER)
                .into();
        };
        match self.serve(request, data, id).await {
            Ok(reply) => attach_guard(reply, guard),
            Err(problem) => problem.into(),
        }
    }

    /// Returns the verdict for a request that is refused before its claim has
    /// been looked up. An earlier submission with the same key may have run.
    fn early_verdict(&self, request: &Request<'_>) -> Verdict {
        let callers = &self.0.settings.callers;
        let keyed = request.headers().contains(&callers.key_header) || callers.derive_key;
        if keyed && request.method() != Method::Get {
            Verdict::Unknown
        } else {
            Verdict::NotRun
        }
    }

    async fn serve(
        &self,
        request: &Request<'_>,
        data: Data<'_>,
        id: RequestId,
    ) -> Result<Reply, Problem> {
        let app = &self.0;
        let leased = app.lease.held();
        let snapshot = &leased.snapshot;
        if snapshot.workspaces.is_empty() {
            let verdict = self.early_verdict(request);
            let detail = "this entry holds no configuration yet";
            return Err(Problem::new(503, verdict, detail).retry_after(repeat::RETRY_AFTER));
        }
        let workspace = authenticate(snapshot, request)?;
        let path = request.uri().to_string();
        if path == "/v1/models" && request.method() == Method::Get {
            return Ok(Reply::Json(models(snapshot, workspace)));
        }
        if path.split(['/', '?']).any(|part| part == "..") {
            return Err(Problem::not_run(400, "the path has a `..` segment"));
        }
        let is_completion = matches!(
            request.uri().path().as_str(),
            "/v1/chat/completions" | "/v1/completions"
        );
        if is_completion && request.method() != Method::Post {
            return Err(Problem::not_run(405, "completions are sent with POST"));
        }
        let matched = if is_completion {
            None
        } else {
            Some(service::match_route(
                snapshot,
                request.method().as_str(),
                &path,
            )?)
        };
        let body = self.read(request, data).await?;
        let parts = self.parts(request, id, path, body);
        let call = Arc::new(Call::new(snapshot, workspace, parts));
        if let Some(matched) = matched {
            return service::serve(app, &call, &matched).await;
        }
        let body = Arc::new(Completion::parse(&call.body)?);
        complete::complete(app, &call, &body).await
    }

    async fn read(&self, request: &Request<'_>, data: Data<'_>) -> Result<Bytes, Problem> {
        let settings = &self.0.settings.http;
        let source = BodySource::of(request);
        let body = body::read(settings.into(), source, data)
            .await
            .map_err(|fault| refuse_body(&fault, settings))?;
        if body.starts_with(METHOD_FIELD) && request.content_type().is_some_and(|m| m.is_form()) {
            let detail = "a form must not begin with a `_method` field";
            return Err(Problem::not_run(400, detail));
        }
        Ok(body)
    }

    fn parts(&self, request: &Request<'_>, id: RequestId, path: String, body: Bytes) -> CallParts {
        let settings = &self.0.settings;
        let header = |name: &str| request.headers().get_one(name).map(str::to_owned);
        CallParts {
            request: id,
            method: request.method().as_str().into(),
            path: path.into(),
            media: header("content-type").map(Name::from),
            body,
            deadline: self.0.now() + settings.retry.deadline.0,
            session: header(&settings.callers.session_header).filter(|s| !s.is_empty()),
            key: header(&settings.callers.key_header),
        }
    }
}

/// Attaches the guard of the request to a stream, so that a draining process
/// waits until the stream has ended. Any other reply is complete, and the guard
/// is dropped.
fn attach_guard(mut reply: Reply, guard: RequestGuard) -> Reply {
    if let Reply::Stream(_, relay) = &mut reply {
        relay.attach_guard(guard);
    }
    reply
}

fn authenticate(snapshot: &Snapshot, request: &Request<'_>) -> Result<WorkspaceKey, Problem> {
    let refuse = |detail: &str| Problem::not_run(401, detail);
    let header = request
        .headers()
        .get_one("authorization")
        .ok_or_else(|| refuse("send `Authorization: Bearer KEY`"))?;
    let secret = header
        .strip_prefix("Bearer ")
        .ok_or_else(|| refuse("send `Authorization: Bearer KEY`"))?;
    snapshot
        .workspace_of(secret.trim())
        .ok_or_else(|| refuse("no workspace has this key"))
}

fn models(snapshot: &Snapshot, workspace: WorkspaceKey) -> String {
    let workspace = &snapshot.workspaces[workspace];
    let open = workspace
        .versions
        .iter()
        .map(|key| &snapshot.versions[*key])
        .filter(|version| version.is_open());
    let data = open
        .map(|version| Model {
            id: &version.id.name,
            object: "model",
            owned_by: &version.id.partner,
        })
        .collect();
    let list = Models {
        object: "list",
        data,
    };
    serde_json::to_string(&list).expect("a list of models always encodes as JSON")
}

#[rocket::async_trait]
impl Handler for CallerApi {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let id = self.0.next_request();
        let started = self.0.now();
        let reply = self.answer(request, data, id).await;
        record(&self.0, id, &reply, started);
        Outcome::Success(reply.into_response(&self.0, id))
    }
}

fn record(app: &App, id: RequestId, reply: &Reply, started: crate::core::clock::Mono) {
    let took = app.now().since(started);
    metrics::histogram!("cardamomtally_entry_answer_seconds").record(took.as_secs_f64());
    let outcome = match reply {
        Reply::Problem(problem) => {
            let text = format!("refused with {}: {}", problem.status, problem.detail);
            app.context
                .events
                .record("entry", &format!("request {id}"), text);
            problem.verdict.as_str()
        }
        Reply::Json(_) | Reply::Stream(..) | Reply::Complete(_) => "answered",
    };
    metrics::counter!("cardamomtally_entry_requests_total", "outcome" => outcome).increment(1);
}

/// Builds the refusal for a body that could not be read to its end.
fn refuse_body(fault: &BodyReadError, settings: &HttpSettings) -> Problem {
    match fault {
        BodyReadError::Connection(_) | BodyReadError::Truncated => {
            Problem::not_run(400, fault.to_string())
        }
        BodyReadError::Short => {
            Problem::not_run(503, fault.to_string()).retry_after(BufferMemory::retry_after())
        }
        BodyReadError::TimedOut => {
            let detail = format!("the body took longer than {:?}", settings.body_timeout.0);
            Problem::not_run(408, detail)
        }
        BodyReadError::TooLong => {
            let detail = format!("the body is longer than {}", settings.body_limit);
            Problem::not_run(413, detail)
        }
    }
}
