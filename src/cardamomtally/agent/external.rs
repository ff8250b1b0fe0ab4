//! HTTP clients of the weight store and of the platform's list of VMs.

use crate::{
    core::{
        platform::{Platform, Vm},
        weights::{Permit, WeightStore},
    },
    net::list::{ListReader, SkippedLog},
};
use eyre::{WrapErr as _, bail};
use futures::future::BoxFuture;
use reqwest::{Client, StatusCode, header::RETRY_AFTER};
use serde::Serialize;
use std::time::Duration;

/// Timeout for a call, in seconds.
const CALL_TIMEOUT_SECS: u64 = 2;

/// Time to wait for a permit when the weight store's answer has no `Retry-After`,
/// in seconds.
const DEFAULT_PERMIT_WAIT_SECS: u64 = 1;

/// A weight store that is reached over HTTP.
#[derive(Debug)]
pub struct HttpWeights {
    client: Client,
    url: String,
}

/// Body of a request for a permit to load weights.
#[derive(Debug, Serialize)]
struct PermitBody<'a> {
    version: &'a str,
    backend: &'a str,
}

impl HttpWeights {
    /// Builds a client for the weight store at a URL.
    #[must_use]
    pub fn new(client: Client, url: &str) -> Self {
        Self {
            client,
            url: url.trim_end_matches('/').to_owned(),
        }
    }

    async fn request_permit(&self, version: &str, backend: &str) -> eyre::Result<Permit> {
        let response = self
            .client
            .post(format!("{}/permits", self.url))
            .timeout(Duration::from_secs(CALL_TIMEOUT_SECS))
            .json(&PermitBody { version, backend })
            .send()
            .await
            .wrap_err("failed to request a permit from the weight store")?;
        match response.status() {
            status if status.is_success() => Ok(Permit::Granted),
            StatusCode::TOO_MANY_REQUESTS => {
                let after = response.headers().get(RETRY_AFTER);
                let secs = after.and_then(|value| value.to_str().ok()?.parse().ok());
                let wait = Duration::from_secs(secs.unwrap_or(DEFAULT_PERMIT_WAIT_SECS));
                Ok(Permit::Wait(wait))
            }
            status => bail!("the weight store answered the permit request with status {status}"),
        }
    }
}

impl WeightStore for HttpWeights {
    fn permit(&self, version: &str, backend: &str) -> BoxFuture<'_, eyre::Result<Permit>> {
        let (version, backend) = (version.to_owned(), backend.to_owned());
        Box::pin(async move { self.request_permit(&version, &backend).await })
    }
}

/// A weight store that grants every permit, for sites that have none.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnlimitedWeights;

impl WeightStore for UnlimitedWeights {
    fn permit(&self, _version: &str, _backend: &str) -> BoxFuture<'_, eyre::Result<Permit>> {
        Box::pin(std::future::ready(Ok(Permit::Granted)))
    }
}

/// The platform's list of VMs, reached over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    client: Client,
    url: String,
    skipped: SkippedLog,
}

impl HttpPlatform {
    /// Builds a client for the list at a URL.
    #[must_use]
    pub fn new(client: Client, url: &str, skipped: SkippedLog) -> Self {
        Self {
            client,
            url: url.trim_end_matches('/').to_owned(),
            skipped,
        }
    }
}

impl Platform for HttpPlatform {
    fn vms(&self) -> BoxFuture<'_, eyre::Result<Vec<Vm>>> {
        Box::pin(async move {
            let response = self
                .client
                .get(format!("{}/vms", self.url))
                .timeout(Duration::from_secs(CALL_TIMEOUT_SECS))
                .send()
                .await
                .wrap_err("failed to request the platform's list of VMs")?;
            let mut vms = Vec::new();
            let mut reader = ListReader::default();
            let add = |vm| {
                vms.push(vm);
                Ok(())
            };
            // What is left of the list without its VMs is an empty one.
            let _empty: [Vm; 0] = reader
                .read_page(response, None, add)
                .await
                .wrap_err("failed to read the platform's list of VMs")?;
            self.skipped.record(&reader.into_skipped());
            Ok(vms)
        })
    }
}
