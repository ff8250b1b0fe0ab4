//! Completions: choice of versions, cascade steps, answer and bill.

use super::{
    app::App,
    bill::{Origin, RequestUsage},
    call::{Call, Completion},
    health::VersionOutcome,
    problem::Problem,
    rating,
    relay::Relay,
    repeat::{self, Job},
    reply::Reply,
    session,
};
use crate::{
    core::{
        digest::Digest,
        snapshot::{Snapshot, VersionKey, WorkspaceKey},
        verdict::Verdict,
    },
    net::run::Target,
    routing::{
        cascade::{self, Plan, Step},
        version::{self, AUTO, NoVersion},
    },
};
use std::sync::Arc;

/// Lowest HTTP status that is an error. An answer with an error status ends the
/// cascade.
const ERROR_STATUS: u16 = 400;

/// Most times that a request chooses its versions. It chooses again if a ticket
/// has withdrawn a chosen version before any attempt ran.
const CHOICE_LIMIT: u32 = 2;

/// The versions that a request may use, in the order to try them, and the
/// cascade step that it starts with.
#[derive(Debug)]
struct VersionRoute {
    steps: Vec<Step>,
    plan: Plan,
    target: f64,
    escalates: bool,
}

/// Serves a completion request.
///
/// # Errors
///
/// Returns the refusal to send to the caller.
pub async fn complete(
    app: &Arc<App>,
    call: &Arc<Call>,
    body: &Arc<Completion>,
) -> Result<Reply, Problem> {
    let mut choices = 1;
    loop {
        let route = choose_versions(app, call, body).await?;
        match run_steps(app, call, body, &route).await {
            Err(problem)
                if choices < CHOICE_LIMIT && versions_withdrawn(app, call, &route, &problem) =>
            {
                choices += 1;
            }
            outcome => return outcome,
        }
    }
}

/// Returns whether `problem` states that the request did not run, and one of
/// the versions chosen for the request has been withdrawn since.
fn versions_withdrawn(app: &App, call: &Call, route: &VersionRoute, problem: &Problem) -> bool {
    let Some(leased) = app.valid_config() else {
        return false;
    };
    let workspace = call.workspace_in(&leased.snapshot);
    let allowed = |step: &Step| {
        let version = leased.snapshot.version(&step.version);
        workspace
            .zip(version)
            .is_some_and(|(w, v)| leased.snapshot.allows(w, v))
    };
    problem.verdict == Verdict::NotRun && !route.steps.iter().all(allowed)
}

async fn choose_versions(
    app: &Arc<App>,
    call: &Call,
    body: &Completion,
) -> Result<VersionRoute, Problem> {
    let leased = app.valid_config().ok_or_else(|| repeat::no_lease(true))?;
    let snapshot = &leased.snapshot;
    let key = call
        .workspace_in(snapshot)
        .ok_or_else(|| Problem::not_run(403, "the workspace has been removed"))?;
    let keys = allowed_versions(snapshot, key, call, body)?;
    let keys = app.without_ejected(snapshot, keys);
    let workspace = &snapshot.workspaces[key];
    let sessionless = body.model.contains('@') || call.session.is_none();
    if !sessionless {
        let version = session::version(app, call, &body.model, snapshot, &keys).await?;
        return Ok(VersionRoute {
            steps: vec![step(snapshot, version)],
            plan: Plan {
                step: 0,
                explore: false,
            },
            target: workspace.quality,
            escalates: false,
        });
    }
    let steps: Vec<Step> = keys.iter().map(|key| step(snapshot, *key)).collect();
    let escalates = body.model == AUTO;
    let plan = if escalates {
        app.plan(&call.workspace, workspace.quality, &steps, class(call))
    } else {
        Plan {
            step: 0,
            explore: false,
        }
    };
    Ok(VersionRoute {
        steps,
        plan,
        target: workspace.quality,
        escalates,
    })
}

fn allowed_versions(
    snapshot: &Snapshot,
    workspace: WorkspaceKey,
    call: &Call,
    body: &Completion,
) -> Result<Vec<VersionKey>, Problem> {
    let workspace = &snapshot.workspaces[workspace];
    let draw = match &call.session {
        Some(session) => Digest::of(session.as_bytes()),
        None => Digest::of(call.request.to_string().as_bytes()),
    };
    version::versions(snapshot, workspace, &body.model, draw.to_u64()).map_err(|why| match why {
        NoVersion::NotAllowed => {
            let detail = format!("workspace {} may not use `{}`", workspace.name, body.model);
            Problem::not_run(404, detail)
        }
        NoVersion::Unavailable => {
            let detail = format!("no version of `{}` takes new work", body.model);
            Problem::not_run(503, detail).retry_after(repeat::RETRY_AFTER)
        }
    })
}

