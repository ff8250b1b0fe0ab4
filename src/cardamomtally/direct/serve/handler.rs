//! Handles a caller's request: checks the configuration's lease, the route, the
//! key and the limits, then forwards it to a backend server.

use super::{plain, queue, stream};
use crate::{
    direct::{
        app::App,
        request::{
            call::{self, Call},
            refusal::Refusal,
        },
    },
    listen::{
        body::{Body, guarded},
        memory::{BufferMemory, ReceiveError, Upload},
    },
    prelude::*,
    quarantine::fingerprint::{CallerKey, Content},
    routing::rendezvous,
    site::{
        document::{Class, Route},
        table::{Denial, KeyOwner, Table},
    },
};
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header, request::Parts,
};
use slog::info;
use std::sync::atomic::Ordering;

/// Part of a caller's time for which its request waits for the first document after the
/// entry has started. The rest is left for a retry at another entry.
const FIRST_DOCUMENT_SHARE: f64 = 0.4;
/// Longest such wait.
const MAX_FIRST_DOCUMENT_WAIT: Duration = Duration::from_secs(1);
/// Such a wait for a caller that does not tell its time.
const DEFAULT_FIRST_DOCUMENT_WAIT: Duration = Duration::from_millis(400);
/// Retry delay for callers whose request is refused by an entry that is
/// stopping. Short, since the balancer sends the retry to another entry.
const STOPPING_RETRY: Duration = Duration::from_millis(50);
/// Retry delay for callers that are refused because the entry has no valid
/// lease.
const NO_LEASE_RETRY: Duration = Duration::from_secs(1);

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
struct InFlightGuard(Arc<App>);

impl InFlightGuard {
    fn new(app: &Arc<App>) -> Self {
        app.running.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(app))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Handles one request of a caller.
pub async fn handle(app: Arc<App>, request: Request<Upload>) -> Response<Body> {
    let running = InFlightGuard::new(&app);
    let id = request.headers().get(&app.names.attempt).cloned();
    let served = tokio::select! {
        biased;
        served = accept(&app, request) => served,
        () = app.stop.given_up() => {
            let detail = "the entry stops before the answer has begun";
            Err(Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, detail))
        }
    };
    let mut response = match served {
        Ok(response) => response,
        Err(refusal) => {
            app.log_early_refusal(id.as_ref(), &refusal);
            refusal.response()
        }
    };
    if app.stopping.load(Ordering::Acquire) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.map(|body| guarded(body, running))
}

async fn accept(app: &Arc<App>, request: Request<Upload>) -> Result<Response<Body>, Refusal> {
    let since = app.clock.now();
    let wait = first_document_wait(app, request.headers());
    let config = app.config.wait_for_document(wait).await;
    let no_lease = Refusal::unavailable("the entry holds no valid configuration", NO_LEASE_RETRY);
    let table = config.table.as_ref().ok_or_else(|| no_lease.clone())?;
    let (parts, body) = request.into_parts();
    let allowed = authorize(app, table, &parts);
    let valid = config.is_valid(since);
    // Without a valid lease nothing is denied: the document in force may allow
    // what an older one denies.
    let (route, workspace) = match allowed {
        Err(_) | Ok((_, Some(_))) if !valid => return Err(no_lease),
        Ok(_) if config.is_outdated(since) => return Err(no_lease),
        Err(denial) => return Err(denial_refusal(denial)),
        Ok(found) => found,
    };
    // A stream might not end before a planned stop does.
    if route.class.streams() && app.stopping.load(Ordering::Acquire) {
        return Err(stopping_refusal());
    }
    let body = tokio::select! {
        body = read_body(app, table, body) => body?,
        () = app.stop.given_up() => return Err(stopping_refusal()),
    };
    if app.stop.refuses() {
        return Err(stopping_refusal());
    }
    // The lease may have ended while the body was received, for example because
    // the VM was suspended.
    if workspace.is_some() && !has_lease(app) {
        return Err(no_lease);
    }
    let admitted = Admitted {
        since,
        table: Arc::clone(table),
        route,
        workspace,
    };
    let call = build(app, admitted, &parts, body)?;
    let last = header_number(&parts.headers, &app.names.last_event);
    // A stream that the caller resumes goes before new work.
    if last.is_none() {
        match queue::admit(app, &call).await {
            // The lease may have ended while the request was held.
            Ok(true) if call.workspace.is_some() && !has_lease(app) => return Err(no_lease),
            Ok(_) => {}
            Err(refusal) => return Ok(refusal.response()),
        }
    }
    app.count_request(&call.service.name);
    Ok(match call.route.class {
        Class::Stream | Class::Resumable => stream::serve(app, call, last).await,
        Class::Repeatable => plain::serve(app, call).await,
        Class::Once => run_detached(app, call).await,
    })
}

fn stopping_refusal() -> Refusal {
    Refusal::unavailable("the entry is stopping", STOPPING_RETRY)
}

fn has_lease(app: &App) -> bool {
    app.config.current().is_valid(app.clock.now())
}

/// Runs a request in a task of its own, so that it continues when the caller
/// disconnects. Used for requests that run at most once: closing the connection
/// would cancel them at the backend server halfway.
async fn run_detached(app: &Arc<App>, call: Call) -> Response<Body> {
    let task_app = Arc::clone(app);
    let task = tokio::spawn(async move { plain::serve(&task_app, call).await });
    task.await.unwrap_or_else(|_panicked| {
        let detail = "the entry failed";
        Refusal::unknown(StatusCode::BAD_GATEWAY, detail).response()
    })
}

