//! The fault-injecting proxies on a site's links.
//!
//! A daemon's settings name the addresses of proxies. When the target of a link
//! is bound to a new port after a restart, the proxy is pointed at the new port,
//! so the settings stay valid.

use cardamomtally::core::map::FastMap;
use cardamomtally_standin::{Faults, Proxy};
use std::net::SocketAddr;

/// Which processes a link connects, and in which direction.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LinkKind {
    /// From the entries to an agent.
    Agent,
    /// From callers to an entry.
    Entry,
    /// From an agent to its backend server.
    Backend,
    /// From a control member to another one, for replication.
    Peer,
    /// From any process to a control member, for polls and claims.
    Poll,
}

/// All links of a site, by kind, source and target. The links to agents, to
/// entries and to backend servers are shared by all sources, and their source is
/// the empty string.
#[derive(Debug, Default)]
pub struct Links {
    proxies: FastMap<(LinkKind, String, String), Proxy>,
}

impl Links {
    /// Returns the address of a link's proxy, after starting the proxy if the link
    /// is new.
    pub fn open(&mut self, kind: LinkKind, from: &str, to: &str) -> SocketAddr {
        let key = (kind, from.to_owned(), to.to_owned());
        let proxy = self
            .proxies
            .entry(key)
            .or_insert_with(|| Proxy::start(None).expect("a proxy can bind a free port"));
        proxy.addr()
    }

    /// Points all links of one kind to one target at the address where the target
    /// is bound now.
    pub fn retarget(&self, kind: LinkKind, to: &str, addr: SocketAddr) {
        for ((k, _, target), proxy) in &self.proxies {
            if *k == kind && target == to {
                proxy.set_target(addr);
            }
        }
    }

    /// Returns the proxy of a link.
    ///
    /// # Panics
    ///
    /// Panics if the link does not exist.
    pub fn get(&self, kind: LinkKind, from: &str, to: &str) -> &Proxy {
        &self.proxies[&(kind, from.to_owned(), to.to_owned())]
    }

    /// Changes the faults of all links between a process and the control members,
    /// in both directions.
    pub fn update_control_faults(&self, name: &str, change: impl Fn(&mut Faults)) {
        for ((kind, from, to), proxy) in &self.proxies {
            let control = matches!(kind, LinkKind::Peer | LinkKind::Poll);
            if control && (from == name || to == name) {
                proxy.update_faults(&change);
            }
        }
    }

    /// Changes the faults of the links that lead from a process to the control
    /// members. Connections that the members open to the process are unaffected.
    pub fn update_outward_faults(&self, name: &str, change: impl Fn(&mut Faults)) {
        for ((kind, from, _), proxy) in &self.proxies {
            if matches!(kind, LinkKind::Peer | LinkKind::Poll) && from == name {
                proxy.update_faults(&change);
            }
        }
    }
}
