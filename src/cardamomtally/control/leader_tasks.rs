//! Periodic tasks of the leader: suspending bad versions, lifting suspensions
//! that have expired, and clearing old suspects.
//!
//! Every member runs the loop in [`run`], but only the leader of the configuration
//! group makes these decisions; other members forward their health reports to the
//! leader. The leader measures the age of a suspension or suspect on its own clock,
//! from when it first saw the entry, so after a change of leader the full time runs
//! again. Each decision is committed through the log as a command.

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

/// Time between two runs of the periodic tasks. Reports are evaluated once per
/// run, which limits the rate of commands that they cause.
const RUN_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a suspect is cleared if its digest was not quarantined by a
/// further crash, measured from when the current leader first saw the suspect.
const SUSPECT_TTL: Duration = Duration::from_mins(15);

/// Time before the leader proposes again to suspend a bad version that was kept
/// because a workspace has no other.
const KEPT_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Timeout of a call that forwards health reports to the leader; after it the
/// reports are kept and sent again in the next run.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);

/// When this member, as leader, first saw each suspension and each suspect.
#[derive(Debug, Default)]
struct FirstSeen {
    suspensions: FastMap<(VersionId, u32), Mono>,
    suspects: FastMap<Digest, Mono>,
}

/// Runs the periodic tasks until the runtime stops.
pub async fn run(member: Arc<Member>) {
    let mut seen = FirstSeen::default();
    loop {
        tokio::time::sleep(RUN_INTERVAL).await;
        if member.log.leader(GroupId::CONFIG).is_self {
            run_leader_tasks(&member, &mut seen).await;
        } else {
            seen = FirstSeen::default();
            member.health.clear_leader_state();
            forward_reports(&member).await;
        }
    }
}

async fn run_leader_tasks(member: &Member, seen: &mut FirstSeen) {
    let now = member.context.clock.now();
    let reports = member.health.take_reports();
    suspend_bad_versions(member, &reports, now).await;
    lift_suspensions(member, seen, now).await;
    clear_old_suspects(member, seen, now).await;
}

/// Forwards pending health reports to the leader, and keeps them if the call fails.
async fn forward_reports(member: &Member) {
    let Some(address) = member.leader_address() else {
        return;
    };
    let reports = member.health.take_reports();
    if reports.is_empty() {
        return;
    }
    let request = Request::Health(reports.clone());
    let answer = member
        .transport
        .call(address, request, FORWARD_TIMEOUT)
        .await;
    if !matches!(answer, Ok(Response::Taken)) {
        member.health.add_reports(&reports);
    }
}

async fn suspend_bad_versions(member: &Member, reports: &[HealthReport], now: Mono) {
    let earlier = member.store.read(|state| state.suspensions.clone());
    let count = |version: &VersionId| earlier.get(version).copied().unwrap_or_default();
    for (version, cause, ttl) in member.health.evaluate(reports, now, count) {
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
                member.health.mark_kept(&version, now + KEPT_RETRY_DELAY);
                slog::warn!(member.context.log, "health: bad version not suspended, a workspace has no other version";
                    "version" => %version, "workspace" => &*workspace);
            }
            Ok(_) => {
                member.health.mark_suspended(&version);
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

async fn lift_suspensions(member: &Member, seen: &mut FirstSeen, now: Mono) {
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

async fn clear_old_suspects(member: &Member, seen: &mut FirstSeen, now: Mono) {
    let config = Arc::clone(&member.store.view().config);
    let unquarantined =
        |digest: &Digest| config.suspects.get(digest).is_some_and(|s| !s.quarantined);
    seen.suspects.retain(|digest, _| unquarantined(digest));
    let mut expired = Vec::new();
    for (digest, suspect) in &config.suspects {
        if suspect.quarantined {
            continue;
        }
        let since = *seen.suspects.entry(*digest).or_insert(now);
        if now.since(since) >= SUSPECT_TTL {
            expired.push(*digest);
        }
    }
    if !expired.is_empty() {
        // If the proposal fails, the suspects are still expired in the next run, and
        // are proposed again.
        let _ignored = member.propose(&Command::Clear(expired)).await;
    }
}