/// Returns how long a request may wait for the first document.
fn first_document_wait(app: &App, headers: &HeaderMap) -> Duration {
    let caller = header_number(headers, &app.names.deadline).map(Duration::from_millis);
    caller.map_or(DEFAULT_FIRST_DOCUMENT_WAIT, |caller| {
        caller
            .mul_f64(FIRST_DOCUMENT_SHARE)
            .min(MAX_FIRST_DOCUMENT_WAIT)
    })
}

type Authorized = (Arc<Route>, Option<Arc<KeyOwner>>);

fn authorize(app: &App, table: &Table, parts: &Parts) -> Result<Authorized, Denial> {
    let host = header_text(&parts.headers, &header::HOST).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let route = table.route(host, parts.uri.path())?;
    let workspace = table.key_owner(route, header_text(&parts.headers, &app.names.key))?;
    Ok((Arc::clone(route), workspace.cloned()))
}

fn denial_refusal(denial: Denial) -> Refusal {
    match denial {
        Denial::NoRoute => {
            Refusal::denied(StatusCode::NOT_FOUND, "no route serves this host and path")
        }
        Denial::NoKey => {
            Refusal::denied(StatusCode::UNAUTHORIZED, "the key belongs to no workspace")
        }
    }
}

async fn read_body(app: &App, table: &Table, body: Upload) -> Result<Bytes, Refusal> {
    let limits = &table.limits;
    let read = app.memory.receive(body, limits.body_bytes);
    let Ok(read) = tokio::time::timeout(limits.idle_time, read).await else {
        let detail = "the body took too long";
        return Err(Refusal::denied(StatusCode::REQUEST_TIMEOUT, detail));
    };
    read.map_err(|error| match error {
        ReceiveError::TooLong => {
            let detail = "the body is longer than allowed";
            Refusal::denied(StatusCode::PAYLOAD_TOO_LARGE, detail)
        }
        ReceiveError::Short => {
            let detail = "the entry is short of memory";
            Refusal::unavailable(detail, BufferMemory::retry_after())
        }
        ReceiveError::Broken(error) => {
            info!(app.log, "request: connection closed before the end of the body";
                "error" => %error, "document" => table.number);
            let detail = "the body ended early";
            Refusal::denied(StatusCode::BAD_REQUEST, detail)
        }
    })
}

/// A request that the document allows, before its headers are read.
struct Admitted {
    since: Mono,
    table: Arc<Table>,
    route: Arc<Route>,
    workspace: Option<Arc<KeyOwner>>,
}

/// Builds the call from the request's head and body.
///
/// The last part of the prompt in the prefix header counts as the request's own,
/// the parts before it as the shared prefix. Requests of one session share a
/// session key. Without a session header the key is the identity of the last
/// part of the prompt, or without such a part a hash of the request id.
fn build(app: &App, admitted: Admitted, parts: &Parts, body: Bytes) -> Result<Call, Refusal> {
    let Admitted {
        since,
        table,
        route,
        workspace,
    } = admitted;
    let names = &app.names;
    let Some(id) = parts.headers.get(&names.attempt) else {
        let detail = "the request has no id";
        return Err(Refusal::denied(StatusCode::BAD_REQUEST, detail));
    };
    let seed = rendezvous::seed(id.to_str().unwrap_or_default());
    let service = pick_service(&route, seed).and_then(|name| table.service(name));
    let Some(service) = service else {
        let detail = "the route's service is not known";
        return Err(Refusal::unavailable(detail, NO_LEASE_RETRY));
    };
    let given = header_number(&parts.headers, &names.deadline).map(Duration::from_millis);
    let limit = given.map_or(route.timeout, |given| given.min(route.timeout));
    let deadline = since + limit;
    let deadline = app.stop.end().map_or(deadline, |end| end.min(deadline));
    let mut shared =
        header_text(&parts.headers, &names.prefix).map_or_else(Vec::new, call::parse_parts);
    let own = shared.pop();
    let session = header_text(&parts.headers, &names.session).map(rendezvous::seed);
    let tokens = header_text(&parts.headers, &names.tokens).map_or((0, 0), call::parse_tokens);
    let model = header_text(&parts.headers, &names.model);
    let priority = workspace.as_ref().and_then(|h| h.priority);
    let caller = CallerKey::of(workspace.as_ref().map(|owner| &*owner.name));
    Ok(Call {
        id: id.clone(),
        method: parts.method.clone(),
        uri: parts.uri.clone(),
        headers: call::request_headers(names, parts),
        body,
        received: since,
        deadline,
        priority: priority.unwrap_or(route.priority),
        tokens,
        session: session.or(own.map(|part| part.id)).unwrap_or(seed),
        any_model: model == Some("*"),
        model: model.filter(|model| *model != "*").map(Name::from),
        prompt: call::prompt(&shared, tokens.0),
        service: Arc::clone(service),
        route,
        workspace,
        content: Content::new(caller, shared.iter().map(|part| part.id)),
    })
}

/// Returns the service that a request goes to. The choice follows the weights
/// of the route's shares and is fixed by the request id.
fn pick_service(route: &Route, seed: u64) -> Option<&Name> {
    let total: u64 = route.shares.iter().map(|s| u64::from(s.weight)).sum();
    let mut at = rendezvous::weight(seed, 0) % total.max(1);
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if at < weight {
            return Some(&share.service);
        }
        at -= weight;
    }
    None
}

fn header_text<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.trim().parse().ok()
}
