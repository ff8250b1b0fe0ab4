//! The rating service: which answers are rated, and what is learned.
//!
//! Ratings are asked for on tasks of their own, few at a time; a service that is
//! slow or down costs nothing but ratings. Where a request can still escalate,
//! its answer waits a short while for the rating that was asked for anyway.

use super::{answer::Whole, app::App, call::Call, health::Sign};
use crate::{
    core::rater::{Rater, Sample},
    routing::cascade::{self, RatedAnswer, Step},
    settings::entry::RatingSettings,
};
use eyre::WrapErr as _;
use futures::{FutureExt as _, future::BoxFuture};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Ratings under way at once; more are not asked for.
pub const RATINGS_LIMIT: usize = 32;

/// Longest time that an answer waits for its rating.
const GATE_TIMEOUT: Duration = Duration::from_millis(300);

/// An answer that may be rated.
#[derive(Clone, Copy, Debug)]
pub struct Judged<'a> {
    /// The steps of the request.
    pub steps: &'a [Step],
    /// Position of the step that gave it.
    pub at: usize,
    /// The quality that the workspace asks.
    pub target: f64,
    /// Whether it is rated in any case.
    pub explore: bool,
    /// Whether the request can escalate.
    pub gate: bool,
}

/// Rates an answer if it is drawn, and tells whether the request should
/// escalate.
pub fn judge(
    app: &Arc<App>,
    call: &Arc<Call>,
    judged: Judged<'_>,
    whole: &Whole,
) -> BoxFuture<'static, bool> {
    let share = app.settings.rating.sample;
    let drawn = app.rater.is_some() && (judged.explore || app.chance(share));
    if !drawn {
        return futures::future::ready(false).boxed();
    }
    let task = tokio::spawn(rate(
        Arc::clone(app),
        Arc::clone(call),
        judged.steps[judged.at].clone(),
        judged.target,
        whole.body.clone(),
    ));
    if !judged.gate {
        return futures::future::ready(false).boxed();
    }
    let app = Arc::clone(app);
    let workspace = call.workspace.clone();
    let class = cascade::class_of(call.body.len());
    let steps = judged.steps.to_vec();
    let (step, target) = (judged.at, judged.target);
    async move {
        let rated = tokio::time::timeout(GATE_TIMEOUT, task).await;
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

async fn rate(
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
    app.rated(&call.workspace, &step.version, class, score);
    let sign = if score >= target {
        Sign::RatedGood
    } else {
        Sign::RatedBad
    };
    app.count(&step.version, sign);
    Some(score)
}

/// The rating service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpRater {
    client: reqwest::Client,
    url: String,
}

#[derive(Debug, Serialize)]
struct Question<'a> {
    version: &'a str,
    prompt: std::borrow::Cow<'a, str>,
    answer: std::borrow::Cow<'a, str>,
}

#[derive(Debug, Deserialize)]
struct Rating {
    score: f64,
}

impl HttpRater {
    /// Builds the adapter, if the settings name a rating service.
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
            .build()
            .wrap_err("failed to build the rating client")?;
        let url = format!("{}/rate", url.trim_end_matches('/'));
        Ok(Some(Self { client, url }))
    }

    async fn ask(&self, sample: Sample) -> eyre::Result<f64> {
        let question = Question {
            version: &sample.version,
            prompt: String::from_utf8_lossy(&sample.prompt),
            answer: String::from_utf8_lossy(&sample.answer),
        };
        let response = self.client.post(&self.url).json(&question).send().await?;
        let rating: Rating = response.error_for_status()?.json().await?;
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
        self.ask(sample).boxed()
    }
}
