//! Tests of the HTTP interface for callers: valid and invalid input, streams,
//! sessions.

use super::{
    fakes::{FakeAgents, Site},
    small::{SECRET, config, leased_config, settings},
};
use cardamomtally::{
    daemon::http,
    entry::{api::CallerApi, app::App, fault::InjectedFault},
    prelude::*,
    settings::{EntrySettings, units::Size},
};
use rocket::{
    http::{ContentType, Header, Method, Status},
    local::asynchronous::{Client, LocalResponse},
};
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";

struct Caller {
    client: Client,
    app: Arc<App>,
    site: Site,
}

impl Caller {
    async fn new() -> Self {
        Self::with(&settings("e1")).await
    }

    async fn with(settings: &EntrySettings) -> Self {
        let site = Site::new(1, 0.0);
        let app = site.entry_with(settings, InjectedFault::None);
        let rocket = http::build(&app.settings.http, &app.context)
            .unwrap()
            .mount("/", CallerApi(Arc::clone(&app)).routes());
        let client = Client::untracked(rocket).await.unwrap();
        Self { client, app, site }
    }

    fn agents(&self) -> &FakeAgents {
        &self.site.agents
    }

    async fn send(&self, method: Method, path: &str, key: &str, body: &[u8]) -> Answer {
        let request = self
            .client
            .req(method, path.to_owned())
            .header(Header::new("Authorization", format!("Bearer {key}")))
            .header(ContentType::JSON)
            .body(body);
        Answer::of(request.dispatch().await).await
    }

    async fn post(&self, path: &str, body: &Value) -> Answer {
        let body = body.to_string();
        self.send(Method::Post, path, SECRET, body.as_bytes()).await
    }
}

struct Answer {
    status: Status,
    verdict: Option<String>,
    request: Option<String>,
    retry: Option<String>,
    body: String,
}

impl Answer {
    async fn of(response: LocalResponse<'_>) -> Self {
        let header = |name: &str| response.headers().get_one(name).map(str::to_owned);
        let verdict = header("X-Cardamomtally-Verdict");
        let request = header("X-Request-Id");
        let retry = header("Retry-After");
        Self {
            status: response.status(),
            verdict,
            request,
            retry,
            body: response.into_string().await.unwrap_or_default(),
        }
    }

    fn refused(&self) -> (u16, &str) {
        (self.status.code, self.verdict.as_deref().unwrap_or("none"))
    }
}

fn chat(model: &str, stream: bool) -> Value {
    json!({
        "model": model,
        "stream": stream,
        "messages": [{ "role": "user", "content": "hello" }],
    })
}

#[tokio::test]
async fn a_completion_is_answered_with_its_request_id() {
    let caller = Caller::new().await;

    let answer = caller.post(CHAT, &chat("small@1", false)).await;

    assert_eq!(answer.status.code, 201);
    let request: RequestId = answer.request.unwrap().parse().unwrap();
    assert_eq!(answer.body, format!("done {request}"));
    assert_eq!(caller.site.ledger.bills().await, 1);
}

#[tokio::test]
async fn bad_bodies_are_refused_and_nothing_runs() {
    let caller = Caller::new().await;
    let bodies: [&[u8]; 7] = [
        b"",
        b"{",
        b"[1]",
        b"\xff\xfe{}",
        b"{\"model\":7,\"messages\":[]}",
        b"{\"model\":\"small@1\",\"stream\":\"yes\",\"messages\":[]}",
        b"{\"model\":\"small@1\"}",
    ];
    for body in bodies {
        let answer = caller.send(Method::Post, CHAT, SECRET, body).await;

        assert_eq!(answer.refused(), (400, "not-run"), "{body:?}");
    }
    assert_eq!(caller.agents().all_runs(), 0);
}

#[tokio::test]
async fn a_body_above_the_limit_is_refused() {
    let mut small = settings("e1");
    small.http.body_limit = Size(64);
    let caller = Caller::with(&small).await;

    let answer = caller.send(Method::Post, CHAT, SECRET, &[b'x'; 65]).await;

    assert_eq!(answer.refused(), (413, "not-run"));
    assert_eq!(caller.agents().all_runs(), 0);
}

#[tokio::test]
async fn wrong_keys_and_paths_are_refused() {
    let caller = Caller::new().await;
    let body = chat("small@1", false).to_string();
    let body = body.as_bytes();

    let key = caller.send(Method::Post, CHAT, "wrong", body).await;
    let path = caller.send(Method::Post, "/nothing", SECRET, body).await;
    let route = caller
        .send(Method::Delete, "/queue/jobs", SECRET, b"")
        .await;
    let method = caller.send(Method::Get, CHAT, SECRET, b"").await;
    let parent = caller
        .send(Method::Get, "/queue/jobs/../x", SECRET, b"")
        .await;
    let model = caller.post(CHAT, &chat("other@1", false)).await;

    assert_eq!(key.refused(), (401, "not-run"));
    assert_eq!(path.refused(), (404, "not-run"));
    assert_eq!(route.refused(), (404, "not-run"));
    assert_eq!(method.refused(), (405, "not-run"));
    assert_eq!(parent.refused(), (400, "not-run"));
    assert_eq!(model.refused(), (404, "not-run"));
    assert_eq!(caller.agents().all_runs(), 0);
}

