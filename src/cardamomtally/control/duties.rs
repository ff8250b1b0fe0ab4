//! The leader's timed duties: verdicts, their ends, and old suspects.
//!
//! Every member runs this task; only the leader of the configuration group
//! acts. It measures the time of suspensions on its own clock, from when it
//! first saw them, so a new leader starts them again. What it decides goes
//! through the log as a command.

use super::{
    health::Cause,
    member::Member,
    state::{Command, Reply},
};
use crate::{
    core::{
        clock::Mono,
        config::{Suspension, VersionId},
        digest::Digest,
        id::GroupId,
        map::FastMap,
    },
    net::wire::{HealthReport, Request, Response},
};
use std::{sync::Arc, time::Duration};

/// Time between two turns, and so the bound on commands from reports.
const TURN: Duration = Duration::from_millis(200);

/// How long a digest that is seen at no further crash stays a suspect.
const SUSPECT_TTL: Duration = Duration::from_mins(15);

/// How long a bad version that was kept is left alone.
const KEEP: Duration = Duration::from_secs(10);

/// Longest wait for the leader's answer to reports.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// What a leader has seen since when.
#[derive(Debug, Default)]
struct Seen {
    suspensions: FastMap<(VersionId, u32), Mono>,
    suspects: FastMap<Digest, Mono>,
}

/// Runs the duties for ever.
pub async fn run(member: Arc<Member>) {
    let mut seen = Seen::default();
    loop {
        tokio::time::sleep(TURN).await;
        if member.log.leader(GroupId::CONFIG).here {
            lead(&member, &mut seen).await;
        } else {
            seen = Seen::default();
            member.health.step_down();
            pass_on(&member).await;
        }
    }
}

async fn lead(member: &Member, seen: &mut Seen) {
    let now = member.context.clock.now();
    let reports = member.health.take();
    judge(member, &reports, now).await;
    end_suspensions(member, seen, now).await;
    forget_suspects(member, seen, now).await;
}

/// Sends what this member has heard to the leader.
async fn pass_on(member: &Member) {
    let Some(address) = member.leader_address() else {
        return;
    };
    let reports = member.health.take();
    if reports.is_empty() {
        return;
    }
    let request = Request::Health(reports.clone());
    let answer = member
        .transport
        .call(address, request, REPORT_TIMEOUT)
        .await;
    if !matches!(answer, Ok(Response::Taken)) {
        member.health.add(&reports);
    }
}

async fn judge(member: &Member, reports: &[HealthReport], now: Mono) {
    let counts = member.store.read(|state| state.suspensions.clone());
    let count = |version: &VersionId| counts.get(version).copied().unwrap_or_default();
    for (version, cause, ttl) in member.health.judge(reports, now, count) {
        let suspension = Suspension {
            reason: reason(cause).into(),
            ttl,
            count: 0,
        };
        let command = Command::Suspend {
            version: version.clone(),
            suspension,
        };
        match member.propose(&command).await {
            Ok(Reply::Kept(workspace)) => {
                member.health.keep(&version, now + KEEP);
                slog::warn!(member.context.log, "health: bad version kept, a workspace has no other";
                    "version" => %version, "workspace" => &*workspace);
            }
            Ok(_) => {
                member.health.suspended(&version);
                slog::warn!(member.context.log, "health: version suspended";
                    "version" => %version, "reason" => reason(cause));
                let events = &member.context.events;
                events.record("health", &format!("version {version}"), reason(cause));
                metrics::counter!("cardamomtally_health_suspensions_total").increment(1);
            }
            Err(error) => {
                slog::info!(member.context.log, "health: suspension not committed";
                    "version" => %version, "error" => %error);
            }
        }
    }
}

const fn reason(cause: Cause) -> &'static str {
    match cause {
        Cause::Errors => "its answers fail more often than a good version's",
        Cause::Ratings => "its answers are rated lower than they used to be",
    }
}

async fn end_suspensions(member: &Member, seen: &mut Seen, now: Mono) {
    let config = Arc::clone(&member.store.view().config);
    let current: FastMap<_, _> = config
        .suspended
        .iter()
        .map(|(version, s)| ((version.clone(), s.count), s.ttl))
        .collect();
    seen.suspensions.retain(|key, _| current.contains_key(key));
    for (key, ttl) in current {
        let since = *seen.suspensions.entry(key.clone()).or_insert(now);
        if now.since(since) < ttl {
            continue;
        }
        let (version, count) = key;
        let command = Command::Lift {
            version: version.clone(),
            count,
        };
        if member.propose(&command).await.is_ok() {
            member.health.start_trial(&version);
            slog::info!(member.context.log, "health: suspension lifted";
                "version" => %version);
            let events = &member.context.events;
            events.record("health", &format!("version {version}"), "suspension lifted");
        }
    }
}

async fn forget_suspects(member: &Member, seen: &mut Seen, now: Mono) {
    let config = Arc::clone(&member.store.view().config);
    let mere = |digest: &Digest| config.suspects.get(digest).is_some_and(|s| !s.quarantined);
    seen.suspects.retain(|digest, _| mere(digest));
    let mut old = Vec::new();
    for (digest, suspect) in &config.suspects {
        if suspect.quarantined {
            continue;
        }
        let since = *seen.suspects.entry(*digest).or_insert(now);
        if now.since(since) >= SUSPECT_TTL {
            old.push(*digest);
        }
    }
    if !old.is_empty() {
        // What is not committed now is tried again in the next turn.
        let _ignored = member.propose(&Command::Clear(old)).await;
    }
}
