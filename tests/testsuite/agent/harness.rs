//! Test harness: an agent in the test's process, with a stand-in engine.

use super::{
    fixtures::{head, version},
    guard::{BACKEND, config},
};
use cardamomtally::{
    agent::{self, Dependencies, external::UnlimitedWeights, http_engine::HttpEngine},
    core::claim::{ClaimOp, ClaimReply, ClaimStore},
    daemon::Context,
    lease::{FixedLease, Lease, LeasedConfig},
    ledger::{local::LocalStore, machine::Ledger},
    net::{
        codec,
        run::{ATTEMPT_HEADER, Frame, HEAD_HEADER, RunHead, Target, VERDICT_HEADER},
    },
    prelude::*,
    replica::memory::MemLog,
    settings::AgentSettings,
};
use cardamomtally_standin::{Engine, EngineOptions};
use metrics_exporter_prometheus::PrometheusBuilder;
use serde_json::{Value, json};

/// The version that the engine serves.
pub const VERSION: &str = "a@1";

/// Maximum time to wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// An agent with its engine and its ledger.
pub struct TestAgent {
    pub engine: Engine,
    pub lease: Arc<FixedLease>,
    pub ledger: Arc<LocalStore>,
    pub incarnation: Incarnation,
    addr: String,
    client: reqwest::Client,
}

/// Result of a `POST /run`.
#[derive(Debug, Default)]
pub struct RunResult {
    pub status: u16,
    pub verdict: Option<String>,
    pub retry_after: bool,
    pub frames: Vec<Frame>,
}

impl RunResult {
    /// Returns the body if the answer is complete.
    pub fn complete_body(&self) -> Option<String> {
        match self.frames.last() {
            Some(Frame::End { .. }) => Some(self.body()),
            _ => None,
        }
    }

    /// Returns the body bytes that the agent forwarded.
    pub fn body(&self) -> String {
        let data = self.frames.iter().filter_map(|frame| match frame {
            Frame::Data { bytes, .. } => Some(bytes.as_slice()),
            _ => None,
        });
        String::from_utf8_lossy(&data.collect::<Vec<_>>().concat()).into_owned()
    }

    /// Returns the reason if the answer failed.
    pub fn failure(&self) -> Option<String> {
        match self.frames.last() {
            Some(Frame::Failed { reason, .. }) => Some(reason.to_string()),
            _ => None,
        }
    }
}

/// Returns the options of an engine that serves [`VERSION`].
pub fn options() -> EngineOptions {
    EngineOptions {
        versions: vec![VERSION.to_owned()],
        ..EngineOptions::default()
    }
}

/// Starts an agent with an engine, and waits until the agent is ready. `extra` is
/// appended to the settings.
pub async fn start_agent(options: EngineOptions, extra: &str) -> TestAgent {
    let engine = Engine::start(options).expect("the engine starts");
    let text = format!(
        "[process]\nname = \"{BACKEND}\"\ndata_centre = \"glasgow\"\n[control]\n\
         [backend]\nurl = \"http://{}\"\n{extra}",
        engine.addr()
    );
    let settings: AgentSettings = toml::from_str(&text).expect("the settings are valid");
    let metrics = PrometheusBuilder::new().build_recorder().handle();
    let context = Context::new(
        &settings.process,
        &settings.log,
        &settings.timeline,
        metrics,
    )
    .expect("the context is built");
    let lease = Arc::new(FixedLease::default());
    let config = config();
    lease.set(LeasedConfig {
        snapshot: Arc::new(Snapshot::compile(&config)),
        config: Arc::new(config),
        until: Mono(u64::MAX),
    });
    let log = MemLog::default();
    log.add(GroupId(1), Box::new(Ledger::default()));
    let ledger = Arc::new(LocalStore::new(Arc::new(log), 1));
    let incarnation = Incarnation::random();
    let idle = settings.backend.idle_timeout.0;
    let dependencies = Dependencies {
        engine: Arc::new(
            HttpEngine::new(&settings.backend.url, idle).expect("the engine adapter is built"),
        ),
        lease: Arc::clone(&lease) as Arc<dyn Lease>,
        claims: Arc::clone(&ledger) as Arc<dyn ClaimStore>,
        weights: Arc::new(UnlimitedWeights),
        platform: None,
        incarnation,
    };
    let http = Arc::clone(&context.http_address);
    tokio::spawn(agent::serve(settings, context, dependencies));
    let client = agent::http_engine::client().expect("the HTTP client is built");
    let mut agent = TestAgent {
        engine,
        lease,
        ledger,
        incarnation,
        addr: String::new(),
        client,
    };
    until("the agent is bound", async || http.get().is_some()).await;
    agent.addr = http.get().expect("the HTTP listener is bound").to_string();
    until("the agent is ready", async || {
        agent.probe().await["ready"] == true
    })
    .await;
    agent
}

