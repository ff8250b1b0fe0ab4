//! Starts a control member, dispatches its requests and stops it.

use super::{
    groups::{self, Group},
    health::HealthTracker,
    leader_tasks, listener,
    machine::{Machine, Store},
    member::Member,
    rounds::Rounds,
    routed::RoutedLog,
    routes,
    state::Command,
};
use crate::{
    core::{
        digest::Digest,
        id::GroupId,
        log::{Log, LogError, StateMachine as LogMachine},
    },
    daemon::{
        Context,
        http::{self, ReadyLine},
    },
    ledger::{machine::Ledger, shards::Shards},
    net::{
        codec,
        nng::{Call, Client, Server},
        transport::Transport,
        wire::{Poll, Request, Response},
    },
    replica::host::{GroupSpec, Host, HostOptions},
    settings::{ControlSettings, control::MemberSettings},
};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::runtime::Handle;

/// Time between two ticks of the ledger's clock, by which its claims expire.
const LEDGER_TICK_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the daemon until a signal stops it.
///
/// # Errors
///
/// Returns an error if the process cannot start, such as when the settings have no
/// entry for this member, or a replica or a listener cannot be opened.
pub async fn run(settings: ControlSettings, context: Context) -> eyre::Result<()> {
    let own = own_member(&settings)?.clone();
    let store = Arc::<Store>::default();
    let transport: Arc<dyn Transport> = Arc::new(Client::default());
    let groups = groups::all(&settings.group, &settings.ledger);
    let host = Arc::new(start_host(&settings, &context, &groups, &store)?);
    let log = build_log(&host, &groups, &own, &transport);
    let parts = Parts {
        host: Arc::clone(&host),
        log,
        store,
        transport,
    };
    let member = Arc::new(build_member(&settings, &context, parts));
    let server = Arc::new(listen(&settings, &own, &member)?);
    let weak_server = Arc::downgrade(&server);
    let traffic = move || weak_server.upgrade().map(|server| server.traffic());
    // The server needs the member as its handler, so the member gets access to the
    // server's counters only now.
    let _first = member
        .traffic
        .set(Box::new(move || traffic().unwrap_or_default()));
    let bound = ReadyLine {
        name: settings.process.name.clone(),
        poll: Some(server.bound().to_string()),
        peer: Some(host.bound_peer()),
        ..ReadyLine::default()
    };
    start_tasks(&member);
    let log = context.log.clone();
    tokio::spawn(listener::watch(
        Arc::downgrade(&server),
        listener::PROBE_INTERVAL,
        log,
    ));
    context.ready.store(true, Ordering::Release);
    let rocket = http::build(&settings.http, &context)?;
    let rocket = routes::mount(rocket, Arc::clone(&member));
    let outcome = http::serve(rocket, &settings.http, &context, bound).await;
    slog::info!(context.log, "stop: operators' listener closed");
    drop(server);
    slog::info!(context.log, "stop: poll listener closed");
    host.stop();
    slog::info!(context.log, "stop: replica closed");
    outcome
}

fn own_member(settings: &ControlSettings) -> eyre::Result<&MemberSettings> {
    let name = &settings.process.name;
    let mut members = settings.group.members.iter();
    members
        .find(|member| member.name == *name)
        .ok_or_else(|| eyre::eyre!("no `[[group.member]]` has the process's name `{name}`"))
}

fn machine(group: GroupId, store: &Arc<Store>) -> Box<dyn LogMachine> {
    if group == GroupId::CONFIG {
        return Box::new(Machine::new(Arc::clone(store)));
    }
    Box::new(Ledger::default())
}

fn start_host(
    settings: &ControlSettings,
    context: &Context,
    groups: &[Group<'_>],
    store: &Arc<Store>,
) -> eyre::Result<Host> {
    let name = &settings.process.name;
    let here = |group: &&Group<'_>| group.members.iter().any(|m| m.name == *name);
    let spec = |group: &Group<'_>| GroupSpec {
        id: group.id,
        members: group.members.iter().map(|m| m.name.clone()).collect(),
        machine: machine(group.id, store),
    };
    Host::start(HostOptions {
        settings: settings.group.clone(),
        name: name.clone(),
        groups: groups.iter().filter(here).map(spec).collect(),
        log: context.log.clone(),
        events: Arc::clone(&context.events),
        clock: Arc::clone(&context.clock),
    })
}

/// Builds the log, which forwards commands to groups without a replica here.
fn build_log(
    host: &Arc<Host>,
    groups: &[Group<'_>],
    own: &MemberSettings,
    transport: &Arc<dyn Transport>,
) -> Arc<dyn Log> {
    let foreign = groups.iter().filter(|group| !group.members.contains(&own));
    let addresses = |group: &Group<'_>| {
        let addresses = group.members.iter().map(|member| member.poll.clone());
        (group.id, addresses.collect())
    };
    Arc::new(RoutedLog {
        local: Arc::clone(host) as Arc<dyn Log>,
        remote: foreign.map(addresses).collect(),
        transport: Arc::clone(transport),
    })
}

