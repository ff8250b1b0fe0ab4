//! A rating service.
//!
//! The service rates answers by fixed rules instead of a model, so that tests
//! know each score in advance. It can be made slow, failing or biased.

use crate::{engine::GARBAGE_WORD, host::Host};
use rocket::{State, http::Status, post, put, routes, serde::json::Json};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// A prompt that contains this word counts as hard: only the answers of versions
/// listed in [`RaterOptions::strong`] get a good score.
pub const HARD_WORD: &str = "hard";

/// Rules by which answers are rated, and injected faults.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct RaterOptions {
    /// Score of a version's good answers, by `MODEL@VERSION`.
    pub scores: FxHashMap<String, f64>,
    /// Score of the good answers of versions without an entry in `scores`.
    pub score: f64,
    /// Score of garbage answers, and of a version's answer to a hard prompt if
    /// the version is not in `strong`.
    pub low: f64,
    /// Versions that answer hard prompts well, as `MODEL@VERSION`.
    pub strong: Vec<String>,
    /// Added to each score; the sum is clamped to the range 0 to 1.
    pub bias: f64,
    /// Delay before each rating is answered, in milliseconds.
    pub delay_ms: u64,
    /// Whether each rating request fails with a 500.
    pub failing: bool,
}

impl Default for RaterOptions {
    fn default() -> Self {
        Self {
            scores: FxHashMap::default(),
            score: 0.9,
            low: 0.2,
            strong: Vec::new(),
            bias: 0.0,
            delay_ms: 0,
            failing: false,
        }
    }
}

#[derive(Debug, Default)]
struct Shared {
    options: Mutex<RaterOptions>,
    /// Number of ratings that succeeded.
    rated: Mutex<u64>,
}

/// A running rating service.
#[derive(Debug)]
pub struct Rater {
    host: Host,
    shared: Arc<Shared>,
}

impl Rater {
    /// Starts a rating service.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(listen: SocketAddr, options: RaterOptions) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            options: Mutex::new(options),
            rated: Mutex::default(),
        });
        let state = Arc::clone(&shared);
        let host = Host::start(listen, 1, |_kill_handle| {
            Arc::new(move |config| {
                rocket::custom(config)
                    .manage(Arc::clone(&state))
                    .mount("/", routes![rate, set_options])
            })
        })?;
        Ok(Self { host, shared })
    }

    /// Returns the address that the service listens at.
    pub const fn addr(&self) -> SocketAddr {
        self.host.addr()
    }

    /// Changes the rules and faults of the following ratings.
    pub fn update_options(&self, change: impl FnOnce(&mut RaterOptions)) {
        change(
            &mut self
                .shared
                .options
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
    }

    /// Returns the number of ratings that succeeded.
    pub fn rated(&self) -> u64 {
        *self
            .shared
            .rated
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Body of a rating request.
#[derive(Debug, Deserialize)]
struct Sample {
    version: String,
    prompt: String,
    answer: String,
}

#[derive(Debug, Serialize)]
struct Rating {
    score: f64,
}

#[post("/rate", data = "<sample>")]
async fn rate(sample: Json<Sample>, shared: &State<Arc<Shared>>) -> Result<Json<Rating>, Status> {
    let options = shared
        .options
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    tokio::time::sleep(Duration::from_millis(options.delay_ms)).await;
    if options.failing {
        return Err(Status::InternalServerError);
    }
    *shared.rated.lock().unwrap_or_else(PoisonError::into_inner) += 1;
    let score = (score(&options, &sample) + options.bias).clamp(0.0, 1.0);
    Ok(Json(Rating { score }))
}

/// Returns the score of an answer by the rules, without the bias.
fn score(options: &RaterOptions, sample: &Sample) -> f64 {
    let name = sample.version.rsplit('/').next().unwrap_or_default();
    let too_hard = sample.prompt.contains(HARD_WORD) && !options.strong.iter().any(|s| s == name);
    if too_hard || sample.answer.contains(GARBAGE_WORD) {
        return options.low;
    }
    options.scores.get(name).copied().unwrap_or(options.score)
}

#[put("/options", data = "<options>")]
fn set_options(options: Json<RaterOptions>, shared: &State<Arc<Shared>>) -> Status {
    *shared
        .options
        .lock()
        .unwrap_or_else(PoisonError::into_inner) = options.into_inner();
    Status::NoContent
}
