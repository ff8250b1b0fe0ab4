//! Tracks which members are alive, from the messages that arrive and nothing
//! else, and decides when to ping a member or replace its connection.

use crate::{
    prelude::*,
    replica::peers::{Body, Envelope},
    settings::control::GroupSettings,
};
use std::collections::BTreeMap;

/// Time without a message from a member after which its connection is presumed
/// dead and replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time between two replacements of the connection to one member.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time without sending to a member. After it a ping is sent, so that the
/// member does not take this one for silent.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a message from a process that the settings do not list, after
/// which its link is removed.
const UNLISTED_RETENTION: Duration = Duration::from_secs(20);

#[derive(Debug)]
struct Link {
    /// Whether the settings list the member.
    listed: bool,
    /// Whether any message from the member has arrived.
    known: bool,
    /// Identity in the member's last message of the log. It changes when its disk is lost.
    identity: Option<MemberId>,
    /// Time of the last message from the member, or of the start if there was none yet.
    heard: Mono,
    /// Time of the last message to the member, or `None` if there was none yet.
    sent: Option<Mono>,
    renewed: Mono,
    /// Since when the member has reported that it receives nothing from this one.
    unheard: Option<Mono>,
    /// Whether the member has stated that it reads compressed commands.
    reads_packed: bool,
}

impl Link {
    const fn new(now: Mono, listed: bool) -> Self {
        Self {
            listed,
            known: false,
            identity: None,
            heard: now,
            sent: None,
            renewed: now,
            unheard: None,
            reads_packed: false,
        }
    }
}

/// The actions that the connections need.
#[derive(Debug, Default)]
pub(super) struct LinkActions {
    pub(super) ping: Vec<Name>,
    pub(super) renew: Vec<Name>,
}

/// The state of the connections to other members.
#[derive(Debug)]
pub(super) struct Links {
    links: BTreeMap<Name, Link>,
    /// Time between two pings to a member that was never heard. A process that starts
    /// learns from a ping who the members are, so that it must not wait long for one.
    search_interval: Duration,
}

impl Links {
    pub(super) fn new(settings: &GroupSettings, own: &Name, now: Mono) -> Self {
        let others = settings.members.iter();
        let others = others.filter(|m| m.name != own.as_ref());
        let links = others.map(|m| (Name::from(m.name.as_str()), Link::new(now, true)));
        Self {
            links: links.collect(),
            search_interval: settings.heartbeat.0.min(PING_INTERVAL),
        }
    }

    /// Replaces the names that the settings list. `own` is that of this member.
    pub(super) fn set_listed(&mut self, now: Mono, names: &[Name], own: &Name) {
        for link in self.links.values_mut() {
            link.listed = false;
        }
        for name in names.iter().filter(|name| *name != own) {
            self.link(now, name).listed = true;
        }
    }

    fn link(&mut self, now: Mono, name: &Name) -> &mut Link {
        let links = self.links.entry(Arc::clone(name));
        links.or_insert_with(|| Link::new(now, false))
    }

    /// Records a message from a member.
    pub(super) fn record_received(&mut self, now: Mono, envelope: &Envelope) {
        let link = self.link(now, &envelope.from);
        link.heard = now;
        link.known = true;
        link.reads_packed = envelope.reads_packed;
        // A forwarded message names another member than the one that sent it.
        if let Body::Log(packet) = &envelope.body
            && packet.name == envelope.from
        {
            link.identity = Some(packet.from);
        }
        link.unheard = if envelope.hears {
            None
        } else {
            link.unheard.or(Some(now))
        };
    }

    /// Records a message to a member. Returns whether the member has been heard
    /// within `SILENCE_TIMEOUT`.
    pub(super) fn record_sent(&mut self, now: Mono, name: &Name) -> bool {
        let link = self.link(now, name);
        link.sent = Some(now);
        now.since(link.heard) < SILENCE_TIMEOUT
    }

    /// Returns whether a member was heard within `SILENCE_TIMEOUT`. A process of its name
    /// that has another identity is not this member.
    pub(super) fn hears(&self, now: Mono, name: &Name, id: MemberId) -> bool {
        self.links.get(name).is_some_and(|link| {
            let same = link.identity.is_none_or(|identity| identity == id);
            same && link.known && now.since(link.heard) < SILENCE_TIMEOUT
        })
    }

    /// Returns the time since the last message from a member, or zero if its link
    /// is not known.
    pub(super) fn silence(&self, now: Mono, name: &Name) -> Duration {
        let heard = self.links.get(name).map(|l| l.heard);
        heard.map_or(Duration::ZERO, |heard| now.since(heard))
    }

    /// Returns whether a member has stated that it reads compressed commands.
    pub(super) fn reads_packed(&self, name: &Name) -> bool {
        self.links.get(name).is_some_and(|link| link.reads_packed)
    }

    /// Returns the members to ping and those whose connection is to be replaced.
    /// Removes the links of unlisted processes that have gone.
    pub(super) fn due_actions(&mut self, now: Mono) -> LinkActions {
        let mut actions = LinkActions::default();
        self.links
            .retain(|_, link| link.listed || now.since(link.heard) < UNLISTED_RETENTION);
        for (name, link) in &mut self.links {
            let interval = if link.known {
                PING_INTERVAL
            } else {
                self.search_interval
            };
            if link.sent.is_none_or(|at| now.since(at) >= interval) {
                actions.ping.push(Arc::clone(name));
            }
            let unheard = link
                .unheard
                .is_some_and(|at| now.since(at) >= SILENCE_TIMEOUT);
            let silent = now.since(link.heard) >= SILENCE_TIMEOUT;
            if (unheard || silent) && now.since(link.renewed) >= RENEW_INTERVAL {
                link.renewed = now;
                link.unheard = None;
                actions.renew.push(Arc::clone(name));
            }
        }
        actions
    }
}
