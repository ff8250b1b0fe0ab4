//! Interface to the agents, and its HTTP implementation.
//!
//! Each failed call is classified. [`CallError::NotSent`] proves that the agent
//! saw nothing, [`CallError::Rejected`] is a refusal that the agent itself
//! states, and [`CallError::Ambiguous`] is everything else. A request that must
//! not be repeated may be dispatched again only after `NotSent`, or after a
//! refusal that states that the attempt did not run.

use super::frames::FrameReader;
use crate::{
    core::{
        id::{AttemptId, Incarnation, Name},
        verdict::Verdict,
    },
    net::{
        bounded,
        run::{
            ATTEMPT_HEADER, AttemptStatus, HEAD_HEADER, INCARNATION_HEADER, LOAD_HEADER, Load,
            Probe, RunHead, VERDICT_HEADER,
        },
    },
    settings::entry::RetrySettings,
};
use bytes::Bytes;
use eyre::WrapErr as _;
use futures::{FutureExt as _, future::BoxFuture};
use reqwest::{Client, RequestBuilder, Response, header::HeaderMap};
use std::{fmt, fmt::Debug, time::Duration};

/// Longest wait for the answer to a status query, a cancellation or an
/// acknowledgement, and for the head of a resumed answer. After that the call
/// counts as ambiguous.
const AGENT_REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for the response head of a probe. After that the probe has
/// failed and no load is recorded.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections kept open to each agent. Further ones are closed when their
/// call ends.
const IDLE_CONNECTION_LIMIT: usize = 256;

/// What an attempt sends to its agent.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// Address of the agent, as host and port.
    pub agent: Name,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Description of what to run, sent as a header.
    pub head: RunHead,
    /// Body for the backend server.
    pub body: Bytes,
    /// Longest wait for the head of the agent's answer.
    pub timeout: Duration,
}

/// An answer whose HTTP head has arrived from the agent.
#[derive(Debug)]
pub struct AnswerStream {
    /// The agent's incarnation, if the answer states it.
    pub incarnation: Option<Incarnation>,
    /// The agent's load, if the answer states it.
    pub load: Option<Load>,
    /// Reader of the answer's frames.
    pub frames: FrameReader,
}

/// Why a call to an agent failed.
#[derive(Clone, Debug, PartialEq)]
pub enum CallError {
    /// No connection was made, so the agent saw nothing.
    NotSent(String),
    /// The agent refused the call.
    Rejected(Box<Rejection>),
    /// The agent may have seen the call and may have run the attempt.
    Ambiguous(String),
}

/// A refusal by an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// HTTP status of the refusal.
    pub status: u16,
    /// Whether the attempt ran, according to the agent; `Unknown` if the
    /// refusal does not state it.
    pub verdict: Verdict,
    /// The agent's load, if the answer states it.
    pub load: Option<Load>,
    /// The agent's incarnation, if the answer states it.
    pub incarnation: Option<Incarnation>,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "nothing was sent: {reason}"),
            Self::Rejected(r) => write!(f, "the agent refused with {} ({})", r.status, r.verdict),
            Self::Ambiguous(reason) => write!(f, "the outcome is open: {reason}"),
        }
    }
}

impl std::error::Error for CallError {}

impl CallError {
    /// Returns whether the error proves that the attempt did not run and never
    /// will.
    #[must_use]
    pub fn proves_not_run(&self) -> bool {
        match self {
            Self::NotSent(_) => true,
            Self::Rejected(rejection) => rejection.verdict == Verdict::NotRun,
            Self::Ambiguous(_) => false,
        }
    }
}

/// An agent's answer to a status query for an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatusReply {
    /// Incarnation of the agent that answered, if the answer states it.
    pub incarnation: Option<Incarnation>,
    /// What the agent knows of the attempt.
    pub status: AttemptStatus,
}

/// The agents, as an entry calls them.
pub trait Agents: Debug + Send + Sync {
    /// Sends an attempt and waits for the head of its answer.
    fn run(&self, call: AttemptRequest) -> BoxFuture<'_, Result<AnswerStream, CallError>>;

    /// Fetches the frames of an attempt's answer from a byte offset of its
    /// body.
    fn resume(
        &self,
        agent: Name,
        attempt: AttemptId,
        from: u64,
    ) -> BoxFuture<'_, Result<AnswerStream, CallError>>;

    /// Asks for the status of an attempt. An agent that has not seen the
    /// attempt records a tombstone, which rejects it permanently.
    fn query_status(
        &self,
        agent: Name,
        attempt: AttemptId,
    ) -> BoxFuture<'_, Result<StatusReply, CallError>>;

    /// Cancels an attempt whose answer is no longer needed. The message is not
    /// sent again if it is lost.
    fn cancel(&self, agent: Name, attempt: AttemptId) -> BoxFuture<'_, ()>;

    /// Acknowledges that the bill of an attempt is committed, so that the agent
    /// may delete its usage record. The message is not sent again if it is lost.
    fn acknowledge_bill(&self, agent: Name, attempt: AttemptId) -> BoxFuture<'_, ()>;

    /// Reads an agent's load and readiness.
    fn probe(&self, agent: Name) -> BoxFuture<'_, Result<Probe, CallError>>;
}

/// The agents over HTTP.
#[derive(Clone, Debug)]
pub struct HttpAgents {
    client: Client,
    idle_timeout: Duration,
}

