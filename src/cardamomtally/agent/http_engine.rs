//! Engine adapter that speaks HTTP to the backend server.

use super::engine_link::{EngineLink, EngineReply, Outgoing};
use crate::{
    core::{
        engine::{Engine, EngineAnswer, EngineCall, EngineError, EngineLoad},
        id::RequestId,
        order::Order,
    },
    net::bounded,
};
use bytes::Bytes;
use eyre::WrapErr as _;
use futures::{StreamExt as _, future::BoxFuture, stream::BoxStream};
use http::{
    Request,
    header::{CONTENT_TYPE, HOST},
};
use http_body_util::Full;
use reqwest::{Client, Response, StatusCode, redirect::Policy};
use serde::Deserialize;
use std::time::Duration;

/// Header with the request id. The backend server echoes it in its answer.
const REQUEST_HEADER: &str = "x-request-id";

/// Header with the priority of a call.
const PRIORITY_HEADER: &str = "x-priority";

/// Header with the attempt id, by which a plain service detects copies of a call.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Timeout for connecting, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Timeout for load reports, health checks and cancellations, in milliseconds.
const SHORT_TIMEOUT_MS: u64 = 1_000;

/// Timeout for an order, in seconds.
const ORDER_TIMEOUT_SECS: u64 = 30;

/// Builds an HTTP client that follows no redirects and uses no proxy.
///
/// It opens a connection for each call. On a connection that is kept, a faulty server may
/// write an earlier answer once more, and a plain service, a load report or an order's
/// answer does not name the call that it belongs to.
///
/// # Errors
///
/// Returns an error if the client cannot be built.
pub fn client() -> eyre::Result<Client> {
    Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .pool_max_idle_per_host(0)
        .tcp_nodelay(true)
        .build()
        .wrap_err("failed to build the HTTP client")
}

/// A backend server that is reached over HTTP.
#[derive(Debug)]
pub struct HttpEngine {
    /// Connections for calls.
    link: EngineLink,
    /// Client for all else.
    client: Client,
    url: String,
    idle_timeout: Duration,
}

/// The part of `GET /health` that the agent reads. The load report may be out of
/// date while `/health` is not, so incarnation and versions are taken from here.
#[derive(Debug, Deserialize)]
struct Health {
    incarnation: u64,
    #[serde(default)]
    versions: Vec<String>,
}

/// The engine's answer to an order whose fencing number is too low.
#[derive(Debug, Deserialize)]
struct FencedBody {
    highest: u64,
}

impl HttpEngine {
    /// Builds an adapter for the backend server at a URL. `idle_timeout` is the
    /// maximum time before an answer begins, and between two of its chunks.
    ///
    /// # Errors
    ///
    /// Returns an error if the URL is none of HTTP, or if the HTTP client cannot be built.
    pub fn new(url: &str, idle_timeout: Duration) -> eyre::Result<Self> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        Ok(Self {
            link: EngineLink::new(url, limit)?,
            client: client()?,
            url: url.trim_end_matches('/').to_owned(),
            idle_timeout,
        })
    }

    /// Sends a call. An answer without a status of a final one is none.
    async fn send(&self, request: Outgoing) -> Result<EngineReply, EngineError> {
        let sent = tokio::time::timeout(self.idle_timeout, self.link.send(request)).await;
        let Ok(reply) = sent else {
            return Err(EngineError::Timeout("no answer began in time".to_owned()));
        };
        let reply = reply?;
        if !bounded::is_final(reply.status) {
            return Err(EngineError::Broken(format!(
                "the answer has status {}, which is none of a final answer",
                reply.status
            )));
        }
        Ok(reply)
    }

    async fn get(&self, path: &str) -> Result<Response, EngineError> {
        let request = self.client.get(format!("{}{path}", self.url));
        request
            .timeout(Duration::from_millis(SHORT_TIMEOUT_MS))
            .send()
            .await
            .map_err(|error| classify_error(&error))
    }

    async fn read_load(&self) -> Result<EngineLoad, EngineError> {
        let mut load: EngineLoad = json(self.get("/load").await?).await?;
        let health = self.get("/health").await?;
        if health.status() == StatusCode::OK
            && let Ok(health) = json::<Health>(health).await
        {
            load.incarnation = health.incarnation;
            load.versions = health.versions;
        }
        Ok(load)
    }

    fn build(&self, call: EngineCall) -> Result<Outgoing, EngineError> {
        let (target, host) = self.link.target(&call.path);
        let mut request = Request::builder()
            .method(call.method.as_str())
            .uri(target)
            .header(HOST, host)
            .header(REQUEST_HEADER, call.request.to_string())
            .header(PRIORITY_HEADER, call.priority.to_string())
            .header(IDEMPOTENCY_KEY_HEADER, call.attempt.to_string());
        if let Some(media) = call.media {
            request = request.header(CONTENT_TYPE, media);
        }
        let built = request.body(Full::new(call.body));
        built.map_err(|error| EngineError::NotSent(error.to_string()))
    }

    fn build_resumption(&self, request: RequestId, offset: u64) -> Result<Outgoing, EngineError> {
        let path = format!("/v1/resume/{request}?offset={offset}");
        let (target, host) = self.link.target(&path);
        let request = Request::post(target).header(HOST, host);
        let built = request.body(Full::default());
        built.map_err(|error| EngineError::NotSent(error.to_string()))
    }
}

