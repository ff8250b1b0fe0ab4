//! A weight store that limits the rate at which it permits loads of weights.
//!
//! A load that is requested too early gets a 429 with `Retry-After`, so that
//! callers can be tested for waiting instead of retrying at once.

use crate::host::Host;
use rocket::{
    State,
    http::{Header, Status},
    post,
    request::Request,
    response::{self, Responder, Response},
    routes,
    serde::json::Json,
};
use serde::Deserialize;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

#[derive(Debug)]
struct Shared {
    /// Minimum time between two grants.
    gap: Duration,
    /// Times of the grants, oldest first.
    grants: Mutex<Vec<Instant>>,
}

/// A running weight store.
#[derive(Debug)]
pub struct WeightStore {
    host: Host,
    shared: Arc<Shared>,
}

impl WeightStore {
    /// Starts a weight store that grants at most one load per `gap`; other
    /// requests get a 429.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(listen: SocketAddr, gap: Duration) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            gap,
            grants: Mutex::default(),
        });
        let state = Arc::clone(&shared);
        let host = Host::start(listen, 1, |_kill_handle| {
            Arc::new(move |config| {
                rocket::custom(config)
                    .manage(Arc::clone(&state))
                    .mount("/", routes![permit])
            })
        })?;
        Ok(Self { host, shared })
    }

    /// Returns the address that the store listens at.
    pub const fn addr(&self) -> SocketAddr {
        self.host.addr()
    }

    /// Returns the times at which loads were granted, oldest first.
    pub fn grants(&self) -> Vec<Instant> {
        self.shared
            .grants
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Body of a request to load weights. Every request is treated alike, but one
/// without these fields is refused.
#[derive(Debug, Deserialize)]
struct PermitRequest {
    #[serde(rename = "version")]
    _version: String,
    #[serde(rename = "backend")]
    _backend: String,
}

/// A grant, or the whole seconds after which to retry.
enum Reply {
    Granted,
    RetryAfter(u64),
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        let mut response = Response::build();
        match self {
            Self::Granted => response.status(Status::Ok),
            Self::RetryAfter(secs) => response
                .status(Status::TooManyRequests)
                .header(Header::new("Retry-After", secs.to_string())),
        };
        Ok(response.finalize())
    }
}

#[post("/permits", data = "<_request>")]
fn permit(_request: Json<PermitRequest>, shared: &State<Arc<Shared>>) -> Reply {
    let now = Instant::now();
    let mut grants = shared.grants.lock().unwrap_or_else(PoisonError::into_inner);
    let next = grants.last().map_or(now, |last| *last + shared.gap);
    if now < next {
        return Reply::RetryAfter((next - now).as_secs() + 1);
    }
    grants.push(now);
    Reply::Granted
}
