//! Health and crash reports in polls, and claims, sent to different members.

use crate::support::{
    Site, Ticket, eventually,
    site::{PARTNER, site},
    until,
};
use cardamomtally::{
    control::view::Status,
    core::{
        claim::{ClaimKey, ClaimOp, ClaimReply, Progress, RequestClaim},
        config::VersionId,
    },
    net::{
        nng::Client,
        transport::Transport as _,
        wire::{CrashReport, HealthReport, Identity, Poll, Request, Response, Role},
    },
    prelude::*,
};

const TIMEOUT: Duration = Duration::from_secs(5);

const VERSIONS: [&str; 2] = ["draft@1", "draft@2"];

/// Starts a group in which one workspace may use two versions.
fn start_site(extra: &str) -> Site {
    let site = site().control_settings(extra).build();
    let ticket = Ticket::new(PARTNER, 1)
        .version(VERSIONS[0], 0.2, "in-service")
        .version(VERSIONS[1], 0.4, "in-service")
        .workspace("counter", &VERSIONS, &[]);
    site.submit(&ticket);
    site
}

/// A client that takes the part of a process which polls one member.
struct PollClient {
    client: Client,
    member: String,
    runtime: tokio::runtime::Runtime,
}

impl PollClient {
    fn new(site: &mut Site, member: &str) -> Self {
        let bound = site.process(member).bound.poll.clone();
        Self {
            client: Client::default(),
            member: bound.expect("the member has bound its poll address"),
            runtime: tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .build()
                .unwrap(),
        }
    }

    fn call(&self, request: Request) -> Option<Response> {
        let call = self.client.call(&self.member, request, TIMEOUT);
        self.runtime.block_on(call).ok()
    }

    /// Repeats a poll until the member answers.
    fn poll(&self, poll: &Poll) {
        eventually("the poll is answered", || {
            let answer = self.call(Request::Poll(poll.clone()));
            matches!(answer, Some(Response::Poll(_)))
        });
    }

    fn claim(&self, op: &ClaimOp) -> ClaimReply {
        until("the claim is answered", || {
            match self.call(Request::Claims(vec![op.clone()])) {
                Some(Response::Claims(replies)) => replies.into_iter().next(),
                _ => None,
            }
        })
    }
}

fn poll(name: &str) -> Poll {
    Poll {
        incarnation: Incarnation::random(),
        identity: Some(Identity {
            name: name.into(),
            role: Role::Agent,
            centre: "glasgow".into(),
            http: "127.0.0.1:1".into(),
        }),
        ..Poll::default()
    }
}

fn outcomes(version: &str, good: u32, bad: u32) -> HealthReport {
    HealthReport {
        version: VersionId {
            partner: PARTNER.into(),
            name: version.into(),
        },
        good,
        bad,
        rated_good: 0,
        rated_bad: 0,
    }
}

fn status(site: &Site, member: &str) -> Option<Status> {
    serde_json::from_slice(&site.get(member, "/status").body).ok()
}

#[test]
fn failures_reported_at_different_members_suspend_a_version_and_the_leader_lifts_it() {
    let health = "[health]\nsuspension = \"2s\"\n";
    let mut site = start_site(health);
    for member in site.members().to_vec() {
        let client = PollClient::new(&mut site, &member);
        client.poll(&Poll {
            health: vec![outcomes(VERSIONS[0], 4, 6), outcomes(VERSIONS[1], 20, 0)],
            ..poll(&member)
        });
    }
    let suspended = || status(&site, "control-2").map(|s| s.suspensions);

    let first = until("the version is suspended", || {
        suspended().filter(|list| !list.is_empty())
    });
    eventually("the suspension is lifted", || {
        suspended().is_some_and(|list| list.is_empty())
    });

    assert_eq!(first.len(), 1);
    assert_eq!(first[0].version, format!("{PARTNER}/{}", VERSIONS[0]));
}

#[test]
fn the_last_version_of_a_workspace_is_kept_and_shown() {
    let mut site = start_site("");
    let client = PollClient::new(&mut site, "control-1");
    for version in VERSIONS {
        client.poll(&Poll {
            health: vec![outcomes(version, 0, 30)],
            ..poll(version)
        });
    }

    let status = until("both verdicts are shown", || {
        let status = status(&site, "control-3")?;
        (status.suspensions.len() == 1 && status.kept.len() == 1).then_some(status)
    });

    assert!(!status.kept.contains(&status.suspensions[0].version));
}

#[test]
fn a_request_at_two_crashes_is_quarantined_and_bystanders_are_cleared() {
    let mut site = start_site("");
    let poison = Digest::of(b"poison");
    let bystander = Digest::of(b"bystander");
    let crash = |backend: &str| CrashReport {
        backend: backend.into(),
        incarnation: Incarnation(1),
        digests: vec![poison, bystander],
    };
    let one = PollClient::new(&mut site, "control-1");
    let two = PollClient::new(&mut site, "control-2");

    one.poll(&Poll {
        crashes: vec![crash("gla-e1")],
        ..poll("gla-e1")
    });
    eventually("both are suspects", || {
        status(&site, "control-1").is_some_and(|s| s.suspects.len() == 2)
    });
    one.poll(&Poll {
        cleared: vec![bystander],
        ..poll("gla-e2")
    });
    two.poll(&Poll {
        crashes: vec![CrashReport {
            digests: vec![poison],
            ..crash("gla-e3")
        }],
        ..poll("gla-e3")
    });

    let status = until("the poison request is quarantined", || {
        status(&site, "control-3").filter(|s| !s.quarantined.is_empty())
    });
    assert_eq!(status.quarantined, [poison]);
    eventually("the bystander is cleared", || {
        self::status(&site, "control-3").is_some_and(|s| s.suspects.is_empty())
    });
}

#[test]
fn a_claim_has_one_winner_at_members_with_and_without_a_replica() {
    let ledger = "[ledger]\nshards = 2\nreplicas = 1\n";
    let mut site = start_site(ledger);
    let key = ClaimKey::request(PARTNER, "counter", "order-1");
    let begin = |seq| {
        let request = RequestId {
            entry: Incarnation(9),
            seq,
        };
        ClaimOp::Begin {
            key,
            claim: RequestClaim {
                request,
                body: Digest::of(b"body"),
                attempt: AttemptId { request, number: 1 },
                backend: "gla-q1".into(),
                agent: None,
                progress: Progress::Running,
            },
            ttl: Duration::from_mins(1),
        }
    };
    let clients = ["control-1", "control-2", "control-3"].map(|m| PollClient::new(&mut site, m));

    let replies: Vec<_> = clients
        .iter()
        .zip(1..)
        .map(|(client, seq)| client.claim(&begin(seq)))
        .collect();

    let winner = |reply: &ClaimReply| match reply {
        ClaimReply::Request { won, claim } => (*won, claim.as_ref().map(|c| c.request.seq)),
        other => panic!("{other:?}"),
    };
    let winners: Vec<_> = replies.iter().map(winner).collect();
    assert_eq!(
        winners,
        [(true, Some(1)), (false, Some(1)), (false, Some(1))]
    );
}