/// Parts that exist before the member is built.
struct Parts {
    host: Arc<Host>,
    log: Arc<dyn Log>,
    store: Arc<Store>,
    transport: Arc<dyn Transport>,
}

fn build_member(settings: &ControlSettings, context: &Context, parts: Parts) -> Member {
    let Parts {
        host,
        log,
        store,
        transport,
    } = parts;
    let rounds = Rounds::new(
        settings.lease.clone(),
        Arc::clone(&log),
        Arc::clone(&store),
        Arc::clone(&context.clock),
        Arc::clone(&context.events),
    );
    let shards = Shards::new(
        Arc::clone(&log),
        settings.ledger.shards,
        Arc::clone(&context.clock),
    );
    Member {
        health: HealthTracker::new(settings.health.clone()),
        settings: settings.clone(),
        context: context.clone(),
        log,
        store,
        rounds: Arc::new(rounds),
        transport,
        shards,
        host,
        traffic: std::sync::OnceLock::new(),
    }
}

fn listen(
    settings: &ControlSettings,
    own: &MemberSettings,
    member: &Arc<Member>,
) -> eyre::Result<Server> {
    let address = settings.group.bind_poll.as_ref().unwrap_or(&own.poll);
    let handler = Arc::clone(member);
    let runtime = Handle::current();
    let server = Server::start(address, move |request, call| {
        handle(&runtime, &handler, request, call);
    })?;
    Ok(server)
}

fn handle(runtime: &Handle, member: &Arc<Member>, request: Request, call: Call) {
    match request {
        Request::Poll(poll) => handle_poll(runtime, member, poll, call),
        Request::Claims(ops) => spawn(runtime, member, call, async |m| m.apply_claims(ops).await),
        Request::Propose(group, command) => {
            let command = command.into_vec();
            spawn(runtime, member, call, async move |m| {
                m.propose_forwarded(group, command).await
            });
        }
        Request::Status => {
            let status = codec::encode(&member.local_status());
            call.answer(&Response::Status(status.into()));
        }
        Request::Health(reports) => {
            member.health.add_reports(&reports);
            call.answer(&Response::Taken);
        }
        Request::Site(_) | Request::SitePart(_) => call.answer(&Response::Unavailable {
            reason: "this member keeps tickets, not a site's document".to_owned(),
            refused: true,
        }),
    }
}

fn spawn<F>(
    runtime: &Handle,
    member: &Arc<Member>,
    call: Call,
    work: impl FnOnce(Arc<Member>) -> F + Send + 'static,
) where
    F: Future<Output = Response> + Send,
{
    let member = Arc::clone(member);
    runtime.spawn(async move {
        let response = work(member).await;
        call.answer(&response);
    });
}

fn handle_poll(runtime: &Handle, member: &Arc<Member>, poll: Poll, call: Call) {
    member.health.add_reports(&poll.health);
    let unquarantined_suspects = unquarantined_suspects(member, &poll.cleared);
    if poll.crashes.is_empty() && unquarantined_suspects.is_empty() {
        member.rounds.enqueue(&poll, call);
        return;
    }
    let member = Arc::clone(member);
    runtime.spawn(async move {
        match commit_reports(&member, &poll, unquarantined_suspects).await {
            Ok(()) => member.rounds.enqueue(&poll, call),
            // The process repeats a report until its poll is answered.
            Err(error) => call.answer(&Response::Unavailable {
                reason: error.to_string(),
                refused: false,
            }),
        }
    });
}

async fn commit_reports(
    member: &Member,
    poll: &Poll,
    unquarantined_suspects: Vec<Digest>,
) -> Result<(), LogError> {
    if !poll.crashes.is_empty() {
        let crashes = Command::Crashes(poll.crashes.clone());
        member.propose(&crashes).await?;
    }
    if !unquarantined_suspects.is_empty() {
        member
            .propose(&Command::Clear(unquarantined_suspects))
            .await?;
    }
    Ok(())
}

/// Returns the digests that are suspects but not quarantined.
fn unquarantined_suspects(member: &Member, digests: &[Digest]) -> Vec<Digest> {
    if digests.is_empty() {
        return Vec::new();
    }
    let config = Arc::clone(&member.store.view().config);
    let unquarantined =
        |digest: &&Digest| config.suspects.get(*digest).is_some_and(|s| !s.quarantined);
    digests.iter().filter(unquarantined).copied().collect()
}

fn start_tasks(member: &Arc<Member>) {
    let rounds = Arc::clone(&member.rounds);
    tokio::spawn(async move { rounds.run().await });
    tokio::spawn(leader_tasks::run(Arc::clone(member)));
    let ledger = Arc::clone(member);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(LEDGER_TICK_INTERVAL).await;
            // If there is no quorum, the claims expire at a later tick.
            let _ignored = ledger.shards.tick().await;
        }
    });
}
