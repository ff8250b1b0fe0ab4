//! HTTP clients that call entries and control members as users do.

use futures::StreamExt as _;
use reqwest::{Client, Method};
use serde_json::{Value, json};
use std::{
    sync::OnceLock,
    time::{Duration, Instant},
};
use tokio::runtime::Runtime;

/// Limit for one call, from sending the request to the end of the body. A call
/// that exceeds it counts as broken.
const CALL_TIMEOUT: Duration = Duration::from_mins(1);

/// Returns the runtime that all callers of this test process share.
fn runtime() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("the runtime can be built")
    })
}

fn client() -> &'static Client {
    static CLIENT: OnceLock<Client> = OnceLock::new();
    CLIENT.get_or_init(|| {
        Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .expect("the HTTP client can be built")
    })
}

/// The answer to a call, or the part of it that was received.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// HTTP status; 0 if the call failed before a response head was received.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The bytes of the body that were received.
    pub body: Vec<u8>,
    /// Whether the call failed before the end of the body, or had no answer.
    pub broken: bool,
    /// Time from sending the request to the first chunk of the body.
    pub first_byte: Duration,
}

impl Reply {
    /// Returns the value of the first header with this name (in lower case).
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the verdict of a refusal: whether the request ran, did not run,
    /// or may have run.
    pub fn verdict(&self) -> Option<&str> {
        self.header("x-cardamomtally-verdict")
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, or null if the body is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns whether this is a complete answer with status 200.
    pub fn ok(&self) -> bool {
        self.status == 200 && !self.broken
    }

    /// Returns the generated text of a plain or streamed completion, or `None`
    /// if the answer is incomplete. A stream is complete only if it ends with its
    /// terminal marker, `data: [DONE]`.
    pub fn content(&self) -> Option<String> {
        if !self.ok() {
            return None;
        }
        let text = self.text();
        if !text.starts_with("data:") {
            let content = &self.json()["choices"][0]["message"]["content"];
            return content.as_str().map(ToOwned::to_owned);
        }
        let events: Vec<_> = text.split("\n\n").filter(|e| !e.is_empty()).collect();
        if events.last() != Some(&"data: [DONE]") {
            return None;
        }
        let deltas = events.iter().filter_map(|event| {
            let event: Value = serde_json::from_str(event.strip_prefix("data: ")?).ok()?;
            let delta = event["choices"][0]["delta"]["content"].as_str();
            delta.map(ToOwned::to_owned)
        });
        Some(deltas.collect())
    }
}

/// Sends one HTTP request and waits for the end of its answer.
pub fn send(method: &str, url: &str, headers: &[(&str, &str)], body: Vec<u8>) -> Reply {
    runtime().block_on(exchange(method, url, headers, body))
}

async fn exchange(method: &str, url: &str, headers: &[(&str, &str)], body: Vec<u8>) -> Reply {
    let method = Method::from_bytes(method.as_bytes()).expect("the method name is valid");
    let mut request = client()
        .request(method, url)
        .timeout(CALL_TIMEOUT)
        .body(body);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let sent = Instant::now();
    let Ok(response) = request.send().await else {
        return Reply {
            broken: true,
            ..Reply::default()
        };
    };
    let mut reply = Reply {
        status: response.status().as_u16(),
        headers: header_lines(response.headers()),
        ..Reply::default()
    };
    let mut stream = response.bytes_stream();
    while let Some(chunk) = stream.next().await {
        if reply.body.is_empty() {
            reply.first_byte = sent.elapsed();
        }
        match chunk {
            Ok(bytes) => reply.body.extend_from_slice(&bytes),
            Err(_error) => {
                reply.broken = true;
                break;
            }
        }
    }
    reply
}

fn header_lines(headers: &reqwest::header::HeaderMap) -> Vec<(String, String)> {
    let text = |value: &reqwest::header::HeaderValue| {
        String::from_utf8_lossy(value.as_bytes()).into_owned()
    };
    headers
        .iter()
        .map(|(name, value)| (name.to_string(), text(value)))
        .collect()
}

/// Returns the JSON body of a chat completion request of one user message.
pub fn chat_body(model: &str, prompt: &str, tokens: u32, stream: bool) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    })
}

/// Returns the text that the stand-in engine generates for a prompt that begins
/// with the word `tag`.
pub fn expected(tag: &str, tokens: u32) -> String {
    let words: Vec<_> = (0..tokens).map(|n| format!("{tag}.{n} ")).collect();
    words.concat()
}

/// A client of one entry that authenticates as one workspace.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The entry's HTTP address.
    pub entry: String,
    /// The workspace's bearer key.
    pub key: String,
    /// Value of the session header that is sent with each request, if any.
    pub session: Option<String>,
}

impl Caller {
    /// Creates a client without a session. The key is the workspace's name
    /// followed by `-key`, as [`Ticket`](super::Ticket) writes it.
    pub fn new(entry: &str, workspace: &str) -> Self {
        Self {
            entry: entry.to_owned(),
            key: format!("{workspace}-key"),
            session: None,
        }
    }

    /// Sends all further requests in a session.
    pub fn in_session(mut self, session: &str) -> Self {
        self.session = Some(session.to_owned());
        self
    }

    /// Sends a request with the key, the session and further headers.
    pub fn call(&self, method: &str, path: &str, extra: &[(&str, &str)], body: Vec<u8>) -> Reply {
        let bearer = format!("Bearer {}", self.key);
        let mut headers = vec![
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
        ];
        headers.extend_from_slice(extra);
        if let Some(session) = &self.session {
            headers.push(("x-session-id", session));
        }
        send(
            method,
            &format!("http://{}{path}", self.entry),
            &headers,
            body,
        )
    }

    /// Sends a chat request whose answer comes as one JSON document.
    pub fn chat(&self, model: &str, prompt: &str, tokens: u32) -> Reply {
        let body = chat_body(model, prompt, tokens, false).to_string();
        self.call("POST", "/v1/chat/completions", &[], body.into_bytes())
    }

    /// Sends a chat request whose answer is streamed.
    pub fn stream(&self, model: &str, prompt: &str, tokens: u32) -> Reply {
        let body = chat_body(model, prompt, tokens, true).to_string();
        self.call("POST", "/v1/chat/completions", &[], body.into_bytes())
    }

    /// Submits a job to the plain service under an idempotency key.
    pub fn submit(&self, key: &str, job: &str) -> Reply {
        let headers = [("idempotency-key", key)];
        self.call("POST", "/queue/jobs", &headers, job.as_bytes().to_vec())
    }
}
