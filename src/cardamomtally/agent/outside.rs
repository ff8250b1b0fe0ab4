//! The adapters of the weight store and the platform's list, over HTTP.

use crate::core::{
    platform::{Platform, Vm},
    weights::{Permit, WeightStore},
};
use eyre::{WrapErr as _, bail};
use futures::future::BoxFuture;
use reqwest::{Client, StatusCode, header::RETRY_AFTER};
use serde::Serialize;
use std::time::Duration;

/// Longest time for a call.
const TIMEOUT_SECS: u64 = 2;

/// Pause when the weight store names none.
const DEFAULT_WAIT_SECS: u64 = 1;

/// A weight store behind HTTP.
#[derive(Debug)]
pub struct HttpWeights {
    client: Client,
    url: String,
}

/// A wish to load.
#[derive(Debug, Serialize)]
struct PermitBody<'a> {
    version: &'a str,
    backend: &'a str,
}

impl HttpWeights {
    /// Builds an adapter of the weight store at a URL.
    #[must_use]
    pub fn new(client: Client, url: &str) -> Self {
        Self {
            client,
            url: url.trim_end_matches('/').to_owned(),
        }
    }

    async fn ask(&self, version: &str, backend: &str) -> eyre::Result<Permit> {
        let response = self
            .client
            .post(format!("{}/permits", self.url))
            .timeout(Duration::from_secs(TIMEOUT_SECS))
            .json(&PermitBody { version, backend })
            .send()
            .await
            .wrap_err("failed to ask the weight store for a permit")?;
        match response.status() {
            status if status.is_success() => Ok(Permit::Granted),
            StatusCode::TOO_MANY_REQUESTS => {
                let after = response.headers().get(RETRY_AFTER);
                let secs = after.and_then(|value| value.to_str().ok()?.parse().ok());
                let wait = Duration::from_secs(secs.unwrap_or(DEFAULT_WAIT_SECS));
                Ok(Permit::Wait(wait))
            }
            status => bail!("the weight store answered {status}"),
        }
    }
}

impl WeightStore for HttpWeights {
    fn permit(&self, version: &str, backend: &str) -> BoxFuture<'_, eyre::Result<Permit>> {
        let (version, backend) = (version.to_owned(), backend.to_owned());
        Box::pin(async move { self.ask(&version, &backend).await })
    }
}

/// A weight store that limits nothing, for sites without one.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreeWeights;

impl WeightStore for FreeWeights {
    fn permit(&self, _version: &str, _backend: &str) -> BoxFuture<'_, eyre::Result<Permit>> {
        Box::pin(std::future::ready(Ok(Permit::Granted)))
    }
}

/// The platform's list behind HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    client: Client,
    url: String,
}

impl HttpPlatform {
    /// Builds an adapter of the list at a URL.
    #[must_use]
    pub fn new(client: Client, url: &str) -> Self {
        Self {
            client,
            url: url.trim_end_matches('/').to_owned(),
        }
    }
}

impl Platform for HttpPlatform {
    fn vms(&self) -> BoxFuture<'_, eyre::Result<Vec<Vm>>> {
        Box::pin(async move {
            self.client
                .get(format!("{}/vms", self.url))
                .timeout(Duration::from_secs(TIMEOUT_SECS))
                .send()
                .await
                .wrap_err("failed to read the platform's list")?
                .json()
                .await
                .wrap_err("failed to decode the platform's list")
        })
    }
}
