//! The complete configuration document of a site, and its validation.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A fault that makes a document invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Place of the fault in the document, such as ``route 3 `drafts` ``.
    pub place: String,
    /// Description of the fault.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// Whether the requests of a route may run more than once, and how they are answered.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Class {
    /// The request is idempotent: it may run any number of times.
    Repeatable,
    /// The request must run at most once.
    #[default]
    Once,
    /// The answer is a stream of events, and the request must run at most once.
    Stream,
    /// The answer is a stream of events that another backend server can continue.
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

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// Name of the service.
    pub service: Name,
    /// Weight of the service, relative to the sum of the route's weights.
    pub weight: u32,
}

/// A route: the requests it matches, the services that answer them, and their limits.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host that a request must name.
    pub host: Name,
    /// Prefix that a request's path must have.
    pub prefix: Name,
    /// Whether its requests may run more than once, and how they are answered.
    pub class: Class,
    /// Longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// Target latency: to the end of an answer, or to the first event of a stream.
    pub target: Duration,
    /// Target for the longest pause between two events of a stream.
    pub pause: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that answer the requests.
    pub shares: Vec<Share>,
    /// Greatest number of backend servers that one request may be sent to.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Models that may answer, smallest first. Empty if the caller names the model.
    pub cascade: Vec<Name>,
}

/// A model that the engines of a service offer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Model {
    /// Name of the model.
    pub name: Name,
    /// Cost of 1,000 generated tokens.
    pub cost: f64,
}

/// A service that backend servers run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Greatest number of connections to one backend server from all processes
    /// together.
    pub connections: u32,
    /// Time for which a backend server is cold after its start.
    pub cold: Duration,
    /// Greatest number of requests per second that may be sent to a cold backend
    /// server; 0 for no limit.
    pub cold_rate: f64,
    /// Models that its engines offer; empty for a plain service.
    pub models: Vec<Model>,
    /// Tokens of memory of each of its backend servers, which running requests and cached
    /// parts share; 0 if it is not known. Documents of a former build lack it.
    #[serde(default)]
    pub memory: u64,
    /// Number of requests that each of its backend servers runs at once; 0 if it is not
    /// known. Documents of a former build lack it.
    #[serde(default)]
    pub slots: u32,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Time within which a caller must have sent a request's head.
    pub head_time: Duration,
    /// Time after which a connection without a request is closed. Also the time within
    /// which a caller must have sent a request's body.
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

/// A workspace: a group of callers with its own keys.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Name,
    /// Keys that its callers may present.
    pub keys: Vec<Name>,
    /// Priority that replaces that of the route, if given.
    pub priority: Option<u8>,
}

/// The complete configuration of a site.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Document {
    /// Number of the document. The document with the highest number is in force.
    pub number: u64,
    /// Routes of the site.
    pub routes: Vec<Route>,
    /// Services that its routes may name.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// Workspaces of the site. If there are none, no request needs a key.
    pub workspaces: Vec<Workspace>,
}

impl Document {
    /// Returns all faults that make the document invalid; none if it is valid.
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
