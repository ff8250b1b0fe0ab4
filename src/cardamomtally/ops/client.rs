//! The HTTP client by which the commands call the daemons.

use super::{Exit, OpContext};
use eyre::WrapErr as _;
use reqwest::{Method, StatusCode};
use serde::de::DeserializeOwned;
use tokio::runtime::Runtime;

/// A blocking HTTP client. It has its own runtime, so that commands need not be async.
#[derive(Debug)]
pub struct Client {
    http: reqwest::Client,
    runtime: Runtime,
    members: Vec<String>,
    token: Option<String>,
}

/// A daemon's response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status of the response. A call succeeds with any status.
    pub status: StatusCode,
    /// Body as received, not decoded.
    pub body: Vec<u8>,
}

impl Reply {
    /// Decodes a JSON body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not JSON or does not have the form of `T`.
    pub fn json<T: DeserializeOwned>(&self) -> eyre::Result<T> {
        serde_json::from_slice(&self.body).wrap_err("failed to decode the daemon's response")
    }
}

impl Client {
    /// Builds a client with the members, token and timeout of the context.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime or the HTTP client cannot be built.
    pub fn new(context: &OpContext) -> eyre::Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .timeout(context.timeout)
            .build()
            .wrap_err("failed to build the HTTP client")?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("failed to start the runtime")?;
        Ok(Self {
            http,
            runtime,
            members: context.members.clone(),
            token: context.token.clone(),
        })
    }

    /// Calls one daemon at `address`, and returns its response whatever its status.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon cannot be reached or does not answer in time.
    pub fn call(
        &self,
        address: &str,
        method: &Method,
        path: &str,
        body: Option<&str>,
    ) -> eyre::Result<Reply> {
        let url = format!("http://{address}{path}");
        let mut request = self.http.request(method.clone(), &url);
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        if let Some(body) = body {
            request = request.body(body.to_owned());
        }
        self.runtime
            .block_on(async {
                let response = request.send().await?;
                let status = response.status();
                let body = response.bytes().await?.to_vec();
                Ok(Reply { status, body })
            })
            .map_err(|error: reqwest::Error| eyre::eyre!(error))
            .wrap_err_with(|| format!("failed to call {method} {url}"))
    }

    /// Calls the control members in turn until one answers. A member that answers 503
    /// cannot serve the call at the moment, for example because it reaches no quorum, so
    /// the next one is tried.
    ///
    /// # Errors
    ///
    /// Returns [`Exit::Unreachable`] with the failure of the last member if each member
    /// fails to answer or answers 503.
    pub fn control(&self, method: &Method, path: &str, body: Option<&str>) -> eyre::Result<Reply> {
        let mut last = eyre::eyre!("no control member was given; use `--control IP:PORT`");
        for member in &self.members {
            match self.call(member, method, path, body) {
                Ok(reply) if reply.status != StatusCode::SERVICE_UNAVAILABLE => return Ok(reply),
                Ok(reply) => {
                    let text = String::from_utf8_lossy(&reply.body).into_owned();
                    last = eyre::eyre!("{member} is unavailable: {text}");
                }
                Err(error) => last = error,
            }
        }
        Err(eyre::Report::new(Exit::Unreachable).wrap_err(format!("{last:#}")))
    }
}
