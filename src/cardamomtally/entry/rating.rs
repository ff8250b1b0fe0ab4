//! Ratings: which answers are rated, and how a rating is used.
//!
//! Ratings are requested on separate tasks, with a limit on concurrent ones, so
//! a rating service that is slow or down causes no failures except lost
//! ratings. If an answer is being rated and its request can still escalate to
//! another cascade step, the answer waits up to `ESCALATION_WAIT` for the rating.

use super::{answer::CompleteAnswer, app::App, call::Call, health::VersionOutcome};
use crate::{
    core::rater::{Rater, Sample},
    net::bounded,
    routing::cascade::{self, RatedAnswer, Step},
    settings::entry::RatingSettings,
};
use eyre::WrapErr as _;
use futures::{FutureExt as _, future::BoxFuture};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Concurrent ratings of one entry. Above this limit an answer is not rated.
pub const CONCURRENT_RATINGS_LIMIT: usize = 32;

/// Longest time that an answer is held back for its rating. Without a rating by
/// then, the request does not escalate and the caller gets this answer.
const ESCALATION_WAIT: Duration = Duration::from_millis(300);

/// An answer that may be rated.
#[derive(Clone, Copy, Debug)]
pub struct RatingCandidate<'a> {
    /// Cascade steps of the request.
    pub steps: &'a [Step],
    /// Position of the step that gave the answer.
    pub position: usize,
    /// Quality that the workspace asks for, from 0 to 1.
    pub target: f64,
    /// Whether the answer is rated regardless of the sampling rate.
    pub explore: bool,
    /// Whether the request can escalate to a further step.
    pub can_escalate: bool,
}

/// Starts the rating of an answer if the answer is sampled. The returned future
/// resolves to whether the request should escalate to a further step, and to
/// false if there is no rating in time.
pub fn rate_and_check_escalation(
    app: &Arc<App>,
    call: &Arc<Call>,
    candidate: RatingCandidate<'_>,
    complete: &CompleteAnswer,
) -> BoxFuture<'static, bool> {
    let share = app.settings.rating.sample;
    let drawn = app.rater.is_some() && (candidate.explore || app.random_bool(share));
    if !drawn {
        return futures::future::ready(false).boxed();
    }
    let task = tokio::spawn(request_rating(
        Arc::clone(app),
        Arc::clone(call),
        candidate.steps[candidate.position].clone(),
        candidate.target,
        complete.body.clone(),
    ));
    if !candidate.can_escalate {
        return futures::future::ready(false).boxed();
    }
    let app = Arc::clone(app);
    let workspace = call.workspace.clone();
    let class = cascade::class_of(call.body.len());
    let steps = candidate.steps.to_vec();
    let (step, target) = (candidate.position, candidate.target);
    async move {
        let rated = tokio::time::timeout(ESCALATION_WAIT, task).await;
        let Ok(Ok(Some(score))) = rated else {
            return false;
        };
        let at = RatedAnswer { step, class, score };
        let router = app.router();
        router
            .cascades
            .should_escalate(&workspace, target, &steps, at)
    }
    .boxed()
}

async fn request_rating(
    app: Arc<App>,
    call: Arc<Call>,
    step: Step,
    target: f64,
    answer: bytes::Bytes,
) -> Option<f64> {
    let rater = app.rater.as_ref()?;
    let _permit = app.ratings.try_acquire().ok()?;
    let sample = Sample {
        version: step.version.to_string(),
        prompt: call.body.clone(),
        answer,
    };
    let timeout = app.settings.rating.timeout.0;
    let answer = tokio::time::timeout(timeout, rater.rate(sample)).await;
    let Ok(Ok(score)) = answer else {
        metrics::counter!("cardamomtally_entry_failed_ratings_total").increment(1);
        return None;
    };
    let class = cascade::class_of(call.body.len());
    app.record_rating(&call.workspace, &step.version, class, score);
    let outcome = if score >= target {
        VersionOutcome::RatedGood
    } else {
        VersionOutcome::RatedBad
    };
    app.count_outcome(&step.version, outcome);
    Some(score)
}

/// Client of the rating service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpRater {
    client: reqwest::Client,
    url: String,
}

#[derive(Debug, Serialize)]
struct RatingRequest<'a> {
    version: &'a str,
    prompt: std::borrow::Cow<'a, str>,
    answer: std::borrow::Cow<'a, str>,
}

#[derive(Debug, Deserialize)]
struct RatingResponse {
    score: f64,
}

impl HttpRater {
    /// Builds the client, if the settings name a rating service.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub fn new(settings: &RatingSettings) -> eyre::Result<Option<Self>> {
        let Some(url) = &settings.url else {
            return Ok(None);
        };
        let client = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .timeout(settings.timeout.0)
            // A score does not name the answer that it rates, so that an earlier one on a
            // kept connection could not be told from it.
            .pool_max_idle_per_host(0)
            .build()
            .wrap_err("failed to build the rating client")?;
        let url = format!("{}/rate", url.trim_end_matches('/'));
        Ok(Some(Self { client, url }))
    }

    async fn request(&self, sample: Sample) -> eyre::Result<f64> {
        let request = RatingRequest {
            version: &sample.version,
            prompt: String::from_utf8_lossy(&sample.prompt),
            answer: String::from_utf8_lossy(&sample.answer),
        };
        let response = self.client.post(&self.url).json(&request).send().await?;
        let rating: RatingResponse = bounded::read_json(response).await?;
        eyre::ensure!(
            (0.0..=1.0).contains(&rating.score),
            "the score {} is not between 0 and 1",
            rating.score
        );
        Ok(rating.score)
    }
}

impl Rater for HttpRater {
    fn rate(&self, sample: Sample) -> BoxFuture<'_, eyre::Result<f64>> {
        self.request(sample).boxed()
    }
}
