//! Control processes without a disk: whom they pass requests on to, and how members make
//! themselves known to them.

use super::fixtures::document;
use crate::support::wait::until;
use cardamomtally::{
    core::clock::SystemClock,
    net::{
        codec,
        nng::Client,
        transport::{Transport, TransportError},
        wire::{Request, Response},
    },
    prelude::*,
    replica::peers::{
        Body, Envelope, Transport as _,
        nng::{NngOptions, NngTransport},
    },
    site::{
        document::Class,
        member::{SiteMember, SiteMemberSettings},
        poll::{Poll, PollReply},
        relay::Relay,
    },
    util::{log, ports::ReservedPorts},
};
use futures::future::BoxFuture;
use std::{sync::mpsc, time::Instant};

/// Time between two heartbeats of a member.
const HEARTBEAT: Duration = Duration::from_millis(100);

/// A group that answers the polls of entries only, as long as it has no leader for others.
#[derive(Debug)]
struct Members;

impl Transport for Members {
    fn call(
        &self,
        member: &str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Response, TransportError>> {
        let reason = format!("{member} does not answer");
        Box::pin(async move {
            let Request::Site(bytes) = request else {
                return Err(TransportError { reason });
            };
            let poll: Poll = codec::decode(&bytes).unwrap();
            if poll.name.is_empty() {
                tokio::time::sleep(timeout).await;
                return Err(TransportError { reason });
            }
            let reply = codec::encode(&PollReply::default());
            Ok(Response::Site(reply.into()))
        })
    }
}

fn ports() -> (u16, u16) {
    let ports = ReservedPorts::reserve(2).unwrap().numbers().unwrap();
    (ports[0], ports[1])
}

fn peers(own: &str, port: u16, deliver: impl Fn(Envelope) + Send + Sync + 'static) -> NngTransport {
    let options = NngOptions {
        own: own.into(),
        listen: format!("{own}:{port}"),
        others: Vec::new(),
        port: Some(port),
        log: log::discard(),
    };
    NngTransport::start(options, Box::new(deliver)).unwrap()
}

fn ping(from: &str) -> Envelope {
    Envelope {
        from: from.into(),
        hears: true,
        reads_packed: true,
        group: GroupId::CONFIG,
        body: Body::Ping,
    }
}

#[test]
fn relay_passes_polls_on_to_a_member_that_has_not_answered_its_own_poll_yet() {
    let (poll_port, peer_port) = ports();
    let settings = SiteMemberSettings {
        name: "127.0.0.151".to_owned(),
        seeds: vec!["127.0.0.152".to_owned()],
        poll_port,
        peer_port,
        ..SiteMemberSettings::default()
    };
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let _inside = runtime.enter();
    let relay = Relay::start(settings, Arc::new(Members), log::discard()).unwrap();
    let address = format!("127.0.0.151:{poll_port}");
    let _server = relay.listen(&address).unwrap();
    runtime.spawn(async move { relay.run().await });
    let mut member = peers("127.0.0.153", peer_port, drop);
    let entry = Client::default();
    let poll = Poll {
        name: "entry-1".into(),
        ..Poll::default()
    };
    let request = Request::Site(codec::encode(&poll).into());

    let answer = until("the poll is passed on", || {
        member.send(&"127.0.0.151".into(), ping("127.0.0.153"));
        let answer = entry.call(&address, request.clone(), Duration::from_millis(500));
        let answer = runtime.block_on(answer).ok()?;
        matches!(answer, Response::Site(_)).then_some(answer)
    });

    assert!(matches!(answer, Response::Site(_)));
}

#[test]
fn seed_that_was_never_heard_is_pinged_at_each_heartbeat() {
    let (poll_port, peer_port) = ports();
    let folder = tempfile::tempdir().unwrap();
    let start = |seed: &str| {
        let settings = SiteMemberSettings {
            name: "127.0.0.156".to_owned(),
            folder: folder.path().to_owned(),
            seeds: vec![seed.to_owned()],
            form: true,
            poll_port,
            peer_port,
            ..SiteMemberSettings::default()
        };
        let clock = Arc::new(SystemClock::default());
        SiteMember::start(&settings, clock, log::discard()).unwrap()
    };
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let member = start("127.0.0.156");
    until("the group is formed", || {
        let submitted = member.submit(document(1, Class::Once), Vec::new());
        runtime.block_on(submitted).ok()
    });
    member.stop();
    drop(member);
    let (arrived, arrivals) = mpsc::channel();
    let _silent = peers("127.0.0.157", peer_port, move |envelope| {
        if envelope.body == Body::Ping {
            let _test_ended = arrived.send(Instant::now());
        }
    });

    let _member = start("127.0.0.157");
    let at: Vec<Instant> = arrivals.iter().take(5).collect();

    assert!(at[4] - at[0] <= HEARTBEAT * 2 * 4, "{:?}", at[4] - at[0]);
}
