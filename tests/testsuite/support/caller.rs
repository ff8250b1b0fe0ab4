//! Callers of the HTTP interfaces.

use futures::StreamExt as _;
use reqwest::{Client, Method};
use serde_json::{Value, json};
use std::{
    sync::OnceLock,
    time::{Duration, Instant},
};
use tokio::runtime::Runtime;

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_mins(1);

/// Runtime of all callers of this test process.
fn runtime() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime")
    })
}

fn client() -> &'static Client {
    static CLIENT: OnceLock<Client> = OnceLock::new();
    CLIENT.get_or_init(|| {
        Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .expect("a client")
    })
}

/// An answer, as far as it came.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// HTTP status; 0 if no answer came.
    pub status: u16,
    /// Header lines in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection failed before the body's end.
    pub broken: bool,
    /// Time from sending to the first byte of the body.
    pub first_byte: Duration,
}

impl Reply {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the verdict of a refusal.
    pub fn verdict(&self) -> Option<&str> {
        self.header("x-cardamomtally-verdict")
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Tells whether it is a whole answer with status 200.
    pub fn ok(&self) -> bool {
        self.status == 200 && !self.broken
    }

    /// Returns the generated text of a plain or streamed completion. For a
    /// stream, only if it ends with its terminal marker.
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

/// Sends one call and waits for its answer.
pub fn send(method: &str, url: &str, headers: &[(&str, &str)], body: Vec<u8>) -> Reply {
    runtime().block_on(exchange(method, url, headers, body))
}

async fn exchange(method: &str, url: &str, headers: &[(&str, &str)], body: Vec<u8>) -> Reply {
    let method = Method::from_bytes(method.as_bytes()).expect("a method");
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

/// Returns the body of a chat request.
pub fn chat_body(model: &str, prompt: &str, tokens: u32, stream: bool) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    })
}

/// Returns the text that the stand-in engine answers to a prompt's first word.
pub fn expected(tag: &str, tokens: u32) -> String {
    let words: Vec<_> = (0..tokens).map(|n| format!("{tag}.{n} ")).collect();
    words.concat()
}

/// A workspace's caller at one entry.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The entry's HTTP address.
    pub entry: String,
    /// The workspace's bearer key.
    pub key: String,
    /// The session header, if any.
    pub session: Option<String>,
}

impl Caller {
    /// Builds the caller of a workspace.
    pub fn new(entry: &str, workspace: &str) -> Self {
        Self {
            entry: entry.to_owned(),
            key: format!("{workspace}-key"),
            session: None,
        }
    }

    /// Keeps to a session.
    pub fn in_session(mut self, session: &str) -> Self {
        self.session = Some(session.to_owned());
        self
    }

    /// Sends any call.
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

    /// Sends a chat request.
    pub fn chat(&self, model: &str, prompt: &str, tokens: u32) -> Reply {
        let body = chat_body(model, prompt, tokens, false).to_string();
        self.call("POST", "/v1/chat/completions", &[], body.into_bytes())
    }

    /// Sends a chat request whose answer is streamed.
    pub fn stream(&self, model: &str, prompt: &str, tokens: u32) -> Reply {
        let body = chat_body(model, prompt, tokens, true).to_string();
        self.call("POST", "/v1/chat/completions", &[], body.into_bytes())
    }

    /// Submits a job under an idempotency key.
    pub fn submit(&self, key: &str, job: &str) -> Reply {
        let headers = [("idempotency-key", key)];
        self.call("POST", "/queue/jobs", &headers, job.as_bytes().to_vec())
    }
}
