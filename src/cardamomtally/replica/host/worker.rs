//! The control thread, which owns all groups of this member.

use super::{
    Published,
    calls::{Reply, Taker},
    gauges,
    group::{Group, Outbox, PeerMessage},
    links::Links,
};
use crate::{
    prelude::*,
    replica::{
        peers::{Body, Envelope, Transport},
        storage::writer::Written,
    },
    timeline::Recorder,
};
use slog::{Logger, info, warn};
use std::sync::mpsc::{Receiver, RecvTimeoutError};

/// Maximum events that are handled before the nodes are flushed.
const EVENTS_PER_RUN: usize = 2_048;
/// Maximum time to wait for an event before timers are checked.
const MAX_WAIT: Duration = Duration::from_millis(50);
/// Minimum time between two publications of the status if no term or role has
/// changed. Such a change is published at once.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two updates of the metrics.
const GAUGES_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a stopping member leaves for its last messages to be sent.
const STOP_DRAIN: Duration = Duration::from_millis(50);

/// An event for the control thread.
#[derive(Debug)]
pub(super) enum Event {
    Barrier {
        group: GroupId,
        reply: Reply<Index>,
    },
    Kill,
    /// The names of members that the settings list now.
    Listed(Vec<Name>),
    Peer(Envelope),
    Propose {
        group: GroupId,
        command: Vec<u8>,
        taker: Taker,
        reply: Reply<Vec<u8>>,
    },
    Stop,
    Written {
        group: GroupId,
        written: Written,
    },
}

/// State of the control thread.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) groups: Vec<Group>,
    pub(super) links: Links,
    pub(super) peers: Box<dyn Transport>,
    pub(super) name: Name,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) log: Logger,
    pub(super) events: Arc<Recorder>,
    pub(super) published: Published,
    pub(super) stopping: bool,
    pub(super) killed: bool,
}

impl Worker {
    /// Runs until the member is stopped or killed.
    pub(super) fn run(mut self, inbox: Receiver<Event>) {
        let mut publish_at = Mono::default();
        let mut gauges_at = Mono::default();
        self.flush(self.clock.now());
        while !self.stopping {
            self.handle_events(&inbox);
            if self.killed {
                return;
            }
            let now = self.clock.now();
            for group in &mut self.groups {
                group.node.tick(now);
                group.update_readers(&self.links);
                group.route_calls(now);
            }
            self.flush(now);
            self.maintain_links(now);
            self.publish(now, &mut publish_at);
            self.set_gauges(now, &mut gauges_at);
        }
        self.shut_down(inbox);
    }

    fn handle_events(&mut self, inbox: &Receiver<Event>) {
        let now = self.clock.now();
        let deadlines = self.groups.iter().map(|g| g.node.deadline(now));
        let wake = deadlines
            .min()
            .unwrap_or(now + MAX_WAIT)
            .min(now + MAX_WAIT);
        match inbox.recv_timeout(wake.since(now)) {
            Ok(event) => self.handle(event),
            Err(RecvTimeoutError::Timeout) => return,
            Err(RecvTimeoutError::Disconnected) => self.stopping = true,
        }
        for event in inbox.try_iter().take(EVENTS_PER_RUN) {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Stop => self.stopping = true,
            Event::Kill => self.killed = true,
            Event::Listed(names) => self.links.set_listed(now, &names, &self.name),
            Event::Peer(envelope) => self.handle_envelope(now, envelope),
            Event::Written { group, written } => {
                if let Some(group) = self.group(group) {
                    group.written(now, written);
                }
            }
            Event::Propose {
                group,
                command,
                taker,
                reply,
            } => {
                // If there is no such group, the reply is dropped, and the caller
                // gets
                // [`LogError::Stopped`](crate::core::log::LogError::Stopped).
                if let Some(group) = self.group(group) {
                    group.calls().propose(now, command, taker, reply);
                }
            }
            Event::Barrier { group, reply } => {
                if let Some(group) = self.group(group) {
                    group.calls().barrier(now, reply);
                }
            }
        }
    }

    fn handle_envelope(&mut self, now: Mono, envelope: Envelope) {
        self.links.record_received(now, &envelope);
        let Some(group) = self.group(envelope.group) else {
            return;
        };
        match envelope.body {
            Body::Ping => {}
            Body::Log(packet) => group.node.receive(now, packet),
            Body::Request(request) => group.handle_request(envelope.from, request),
            Body::Reply(answer) => group.handle_reply(now, answer),
        }
    }

    fn group(&mut self, id: GroupId) -> Option<&mut Group> {
        self.groups.iter_mut().find(|g| g.id == id)
    }

    fn flush(&mut self, now: Mono) {
        for i in 0..self.groups.len() {
            let outbox = self.groups[i].flush(now);
            self.deliver(now, self.groups[i].id, outbox);
        }
    }

    fn deliver(&mut self, now: Mono, group: GroupId, outbox: Outbox) {
        for PeerMessage { to, body } in outbox.messages {
            self.send(now, &to, group, body);
        }
        let subject = format!("member {} group {}", self.name, group.0);
        for warning in outbox.warnings {
            warn!(self.log, "replica: {}", warning; "group" => group.0);
            self.events.record("replica", &subject, warning);
        }
        for note in outbox.notes {
            info!(self.log, "replica: {}", note; "group" => group.0);
            self.events.record("replica", &subject, note);
        }
    }

    fn send(&mut self, now: Mono, to: &Name, group: GroupId, body: Body) {
        let envelope = Envelope {
            from: Arc::clone(&self.name),
            hears: self.links.record_sent(now, to),
            reads_packed: true,
            group,
            body,
        };
        self.peers.send(to, envelope);
    }

    fn maintain_links(&mut self, now: Mono) {
        let actions = self.links.due_actions(now);
        for name in actions.renew {
            self.peers.renew(&name);
        }
        for name in actions.ping {
            self.send(now, &name, GroupId::CONFIG, Body::Ping);
        }
    }

    fn publish(&self, now: Mono, at: &mut Mono) {
        let old = self.published.load();
        let differs = |(i, group): (usize, &Group)| {
            old.get(i).is_none_or(|status| {
                status.term != group.node.term() || status.state != group.node.role_name()
            })
        };
        let changed = self.groups.iter().enumerate().any(differs);
        if !changed && now < *at {
            return;
        }
        *at = now + PUBLISH_INTERVAL;
        let statuses = self.groups.iter().map(|g| g.status(now, &self.links));
        self.published.store(Arc::new(statuses.collect()));
    }

    fn set_gauges(&self, now: Mono, at: &mut Mono) {
        if now < *at {
            return;
        }
        *at = now + GAUGES_INTERVAL;
        for group in &self.groups {
            gauges::set(group, &self.links, now);
        }
    }

    fn shut_down(&mut self, inbox: Receiver<Event>) {
        let now = self.clock.now();
        for i in 0..self.groups.len() {
            let outbox = self.groups[i].stop(now);
            self.deliver(now, self.groups[i].id, outbox);
        }
        self.publish(now, &mut Mono::default());
        let end = now + STOP_DRAIN;
        while let Some(left) = Some(end.since(self.clock.now())).filter(|d| !d.is_zero()) {
            let _late = inbox.recv_timeout(left);
        }
        // A storage thread that waits to report into a full queue would never
        // end. Its report fails once the queue is dropped.
        drop(inbox);
        for group in &mut self.groups {
            group.close();
        }
        self.peers.stop();
    }
}
