//! Which members are heard, by what they send and nothing else.

use crate::{prelude::*, settings::control::MemberSettings};
use std::collections::BTreeMap;

/// Silence after which a connection is taken for dead.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest time between two connections to one member.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time without a message to a member.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// Silence after which the link of a process that is no member is forgotten.
const UNLISTED_RETENTION: Duration = Duration::from_secs(20);

#[derive(Debug)]
struct Link {
    /// Whether the settings name the member.
    listed: bool,
    heard: Mono,
    sent: Mono,
    renewed: Mono,
    /// Since when the member says that it does not hear this one.
    unheard: Option<Mono>,
}

impl Link {
    const fn new(now: Mono, listed: bool) -> Self {
        Self {
            listed,
            heard: now,
            sent: now,
            renewed: now,
            unheard: None,
        }
    }
}

/// What to do about the connections.
#[derive(Debug, Default)]
pub(super) struct LinkActions {
    pub(super) ping: Vec<Name>,
    pub(super) renew: Vec<Name>,
}

/// Which members are heard.
#[derive(Debug)]
pub(super) struct Links {
    links: BTreeMap<Name, Link>,
}

impl Links {
    pub(super) fn new(members: &[MemberSettings], own: &Name, now: Mono) -> Self {
        let others = members.iter().filter(|m| m.name != own.as_ref());
        let links = others.map(|m| (Name::from(m.name.as_str()), Link::new(now, true)));
        Self {
            links: links.collect(),
        }
    }

    fn link(&mut self, now: Mono, name: &Name) -> &mut Link {
        let links = self.links.entry(Arc::clone(name));
        links.or_insert_with(|| Link::new(now, false))
    }

    /// Notes a message from a member.
    pub(super) fn record_received(&mut self, now: Mono, name: &Name, hears: bool) {
        let link = self.link(now, name);
        link.heard = now;
        link.unheard = if hears {
            None
        } else {
            link.unheard.or(Some(now))
        };
    }

    /// Notes a message to a member. Returns whether that member is heard.
    pub(super) fn record_sent(&mut self, now: Mono, name: &Name) -> bool {
        let link = self.link(now, name);
        link.sent = now;
        now.since(link.heard) < SILENCE_TIMEOUT
    }

    /// Returns how long a member has been silent.
    pub(super) fn silence(&self, now: Mono, name: &Name) -> Duration {
        let heard = self.links.get(name).map(|l| l.heard);
        heard.map_or(Duration::ZERO, |heard| now.since(heard))
    }

    /// Returns which connections need a message or a replacement.
    pub(super) fn due_actions(&mut self, now: Mono) -> LinkActions {
        let mut actions = LinkActions::default();
        self.links
            .retain(|_, link| link.listed || now.since(link.heard) < UNLISTED_RETENTION);
        for (name, link) in &mut self.links {
            if now.since(link.sent) >= PING_INTERVAL {
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
