//! The life of a completion: versions, cascade steps, the answer, the bill.

use super::{
    app::App,
    bill::{Origin, Spend},
    call::{Call, Completion},
    health::Sign,
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

/// Least status that is an error.
const ERROR: u16 = 400;

/// Times that a request chooses its versions anew when a ticket overtakes it.
const CHOICE_LIMIT: u32 = 2;

/// The versions of a request and where it starts.
#[derive(Debug)]
struct Route {
    steps: Vec<Step>,
    plan: Plan,
    target: f64,
    escalates: bool,
}

/// Serves a completion.
///
/// # Errors
///
/// Returns the refusal for the caller.
pub async fn complete(
    app: &Arc<App>,
    call: &Arc<Call>,
    body: &Arc<Completion>,
) -> Result<Reply, Problem> {
    let mut choices = 1;
    loop {
        let route = choose(app, call, body).await?;
        match run(app, call, body, &route).await {
            Err(problem) if choices < CHOICE_LIMIT && is_overtaken(app, call, &route, &problem) => {
                choices += 1;
            }
            outcome => return outcome,
        }
    }
}

/// Tells whether a request was refused because its versions were withdrawn
/// after they were chosen.
fn is_overtaken(app: &App, call: &Call, route: &Route, problem: &Problem) -> bool {
    let Some(held) = app.held() else {
        return false;
    };
    let workspace = call.workspace_in(&held.snapshot);
    let allowed = |step: &Step| {
        let version = held.snapshot.version(&step.version);
        workspace
            .zip(version)
            .is_some_and(|(w, v)| held.snapshot.allows(w, v))
    };
    problem.verdict == Verdict::NotRun && !route.steps.iter().all(allowed)
}

async fn choose(app: &Arc<App>, call: &Call, body: &Completion) -> Result<Route, Problem> {
    let held = app.held().ok_or_else(|| repeat::no_lease(true))?;
    let snapshot = &held.snapshot;
    let key = call
        .workspace_in(snapshot)
        .ok_or_else(|| Problem::not_run(403, "the workspace has been removed"))?;
    let keys = allowed_versions(snapshot, key, call, body)?;
    let keys = app.healthy(snapshot, keys);
    let workspace = &snapshot.workspaces[key];
    let pinned = body.model.contains('@') || call.session.is_none();
    if !pinned {
        let version = session::version(app, call, &body.model, snapshot, &keys).await?;
        return Ok(Route {
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
    Ok(Route {
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

/// Tries the planned step, then the dearer ones, then the cheaper ones.
async fn run(
    app: &Arc<App>,
    call: &Arc<Call>,
    body: &Arc<Completion>,
    route: &Route,
) -> Result<Reply, Problem> {
    let first = &route.steps[route.plan.step];
    let mut spend = Spend::new(call.request, &call.workspace, first.version.clone());
    let order = (route.plan.step..route.steps.len()).chain((0..route.plan.step).rev());
    let mut kept = None;
    let mut refusal = None;
    for position in order {
        let step = &route.steps[position];
        let job = job(app, call, body, step);
        app.probe_some(&job.target);
        let dearer = position >= route.plan.step;
        if kept.is_some() && !dearer {
            break;
        }
        spend.step(&step.version, step.cost);
        if body.stream {
            match stream(app, call, &job, &spend).await {
                Ok(reply) => return Ok(reply),
                Err(problem) => refusal = Some(problem),
            }
            continue;
        }
        match repeat::whole(app, call, &job).await {
            Ok((whole, origin)) => {
                spend.add(whole.usage, origin);
                let good = whole.head.status < ERROR;
                let last = !route.escalates || position + 1 >= route.steps.len();
                let judged = rating::judge(app, call, route_view(route, position), &whole);
                kept = Some((whole, step.version.clone()));
                if !good || !judged.await || last {
                    break;
                }
                app.count(&step.version, Sign::Good);
            }
            Err(problem) => refusal = Some(problem),
        }
        if app.now() >= call.deadline {
            break;
        }
    }
    match (kept, refusal) {
        (Some((whole, version)), _) => {
            spend.answered_by(version);
            spend.commit(app).await;
            Ok(Reply::Whole(whole))
        }
        (None, Some(problem)) => Err(problem),
        (None, None) => Err(Problem::not_run(503, "no version takes new work")),
    }
}

fn route_view(route: &Route, position: usize) -> rating::Judged<'_> {
    rating::Judged {
        steps: &route.steps,
        at: position,
        target: route.target,
        explore: route.plan.explore,
        gate: route.escalates && position + 1 < route.steps.len(),
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

async fn stream(app: &Arc<App>, call: &Call, job: &Job, spend: &Spend) -> Result<Reply, Problem> {
    let mut begun = repeat::open(app, call, job).await?;
    if begun.head.status < ERROR {
        let relay = Relay::new(app, call.request, begun.answer, begun.first, spend.clone());
        return Ok(Reply::Stream(begun.head, Box::new(relay)));
    }
    begun.first.head = Some(begun.head);
    let whole = begun.answer.collect(begun.first).await.map_err(|broken| {
        call.doubt();
        repeat::broken_off(&broken)
    })?;
    let mut spend = spend.clone();
    spend.add(whole.usage, Origin::of(&begun.answer));
    spend.commit(app).await;
    Ok(Reply::Whole(whole))
}
