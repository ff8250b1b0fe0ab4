//! HTTP client that plays the callers of the demo deployment.

use eyre::{WrapErr as _, bail};
use reqwest::{Client, RequestBuilder};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest time for one call, from connecting to the last byte. After it, the call
/// fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Last event of a complete streamed answer. A stream that ends without it was cut.
const LAST_EVENT: &str = "data: [DONE]\n\n";

/// Body of a chat request.
#[derive(Clone, Debug, Serialize)]
struct ChatRequest<'a> {
    model: &'a str,
    messages: [Message<'a>; 1],
    max_tokens: u32,
    stream: bool,
}

#[derive(Clone, Debug, Serialize)]
struct Message<'a> {
    role: &'a str,
    content: &'a str,
}

/// The part of a completion that names the model that answered.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
}

/// A caller that belongs to a workspace.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Client,
    key: String,
}

impl Caller {
    /// Builds a caller that authenticates with a workspace's bearer key.
    pub fn new(key: String) -> eyre::Result<Self> {
        let http = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .timeout(CALL_TIMEOUT)
            .build()
            .wrap_err("failed to build the HTTP client")?;
        Ok(Self { http, key })
    }

    /// Sends a chat request that is not streamed, and returns the model that answered.
    pub async fn chat(&self, entry: &str, model: &str, prompt: &str) -> eyre::Result<String> {
        let body = self.complete(entry, model, prompt, 8, false).await?;
        let answered: Completion =
            serde_json::from_str(&body).wrap_err("failed to decode the answer as a completion")?;
        Ok(answered.model)
    }

    /// Sends a streamed chat request for at most `tokens` tokens, and checks that the
    /// answer is complete. Returns its number of events.
    pub async fn stream(
        &self,
        entry: &str,
        model: &str,
        prompt: &str,
        tokens: u32,
    ) -> eyre::Result<usize> {
        let body = self.complete(entry, model, prompt, tokens, true).await?;
        if !body.ends_with(LAST_EVENT) {
            bail!("the stream ended without `[DONE]`, so its answer is incomplete");
        }
        Ok(body.matches("data: ").count())
    }

    /// Submits a job with an idempotency key, and returns the body of the answer.
    pub async fn submit(&self, url: &str, key: &str, job: &str) -> eyre::Result<String> {
        let request = self.http.post(url).header("Idempotency-Key", key);
        self.send(request.body(job.to_owned())).await
    }

    /// Sends a GET request, and returns the body of the answer.
    pub async fn get(&self, url: &str) -> eyre::Result<String> {
        self.send(self.http.get(url)).await
    }

    async fn complete(
        &self,
        entry: &str,
        model: &str,
        prompt: &str,
        tokens: u32,
        stream: bool,
    ) -> eyre::Result<String> {
        let chat = ChatRequest {
            model,
            messages: [Message {
                role: "user",
                content: prompt,
            }],
            max_tokens: tokens,
            stream,
        };
        let url = format!("http://{entry}/v1/chat/completions");
        self.send(self.http.post(url).json(&chat)).await
    }

    async fn send(&self, request: RequestBuilder) -> eyre::Result<String> {
        let response = request.bearer_auth(&self.key).send().await?;
        let status = response.status();
        let body = response.text().await?;
        if !status.is_success() {
            bail!("the request failed with status {status}: {body}");
        }
        Ok(body)
    }
}
