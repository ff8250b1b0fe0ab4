//! A weight store that grants few loads at a time.

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
    gap: Duration,
    grants: Mutex<Vec<Instant>>,
}

/// A running weight store.
#[derive(Debug)]
pub struct Weights {
    host: Host,
    shared: Arc<Shared>,
}

impl Weights {
    /// Starts a weight store that grants one load in each `gap`.
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
        let host = Host::start(listen, 1, |_killer| {
            Arc::new(move |config| {
                rocket::custom(config)
                    .manage(Arc::clone(&state))
                    .mount("/", routes![permit])
            })
        })?;
        Ok(Self { host, shared })
    }

    /// Returns its address.
    pub const fn addr(&self) -> SocketAddr {
        self.host.addr()
    }

    /// Returns when loads were granted.
    pub fn grants(&self) -> Vec<Instant> {
        self.shared
            .grants
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

#[derive(Debug, Deserialize)]
struct Wish {
    #[serde(rename = "version")]
    _version: String,
    #[serde(rename = "backend")]
    _backend: String,
}

/// A grant, or the seconds to wait.
enum Reply {
    Granted,
    Wait(u64),
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        let mut response = Response::build();
        match self {
            Self::Granted => response.status(Status::Ok),
            Self::Wait(secs) => response
                .status(Status::TooManyRequests)
                .header(Header::new("Retry-After", secs.to_string())),
        };
        Ok(response.finalize())
    }
}

#[post("/permits", data = "<_wish>")]
fn permit(_wish: Json<Wish>, shared: &State<Arc<Shared>>) -> Reply {
    let now = Instant::now();
    let mut grants = shared.grants.lock().unwrap_or_else(PoisonError::into_inner);
    let next = grants.last().map_or(now, |last| *last + shared.gap);
    if now < next {
        return Reply::Wait((next - now).as_secs() + 1);
    }
    grants.push(now);
    Reply::Granted
}