impl HttpAgents {
    /// Builds an HTTP client without proxies, redirects and retries, because
    /// the entry itself decides on each retry.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub fn new(settings: &RetrySettings) -> eyre::Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(settings.connect_timeout.0)
            .pool_max_idle_per_host(IDLE_CONNECTION_LIMIT)
            .tcp_nodelay(true)
            .build()
            .wrap_err("failed to build the HTTP client")?;
        let idle_timeout = settings.idle_timeout.0;
        Ok(Self {
            client,
            idle_timeout,
        })
    }

    async fn open(
        &self,
        request: RequestBuilder,
        attempt: AttemptId,
        wait: Duration,
    ) -> Result<AnswerStream, CallError> {
        let response = send(request, Some(attempt), wait).await?;
        let headers = response.headers();
        let incarnation = incarnation_of(headers);
        let load = load_of(headers);
        Ok(AnswerStream {
            incarnation,
            load,
            frames: FrameReader::new(response.bytes_stream(), self.idle_timeout),
        })
    }

    async fn notify(&self, agent: Name, attempt: AttemptId, verb: &str) {
        let url = format!("http://{agent}/attempts/{attempt}/{verb}");
        // A lost message needs no retry: both messages only speed up what the
        // agent does later on its own.
        let _ignored = send(self.client.post(url), Some(attempt), AGENT_REPLY_TIMEOUT).await;
    }
}

impl Agents for HttpAgents {
    fn run(&self, call: AttemptRequest) -> BoxFuture<'_, Result<AnswerStream, CallError>> {
        async move {
            let head =
                serde_json::to_string(&call.head).expect("a run head always encodes as JSON");
            let request = self
                .client
                .post(format!("http://{}/run", call.agent))
                .header(ATTEMPT_HEADER, call.attempt.to_string())
                .header(HEAD_HEADER, head)
                .body(call.body);
            self.open(request, call.attempt, call.timeout).await
        }
        .boxed()
    }

    fn resume(
        &self,
        agent: Name,
        attempt: AttemptId,
        from: u64,
    ) -> BoxFuture<'_, Result<AnswerStream, CallError>> {
        async move {
            let url = format!("http://{agent}/attempts/{attempt}?from={from}");
            self.open(self.client.get(url), attempt, AGENT_REPLY_TIMEOUT)
                .await
        }
        .boxed()
    }

    fn query_status(
        &self,
        agent: Name,
        attempt: AttemptId,
    ) -> BoxFuture<'_, Result<StatusReply, CallError>> {
        async move {
            let url = format!("http://{agent}/attempts/{attempt}/ask");
            let response = send(self.client.post(url), Some(attempt), AGENT_REPLY_TIMEOUT).await?;
            let incarnation = incarnation_of(response.headers());
            let status = read_json(response).await?;
            Ok(StatusReply {
                incarnation,
                status,
            })
        }
        .boxed()
    }

    fn cancel(&self, agent: Name, attempt: AttemptId) -> BoxFuture<'_, ()> {
        self.notify(agent, attempt, "cancel").boxed()
    }

    fn acknowledge_bill(&self, agent: Name, attempt: AttemptId) -> BoxFuture<'_, ()> {
        self.notify(agent, attempt, "billed").boxed()
    }

    fn probe(&self, agent: Name) -> BoxFuture<'_, Result<Probe, CallError>> {
        async move {
            let request = self.client.get(format!("http://{agent}/probe"));
            read_json(send(request, None, PROBE_TIMEOUT).await?).await
        }
        .boxed()
    }
}

/// Sends a call that concerns an attempt, or the agent itself.
async fn send(
    request: RequestBuilder,
    attempt: Option<AttemptId>,
    wait: Duration,
) -> Result<Response, CallError> {
    let sent = tokio::time::timeout(wait, request.send()).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.is_connect() => {
            return Err(CallError::NotSent(format!("{error:?}")));
        }
        Ok(Err(error)) => return Err(CallError::Ambiguous(error.to_string())),
        Err(_elapsed) => return Err(CallError::Ambiguous("no answer in time".to_owned())),
    };
    if attempt.is_some_and(|attempt| names_another(response.headers(), attempt)) {
        let reason = "the agent's answer names another attempt";
        return Err(CallError::Ambiguous(reason.to_owned()));
    }
    if response.status().is_success() {
        return Ok(response);
    }
    Err(rejection(&response))
}

/// Returns whether an answer belongs to another attempt. An agent of an earlier version names
/// none.
fn names_another(headers: &HeaderMap, attempt: AttemptId) -> bool {
    let named = headers.get(ATTEMPT_HEADER);
    named.is_some_and(|named| named.as_bytes() != attempt.to_string().as_bytes())
}

fn rejection(response: &Response) -> CallError {
    let headers = response.headers();
    let word = headers.get(VERDICT_HEADER).and_then(|v| v.to_str().ok());
    // The agent states a verdict in each refusal that it decides. A refusal
    // without one proves nothing about the attempt.
    let verdict = word.and_then(Verdict::parse).unwrap_or(Verdict::Unknown);
    CallError::Rejected(Box::new(Rejection {
        status: response.status().as_u16(),
        verdict,
        load: load_of(headers),
        incarnation: incarnation_of(headers),
    }))
}

async fn read_json<T: serde::de::DeserializeOwned>(response: Response) -> Result<T, CallError> {
    let read = tokio::time::timeout(AGENT_REPLY_TIMEOUT, bounded::read_json(response)).await;
    match read {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(error)) => Err(CallError::Ambiguous(format!("{error:#}"))),
        Err(_elapsed) => Err(CallError::Ambiguous("no answer in time".to_owned())),
    }
}

fn incarnation_of(headers: &HeaderMap) -> Option<Incarnation> {
    let text = headers.get(INCARNATION_HEADER)?.to_str().ok()?;
    u64::from_str_radix(text, 16).ok().map(Incarnation)
}

fn load_of(headers: &HeaderMap) -> Option<Load> {
    let text = headers.get(LOAD_HEADER)?.to_str().ok()?;
    serde_json::from_str(text).ok()
}
