//! A plain service: submissions that must run once, and status checks.

use crate::host::Host;
use rocket::{
    State, get,
    http::{Header, Status},
    post, put,
    request::{FromRequest, Outcome, Request},
    response::{self, Responder, Response},
    routes,
    serde::json::Json,
};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// How the service misbehaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// The next so many submissions run, and their connections break unanswered.
    pub lose: u32,
    /// The next so many submissions are refused with 503 and do not run.
    pub refuse: u32,
    /// Delay in milliseconds of each submission's answer, after it ran.
    pub delay_ms: u64,
}

/// Counts of runs.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    /// Runs by request id.
    pub by_request: FxHashMap<String, u32>,
    /// Runs by body.
    pub by_body: FxHashMap<String, u32>,
    jobs: u64,
}

#[derive(Debug, Default)]
struct Shared {
    faults: Mutex<ServiceFaults>,
    runs: Mutex<Runs>,
}

/// A running plain service.
#[derive(Debug)]
pub struct Service {
    host: Host,
    shared: Arc<Shared>,
}

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(listen: SocketAddr) -> io::Result<Self> {
        let shared = Arc::<Shared>::default();
        let state = Arc::clone(&shared);
        let host = Host::start(listen, 1, |_killer| {
            Arc::new(move |config| {
                rocket::custom(config)
                    .manage(Arc::clone(&state))
                    .mount("/", routes![submit, job, runs, set_faults, health, load])
            })
        })?;
        Ok(Self { host, shared })
    }

    /// Returns its address.
    pub const fn addr(&self) -> SocketAddr {
        self.host.addr()
    }

    /// Changes how it misbehaves.
    pub fn faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(
            &mut self
                .shared
                .faults
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
    }

    /// Returns the counts of runs.
    pub fn runs(&self) -> Runs {
        self.shared
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Breaks its connections; it comes back after `down` with its counts.
    pub fn kill(&self, down: Duration) {
        self.host.kill(down);
    }
}

/// A request header, if it was sent.
struct RequestName(Option<String>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RequestName {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        let name = request.headers().get_one("X-Request-Id");
        Outcome::Success(Self(name.map(ToOwned::to_owned)))
    }
}

/// An answer, or a connection that breaks instead.
enum Reply {
    Answer(Status, Option<String>, String),
    Break,
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        match self {
            Self::Answer(status, id, body) => {
                let mut response = Response::build();
                response.status(status);
                response.header(rocket::http::ContentType::JSON);
                if let Some(id) = id {
                    response.header(Header::new("X-Request-Id", id));
                }
                response.sized_body(body.len(), io::Cursor::new(body));
                Ok(response.finalize())
            }
            // The server breaks the connection at a header that it cannot write.
            Self::Break => Ok(Response::build()
                .header(Header::new("X-Break", "\n"))
                .finalize()),
        }
    }
}

#[post("/jobs", data = "<body>")]
async fn submit(body: String, id: RequestName, shared: &State<Arc<Shared>>) -> Reply {
    let faults = take_faults(shared);
    if faults.refuse > 0 {
        return Reply::Answer(Status::ServiceUnavailable, id.0, "{}".to_owned());
    }
    let job = {
        let mut runs = shared.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.jobs += 1;
        *runs
            .by_request
            .entry(id.0.clone().unwrap_or_default())
            .or_default() += 1;
        *runs.by_body.entry(body).or_default() += 1;
        runs.jobs
    };
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.lose > 0 {
        return Reply::Break;
    }
    Reply::Answer(Status::Created, id.0, format!("{{\"job\":{job}}}"))
}

/// Reads the faults and counts this submission against them.
fn take_faults(shared: &Shared) -> ServiceFaults {
    let mut faults = shared.faults.lock().unwrap_or_else(PoisonError::into_inner);
    let now = *faults;
    if now.refuse > 0 {
        faults.refuse -= 1;
    } else {
        faults.lose = now.lose.saturating_sub(1);
    }
    now
}

#[get("/jobs/<number>")]
fn job(number: u64, id: RequestName, shared: &State<Arc<Shared>>) -> Reply {
    let known = number
        <= shared
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .jobs;
    let status = if known && number > 0 {
        Status::Ok
    } else {
        Status::NotFound
    };
    Reply::Answer(
        status,
        id.0,
        format!("{{\"job\":{number},\"state\":\"printed\"}}"),
    )
}

#[get("/runs")]
fn runs(shared: &State<Arc<Shared>>) -> Json<FxHashMap<String, u32>> {
    let runs = shared.runs.lock().unwrap_or_else(PoisonError::into_inner);
    Json(runs.by_request.clone())
}

#[put("/faults", data = "<faults>")]
fn set_faults(faults: Json<ServiceFaults>, shared: &State<Arc<Shared>>) -> Status {
    *shared.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults.into_inner();
    Status::NoContent
}

#[get("/health")]
const fn health() -> &'static str {
    "{\"incarnation\":1,\"versions\":[]}"
}

#[get("/load")]
const fn load() -> &'static str {
    "{\"incarnation\":1,\"running\":0,\"queued\":0,\"cache_used\":0.0,\"versions\":[]}"
}