#[tokio::test]
async fn models_are_those_of_the_workspace() {
    let caller = Caller::new().await;

    let answer = caller.send(Method::Get, "/v1/models", SECRET, b"").await;

    let list: Value = serde_json::from_str(&answer.body).unwrap();
    let names: Vec<_> = list["data"].as_array().unwrap().iter().collect();
    assert_eq!(names.len(), 2);
    assert_eq!(list["object"], "list");
}

#[tokio::test]
async fn an_entry_that_is_stopping_refuses() {
    let caller = Caller::new().await;
    caller.app.context.requests.close();

    let answer = caller.post(CHAT, &chat("small@1", false)).await;

    assert_eq!(answer.refused(), (503, "not-run"));
    assert!(answer.retry.is_some());
    assert_eq!(caller.agents().all_runs(), 0);
}

#[tokio::test]
async fn an_entry_past_its_lease_refuses_at_once() {
    let caller = Caller::new().await;
    let mut expired = leased_config(&config());
    expired.until = Mono(0);
    caller.site.lease.set(expired);

    let answer = caller.post(CHAT, &chat("auto", false)).await;

    assert_eq!(answer.refused(), (503, "not-run"));
    assert!(answer.retry.is_some());
    assert_eq!(caller.agents().all_runs(), 0);
}

#[tokio::test]
async fn a_quarantined_request_is_refused() {
    let caller = Caller::new().await;
    let body = chat("small@1", false).to_string();
    let digest = Digest::of_parts(&[b"POST", CHAT.as_bytes(), body.as_bytes()]);
    let mut config = config();
    config.suspects = [(
        digest,
        cardamomtally::core::config::Suspect {
            crashes: Vec::new(),
            quarantined: true,
        },
    )]
    .into();
    caller.site.lease.set(leased_config(&config));

    let answer = caller
        .send(Method::Post, CHAT, SECRET, body.as_bytes())
        .await;

    assert_eq!(answer.refused(), (403, "not-run"));
    assert_eq!(caller.agents().all_runs(), 0);
}

#[tokio::test]
async fn a_complete_stream_ends_with_its_last_event_after_the_bill() {
    let caller = Caller::new().await;
    caller
        .agents()
        .answer_with("data: a\n\ndata: b\n\ndata: [DONE]\n\n", true);

    let answer = caller.post(CHAT, &chat("small@1", true)).await;

    assert_eq!(answer.body, "data: a\n\ndata: b\n\ndata: [DONE]\n\n");
    assert_eq!(caller.site.ledger.bills().await, 1);
}

#[tokio::test]
async fn a_broken_stream_ends_with_an_error_event() {
    let caller = Caller::new().await;
    caller
        .agents()
        .answer_with("data: a\n\ndata: bbbbbbbbbbbb\n\ndata: [DONE]\n\n", false);

    let answer = caller.post(CHAT, &chat("small@1", true)).await;

    assert!(answer.body.starts_with("data: a\n\nevent: error\ndata: {"));
    assert!(answer.body.contains("\"verdict\":\"unknown\""));
    assert!(!answer.body.contains("[DONE]"));
    assert_eq!(caller.site.ledger.bills().await, 0);
}

#[tokio::test]
async fn an_answer_that_breaks_off_is_never_refused_as_not_run() {
    let caller = Caller::new().await;
    caller.agents().answer_with("half an answer", false);

    let named = caller.post(CHAT, &chat("small@1", false)).await;
    let auto = caller.post(CHAT, &chat("auto", false)).await;

    assert_eq!(named.verdict.as_deref(), Some("unknown"));
    assert_eq!(auto.verdict.as_deref(), Some("unknown"));
    assert!(caller.agents().all_runs() > 1);
}

#[tokio::test]
async fn a_session_keeps_its_version_and_moves_once_when_it_is_withdrawn() {
    let caller = Caller::new().await;
    let body = chat("auto", false).to_string();
    let send = async || {
        let request = caller.client.post(CHAT).body(&body);
        let request = request
            .header(Header::new("Authorization", format!("Bearer {SECRET}")))
            .header(Header::new("X-Session-Id", "s1"));
        let response = request.dispatch().await;
        assert_eq!(response.status().code, 201);
        caller.agents().last_target()
    };
    let first = send().await;
    let second = send().await;
    let mut config = config();
    config.index = Index(2);
    let press = config.partners.get_mut("press").unwrap();
    press.versions.get_mut("small@1").unwrap().stage =
        cardamomtally::core::config::Stage::Withdrawn;
    caller.site.lease.set(leased_config(&config));
    let moved = send().await;
    restore_version(&caller);
    let after = send().await;

    assert_eq!((first.as_str(), second.as_str()), ("small@1", "small@1"));
    assert_eq!((moved.as_str(), after.as_str()), ("large@1", "large@1"));
}

/// Puts the withdrawn version back in service.
fn restore_version(caller: &Caller) {
    let mut config = config();
    config.index = Index(3);
    caller.site.lease.set(leased_config(&config));
}
