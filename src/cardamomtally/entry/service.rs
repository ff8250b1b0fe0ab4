//! Calls of plain services, which are not model versions.

use super::{
    app::App,
    bill::RequestUsage,
    call::Call,
    once,
    problem::Problem,
    repeat::{self, Job},
    reply::Reply,
};
use crate::{
    core::{
        claim::ClaimKey,
        config::{Route, VersionId},
        snapshot::{ServiceKey, Snapshot},
        verdict::Verdict,
    },
    net::run::Target,
    routing::budget::Cause,
};
use futures::future::{Either, select};
use std::{pin::pin, sync::Arc, time::Duration};

/// The service and route that match a call.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The service to call.
    pub target: Target,
    /// Path and query at the backend server.
    pub path: String,
    /// Whether the call may be repeated.
    pub repeatable: bool,
}

/// Finds the service and route for a method and path.
///
/// # Errors
///
/// Returns a refusal if no service or route matches.
pub fn match_route(snapshot: &Snapshot, method: &str, path: &str) -> Result<RouteMatch, Problem> {
    let (key, rest) = snapshot
        .service_of(path)
        .ok_or_else(|| Problem::not_run(404, "no service has this path"))?;
    let service = &snapshot.services[key];
    let bare = rest.split('?').next().unwrap_or_default();
    let route = service
        .routes
        .iter()
        .find(|route| &*route.method == method && pattern_matches(&route.path, bare))
        .ok_or_else(|| Problem::not_run(404, "the service has no route of this method and path"))?;
    Ok(matched(snapshot, key, route, rest))
}

fn matched(snapshot: &Snapshot, key: ServiceKey, route: &Route, rest: &str) -> RouteMatch {
    let service = &snapshot.services[key];
    let path = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    RouteMatch {
        target: Target::Service(VersionId {
            partner: Arc::clone(&service.partner),
            name: Arc::clone(&service.name),
        }),
        path,
        repeatable: route.repeatable,
    }
}

/// Returns whether a path matches a pattern. A `*` at the end of the pattern
/// matches any rest, and the pattern `/` also matches an empty path.
#[must_use]
pub fn pattern_matches(pattern: &str, path: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(start) => path.starts_with(start),
        None => path == pattern || (path.is_empty() && pattern == "/"),
    }
}

/// Serves a call of a plain service.
///
/// # Errors
///
/// Returns the refusal to send to the caller.
pub async fn serve(
    app: &Arc<App>,
    call: &Arc<Call>,
    matched: &RouteMatch,
) -> Result<Reply, Problem> {
    let job = Job {
        target: matched.target.clone(),
        path: matched.path.as_str().into(),
        body: call.body.clone(),
        affinity: None,
        repeatable: matched.repeatable,
    };
    app.start_probes(&job.target);
    if matched.repeatable {
        return serve_repeatable(app, call, &job).await;
    }
    once::submit(app, call, &job, claim_key(app, call)?).await
}

/// Returns the claim key of a call that must not be repeated: the caller's
/// idempotency key, or a key derived from the request if the settings allow it.
fn claim_key(app: &App, call: &Call) -> Result<ClaimKey, Problem> {
    let workspace = &call.workspace;
    let build = |text: &str| ClaimKey::request(&workspace.partner, &workspace.name, text);
    match &call.key {
        Some(key) if !key.is_empty() => Ok(build(key)),
        _ if app.settings.callers.derive_key => Ok(build(&format!("body {}", call.digest))),
        _ => {
            let header = &app.settings.callers.key_header;
            let detail = format!("a call that may not be repeated needs the header `{header}`");
            Err(Problem::not_run(400, detail))
        }
    }
}

async fn serve_repeatable(app: &Arc<App>, call: &Arc<Call>, job: &Job) -> Result<Reply, Problem> {
    let (answer, origin) = match app.settings.retry.hedge {
        Some(after) => hedged(app, call, job, after.0).await?,
        None => repeat::fetch_complete(app, call, job).await?,
    };
    let (Target::Service(id) | Target::Version(id)) = &job.target;
    let mut usage = RequestUsage::new(call.request, &call.workspace, id.clone());
    usage.add(answer.usage, origin);
    usage.commit(app).await;
    Ok(Reply::Complete(answer))
}

/// Hedges a call: sends a second copy if the first has not been answered after
/// `after`, and returns the first complete answer. The second copy takes a
/// retry from the retry budget; without one, only the first copy is sent.
async fn hedged(
    app: &Arc<App>,
    call: &Arc<Call>,
    job: &Job,
    after: Duration,
) -> Result<(super::answer::CompleteAnswer, super::bill::Origin), Problem> {
    let mut first = pin!(repeat::fetch_complete(app, call, job));
    if let Ok(outcome) = tokio::time::timeout(after, first.as_mut()).await {
        return outcome;
    }
    if !app.spend_retry_budget(Cause::Failed) {
        return first.await;
    }
    metrics::counter!("cardamomtally_entry_hedges_total").increment(1);
    let second = pin!(repeat::fetch_complete(app, call, job));
    match select(first, second).await {
        Either::Left((Ok(answer), _)) | Either::Right((Ok(answer), _)) => Ok(answer),
        Either::Left((Err(problem), second)) => {
            second.await.map_err(|_e| with_unknown_verdict(problem))
        }
        Either::Right((Err(problem), first)) => {
            first.await.map_err(|_e| with_unknown_verdict(problem))
        }
    }
}

/// Sets the verdict of a failed hedged call to unknown, because either copy may
/// have run.
fn with_unknown_verdict(mut problem: Problem) -> Problem {
    problem.verdict = Verdict::Unknown;
    problem
}
