//! A plain service, which takes jobs that must run at most once.
//!
//! The service counts how often each submission ran, so that tests can detect
//! a request that the system sent twice.

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

/// Injected faults of the service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Number of further submissions that run, but whose connection is broken
    /// before the answer.
    pub lose: u32,
    /// Number of further submissions that are refused with a 503 and do not run.
    /// Refusals are used up before `lose`.
    pub refuse: u32,
    /// Delay between the run of a submission and its answer, in milliseconds.
    pub delay_ms: u64,
}

/// Number of runs of the submitted jobs.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    /// Number of runs for each request id; submissions without an id are counted
    /// under the empty string.
    pub by_request: FxHashMap<String, u32>,
    /// Number of runs for each body.
    pub by_body: FxHashMap<String, u32>,
    /// Number of all runs, which is also the highest job number.
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
        let host = Host::start(listen, 1, |_kill_handle| {
            Arc::new(move |config| {
                rocket::custom(config)
                    .manage(Arc::clone(&state))
                    .mount("/", routes![submit, job, runs, set_faults, health, load])
            })
        })?;
        Ok(Self { host, shared })
    }

    /// Returns the address that the service listens at.
    pub const fn addr(&self) -> SocketAddr {
        self.host.addr()
    }

    /// Changes the injected faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(
            &mut self
                .shared
                .faults
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
    }

    /// Returns the numbers of runs so far.
    pub fn runs(&self) -> Runs {
        self.shared
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Breaks all connections and restarts the server after `down`. The run
    /// counts survive.
    pub fn kill(&self, down: Duration) {
        self.host.kill(down);
    }
}

/// The `X-Request-Id` header, if the request has one.
struct SentRequestId(Option<String>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for SentRequestId {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        let id = request.headers().get_one("X-Request-Id");
        Outcome::Success(Self(id.map(ToOwned::to_owned)))
    }
}

/// An answer, or a connection that is broken without an answer.
enum Reply {
    Answer(Status, Option<String>, String),
    BreakConnection,
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
            // A header value with a line feed cannot be written, so the HTTP server
            // breaks the connection instead of answering.
            Self::BreakConnection => Ok(Response::build()
                .header(Header::new("X-Break", "\n"))
                .finalize()),
        }
    }
}

#[post("/jobs", data = "<body>")]
async fn submit(body: String, id: SentRequestId, shared: &State<Arc<Shared>>) -> Reply {
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
        return Reply::BreakConnection;
    }
    Reply::Answer(Status::Created, id.0, format!("{{\"job\":{job}}}"))
}

/// Returns the faults that apply to this submission, and counts down the
/// remaining number of refusals or, without one, of lost answers.
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
fn job(number: u64, id: SentRequestId, shared: &State<Arc<Shared>>) -> Reply {
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