impl Engine for HttpEngine {
    fn call(&self, call: EngineCall) -> BoxFuture<'_, Result<EngineAnswer, EngineError>> {
        Box::pin(async move {
            let request = self.build(call)?;
            let response = self.send(request).await?;
            Ok(to_answer(response, self.idle_timeout))
        })
    }

    fn resume(
        &self,
        request: RequestId,
        offset: u64,
    ) -> BoxFuture<'_, Result<EngineAnswer, EngineError>> {
        Box::pin(async move {
            let response = self.send(self.build_resumption(request, offset)?).await?;
            if response.status != StatusCode::OK {
                let status = response.status;
                return Err(EngineError::Broken(format!(
                    "the resumption was answered with status {status}"
                )));
            }
            Ok(to_answer(response, self.idle_timeout))
        })
    }

    fn cancel(&self, request: RequestId) -> BoxFuture<'_, Result<(), EngineError>> {
        Box::pin(async move {
            let url = format!("{}/v1/requests/{request}", self.url);
            self.client
                .delete(url)
                .timeout(Duration::from_millis(SHORT_TIMEOUT_MS))
                .send()
                .await
                .map(drop)
                .map_err(|error| classify_error(&error))
        })
    }

    fn load(&self) -> BoxFuture<'_, Result<EngineLoad, EngineError>> {
        Box::pin(self.read_load())
    }

    fn order(&self, order: Order) -> BoxFuture<'_, Result<(), EngineError>> {
        Box::pin(async move {
            let body = order_body(&order);
            let response = self
                .client
                .post(format!("{}/orders", self.url))
                .timeout(Duration::from_secs(ORDER_TIMEOUT_SECS))
                .json(&body)
                .send()
                .await
                .map_err(|error| classify_error(&error))?;
            match response.status() {
                status if status.is_success() => Ok(()),
                StatusCode::CONFLICT => {
                    let body = bounded::decode_json(response).await;
                    let body: FencedBody = body.map_err(|error| broken(&error))?;
                    Err(EngineError::Fenced {
                        highest: body.highest,
                    })
                }
                status => Err(EngineError::Broken(format!(
                    "the order was answered with status {status}"
                ))),
            }
        })
    }
}

/// An order as the engine reads it.
#[derive(Debug, serde::Serialize)]
struct OrderBody<'a> {
    fence: u64,
    #[serde(flatten)]
    action: &'a crate::core::order::Action,
}

const fn order_body(order: &Order) -> OrderBody<'_> {
    OrderBody {
        fence: order.fence.0,
        action: &order.action,
    }
}

fn to_answer(reply: EngineReply, idle_timeout: Duration) -> EngineAnswer {
    let header = |name: &str| {
        let value = reply.headers.get(name)?;
        value.to_str().ok().map(ToOwned::to_owned)
    };
    EngineAnswer {
        status: reply.status.as_u16(),
        media: header("content-type").unwrap_or_default(),
        echoed: header(REQUEST_HEADER),
        body: body_of(reply, idle_timeout),
    }
}

/// Returns the body as a stream that ends with an error if the next chunk takes
/// longer than the idle timeout.
fn body_of(
    reply: EngineReply,
    idle_timeout: Duration,
) -> BoxStream<'static, Result<Bytes, EngineError>> {
    futures::stream::unfold(Some(reply), move |state| async move {
        let mut reply = state?;
        match tokio::time::timeout(idle_timeout, reply.next()).await {
            Ok(Ok(None)) => None,
            Ok(Ok(Some(bytes))) => Some((Ok(bytes), Some(reply))),
            Ok(Err(error)) => Some((Err(error), None)),
            Err(_elapsed) => {
                let silent = EngineError::Timeout("the answer fell silent".to_owned());
                Some((Err(silent), None))
            }
        }
    })
    .boxed()
}

async fn json<T: serde::de::DeserializeOwned>(response: Response) -> Result<T, EngineError> {
    let read = bounded::read_json(response).await;
    read.map_err(|error| broken(&error))
}

fn broken(error: &eyre::Report) -> EngineError {
    EngineError::Broken(format!("{error:#}"))
}

/// Classifies an error by what it proves. Only a failure to connect, or to build
/// the request, proves that nothing was sent.
fn classify_error(error: &reqwest::Error) -> EngineError {
    let text = error.to_string();
    if error.is_connect() || error.is_builder() {
        EngineError::NotSent(text)
    } else if error.is_timeout() {
        EngineError::Timeout(text)
    } else {
        EngineError::Broken(text)
    }
}
