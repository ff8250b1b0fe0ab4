//! The fault proxies on a site's links.

use cardamomtally::core::map::FastMap;
use cardamomtally_standin::{Faults, Proxy};
use std::net::SocketAddr;

/// What a link is for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// Entries to an agent.
    Agent,
    /// Callers to an entry.
    Entry,
    /// An agent to its backend server.
    Backend,
    /// A control member to another one, for replication.
    Peer,
    /// Any process to a control member, for polls and claims.
    Poll,
}

/// All links, by kind, source and target. Agents' and backend servers' links
/// have no source of their own.
#[derive(Debug, Default)]
pub struct Links {
    proxies: FastMap<(Kind, String, String), Proxy>,
}

impl Links {
    /// Returns the address of a link, which is laid if it is new.
    pub fn open(&mut self, kind: Kind, from: &str, to: &str) -> SocketAddr {
        let key = (kind, from.to_owned(), to.to_owned());
        let proxy = self
            .proxies
            .entry(key)
            .or_insert_with(|| Proxy::start(None).expect("a free port"));
        proxy.addr()
    }

    /// Leads all links of a kind to a target to where it is bound now.
    pub fn retarget(&self, kind: Kind, to: &str, addr: SocketAddr) {
        for ((k, _, target), proxy) in &self.proxies {
            if *k == kind && target == to {
                proxy.target(addr);
            }
        }
    }

    /// Returns one link.
    pub fn get(&self, kind: Kind, from: &str, to: &str) -> &Proxy {
        &self.proxies[&(kind, from.to_owned(), to.to_owned())]
    }

    /// Changes the faults of all links between a process and control, both ways.
    pub fn control_faults(&self, name: &str, change: impl Fn(&mut Faults)) {
        for ((kind, from, to), proxy) in &self.proxies {
            let control = matches!(kind, Kind::Peer | Kind::Poll);
            if control && (from == name || to == name) {
                proxy.faults(&change);
            }
        }
    }

    /// Changes the faults of the links from a process to control.
    pub fn outward_faults(&self, name: &str, change: impl Fn(&mut Faults)) {
        for ((kind, from, _), proxy) in &self.proxies {
            if matches!(kind, Kind::Peer | Kind::Poll) && from == name {
                proxy.faults(&change);
            }
        }
    }
}