fn step(snapshot: &Snapshot, key: VersionKey) -> Step {
    let version = &snapshot.versions[key];
    Step {
        version: version.id.clone(),
        cost: version.cost,
    }
}

fn class(call: &Call) -> u8 {
    cascade::class_of(call.body.len())
}

/// Tries the planned step, then the more expensive ones. The cheaper ones
/// follow only if none of these gave an answer.
async fn run_steps(
    app: &Arc<App>,
    call: &Arc<Call>,
    body: &Arc<Completion>,
    route: &VersionRoute,
) -> Result<Reply, Problem> {
    let first = &route.steps[route.plan.step];
    let mut usage = RequestUsage::new(call.request, &call.workspace, first.version.clone());
    let order = (route.plan.step..route.steps.len()).chain((0..route.plan.step).rev());
    let mut kept = None;
    let mut refusal = None;
    for position in order {
        let step = &route.steps[position];
        let job = job(app, call, body, step);
        app.start_probes(&job.target);
        let at_or_above = position >= route.plan.step;
        if kept.is_some() && !at_or_above {
            break;
        }
        usage.start_step(&step.version, step.cost);
        if body.stream {
            match stream(app, call, &job, &usage).await {
                Ok(reply) => return Ok(reply),
                Err(problem) => refusal = Some(problem),
            }
            continue;
        }
        match repeat::fetch_complete(app, call, &job).await {
            Ok((answer, origin)) => {
                usage.add(answer.usage, origin);
                let good = answer.head.status < ERROR_STATUS;
                let last = !route.escalates || position + 1 >= route.steps.len();
                let escalate = rating::rate_and_check_escalation(
                    app,
                    call,
                    rating_candidate(route, position),
                    &answer,
                );
                kept = Some((answer, step.version.clone()));
                if !good || !escalate.await || last {
                    break;
                }
                app.count_outcome(&step.version, VersionOutcome::Good);
            }
            Err(problem) => refusal = Some(problem),
        }
        if app.now() >= call.deadline {
            break;
        }
    }
    match (kept, refusal) {
        (Some((answer, version)), _) => {
            usage.set_version(version);
            usage.commit(app).await;
            Ok(Reply::Complete(answer))
        }
        (None, Some(problem)) => Err(problem),
        (None, None) => Err(Problem::not_run(503, "no version takes new work")),
    }
}

fn rating_candidate(route: &VersionRoute, position: usize) -> rating::RatingCandidate<'_> {
    rating::RatingCandidate {
        steps: &route.steps,
        position,
        target: route.target,
        explore: route.plan.explore,
        can_escalate: route.escalates && position + 1 < route.steps.len(),
    }
}

fn job(app: &App, call: &Call, body: &Completion, step: &Step) -> Job {
    let affinity = match &call.session {
        Some(session) => Digest::of(session.as_bytes()).to_u64(),
        None => body.prefix(app.settings.routing.prefix.0 as usize),
    };
    Job {
        target: Target::Version(step.version.clone()),
        path: Arc::clone(&call.path),
        body: body.body_for(&step.version.name),
        affinity: Some(affinity),
        repeatable: true,
    }
}

async fn stream(
    app: &Arc<App>,
    call: &Call,
    job: &Job,
    usage: &RequestUsage,
) -> Result<Reply, Problem> {
    let mut started = repeat::open(app, call, job).await?;
    if started.head.status < ERROR_STATUS {
        let relay = Relay::new(
            app,
            call.request,
            started.answer,
            started.first,
            usage.clone(),
        );
        return Ok(Reply::Stream(started.head, Box::new(relay)));
    }
    started.first.head = Some(started.head);
    let answer = started
        .answer
        .collect(started.first)
        .await
        .map_err(|incomplete| {
            call.mark_ambiguous();
            repeat::incomplete_problem(&incomplete)
        })?;
    let mut usage = usage.clone();
    usage.add(answer.usage, Origin::of(&started.answer));
    usage.commit(app).await;
    Ok(Reply::Complete(answer))
}