/// Waits for a condition. Panics after [`WAIT_TIMEOUT`].
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = std::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(
            std::time::Instant::now() < end,
            "timed out while waiting until {what}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the head of a repeatable call to [`VERSION`].
pub fn run_head() -> RunHead {
    RunHead {
        path: "/v1/chat/completions".into(),
        media: Some("application/json".into()),
        ..head(Target::Version(version(VERSION)))
    }
}

/// Returns the body of a streamed chat completion.
pub fn chat(prompt: &str, tokens: u32) -> String {
    json!({
        "model": VERSION,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": true,
    })
    .to_string()
}

impl TestAgent {
    /// Sends `POST /run` and reads the answer to its end.
    pub async fn run(&self, attempt: AttemptId, head: &RunHead, body: String) -> RunResult {
        collect(self.start(attempt, head, body).await).await
    }

    /// Sends `POST /run` and returns the response without reading its body.
    pub async fn start(
        &self,
        attempt: AttemptId,
        head: &RunHead,
        body: String,
    ) -> reqwest::Response {
        self.client
            .post(format!("http://{}/run", self.addr))
            .header(ATTEMPT_HEADER, attempt.to_string())
            .header(
                HEAD_HEADER,
                serde_json::to_string(head).expect("the head encodes"),
            )
            .body(body)
            .send()
            .await
            .expect("the agent answers")
    }

    /// Resumes an answer at an offset.
    pub async fn resume(&self, attempt: AttemptId, from: u64) -> RunResult {
        let url = format!("http://{}/attempts/{attempt}?from={from}", self.addr);
        let response = self.client.get(url).send().await;
        collect(response.expect("the agent answers")).await
    }

    /// Sends `POST /attempts/ATTEMPT/ACTION` and returns the body.
    pub async fn post_action(&self, attempt: AttemptId, action: &str) -> String {
        let url = format!("http://{}/attempts/{attempt}/{action}", self.addr);
        let response = self.client.post(url).send().await;
        let text = response.expect("the agent answers").text().await;
        text.expect("the body is read")
    }

    /// Returns the answer to `GET /probe`.
    pub async fn probe(&self) -> Value {
        let url = format!("http://{}/probe", self.addr);
        let response = self.client.get(url).send().await;
        response
            .expect("the agent answers")
            .json()
            .await
            .expect("the probe decodes")
    }

    /// Returns the number of billed requests.
    pub async fn bills(&self) -> u64 {
        match self.ledger.apply(ClaimOp::Bills).await {
            Ok(ClaimReply::Bills(sums)) => sums.iter().map(|sum| sum.requests).sum(),
            other => panic!("expected sums, got {other:?}"),
        }
    }
}

async fn collect(response: reqwest::Response) -> RunResult {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(ToOwned::to_owned)
    };
    let mut ran = RunResult {
        status: response.status().as_u16(),
        verdict: header(VERDICT_HEADER),
        retry_after: header("retry-after").is_some(),
        frames: Vec::new(),
    };
    let body = response.bytes().await.expect("the body is read");
    if ran.status != 200 {
        return ran;
    }
    let mut rest = body.as_ref();
    while rest.len() >= 4 {
        let (length, after) = rest.split_at(4);
        let length =
            u32::from_be_bytes(length.try_into().expect("the length prefix has four bytes"))
                as usize;
        let (frame, after) = after.split_at(length);
        ran.frames
            .push(codec::decode(frame).expect("the frame decodes"));
        rest = after;
    }
    ran
}
