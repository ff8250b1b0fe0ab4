//! The complete document of a site, and what makes one invalid.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A fault in a document, with its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Where it is, such as `route 3 drafts`.
    pub place: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// What may be done with a request more than once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Class {
    /// It may run any number of times.
    Repeatable,
    /// It runs at most once.
    #[default]
    Once,
    /// Its answer is a stream of events; it runs at most once.
    Stream,
    /// Its answer is a stream that another backend server may go on with.
    Resumable,
}

impl Class {
    /// Tells whether a request whose outcome is unknown may be sent again.
    #[must_use]
    pub const fn repeats(self) -> bool {
        matches!(self, Self::Repeatable | Self::Resumable)
    }

    /// Tells whether the answer is a stream of events.
    #[must_use]
    pub const fn streams(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A share of a route's requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// The service that runs them.
    pub service: Name,
    /// Its weight among the shares.
    pub weight: u32,
}

/// Which requests go where, and what holds for them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// Host that it serves.
    pub host: Name,
    /// Beginning of the paths that it serves.
    pub prefix: Name,
    /// What may be repeated.
    pub class: Class,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is good: to its end, or to its first event.
    pub target: Duration,
    /// Longest good pause between two events.
    pub pause: Duration,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services by share.
    pub shares: Vec<Share>,
    /// Most backend servers that one request may run on.
    pub attempts: u32,
    /// Whether it needs no key.
    pub public: bool,
    /// Models that may answer, smallest first; empty where the caller names one.
    pub cascade: Vec<Name>,
}

/// A model of a service's engines.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Model {
    /// Its name.
    pub name: Name,
    /// Price of a thousand generated tokens.
    pub cost: f64,
}

/// A service that backend servers run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Most connections of all processes to one backend server.
    pub connections: u32,
    /// How long a backend server is cold after its start.
    pub cold: Duration,
    /// Requests a second that a cold backend server bears; 0 for no bound.
    pub cold_rate: f64,
    /// Models of its engines, empty for a plain service.
    pub models: Vec<Model>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a request's head.
    pub head_time: Duration,
    /// Longest time without a request on a connection.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A workspace: a set of callers with its own keys.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Workspace {
    /// Its name.
    pub name: Name,
    /// Its callers' keys.
    pub keys: Vec<Name>,
    /// Rank that goes before a route's.
    pub priority: Option<u8>,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Document {
    /// Its number; the highest is in force.
    pub number: u64,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Its services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// Its workspaces; without any, no request needs a key.
    pub workspaces: Vec<Workspace>,
}

impl Document {
    /// Returns everything that makes the document invalid.
    #[must_use]
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        self.check_routes(&mut faults);
        self.check_keys(&mut faults);
        faults
    }

    fn check_routes(&self, faults: &mut Vec<Fault>) {
        let services: FastSet<&Name> = self.services.iter().map(|s| &s.name).collect();
        let mut seen = FastSet::default();
        for (i, route) in self.routes.iter().enumerate() {
            let mut fault = |message: String| {
                let place = format!("route {i} `{}`", route.name);
                faults.push(Fault { place, message });
            };
            for share in &route.shares {
                if !services.contains(&share.service) {
                    fault(format!("names the unknown service `{}`", share.service));
                }
            }
            if route
                .shares
                .iter()
                .map(|s| u64::from(s.weight))
                .sum::<u64>()
                == 0
            {
                fault("its weights add up to 0".to_owned());
            }
            if route.timeout.is_zero() {
                fault("its timeout is 0".to_owned());
            }
            if !seen.insert((&route.host, &route.prefix)) {
                fault("another route has the same host and prefix".to_owned());
            }
        }
    }

    fn check_keys(&self, faults: &mut Vec<Fault>) {
        let mut seen: FastMap<&Name, usize> = FastMap::default();
        for (i, workspace) in self.workspaces.iter().enumerate() {
            for key in &workspace.keys {
                let first = *seen.entry(key).or_insert(i);
                if first != i {
                    let place = format!("workspace {i} `{}`", workspace.name);
                    let message = format!("shares a key with workspace {first}");
                    faults.push(Fault { place, message });
                }
            }
        }
    }
}
