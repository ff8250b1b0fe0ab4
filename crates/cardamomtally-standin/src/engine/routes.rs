//! The engine's HTTP interface: completions, load and health, cache events,
//! orders, and the control of injected faults.

use super::{
    AcceptedRequest, Counters, EngineFaults, GARBAGE_WORD, POISON_WORD, Shared,
    batch::{Answer, Job, Progress},
    cache::Event,
    orders::Order,
    prefix_hash, run_batch,
};
use bytes::Bytes;
use rand::Rng as _;
use rocket::{
    Build, Rocket, State, delete, get,
    http::{ContentType, Header, Status},
    post, put,
    request::{FromRequest, Outcome, Request},
    response::{self, Responder, Response, stream::ByteStream},
    routes,
    serde::json::Json,
};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{convert::Infallible, fmt::Write as _, io, sync::Arc, time::Instant};
use tokio::sync::mpsc::{self, UnboundedReceiver};

/// Maximum number of bytes of a prompt's first word that are repeated in the
/// answer's tokens; a longer word is cut.
const MAX_TAG_BYTES: usize = 48;

/// Number of bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Priority of a request without an `X-Priority` header.
const DEFAULT_PRIORITY: u8 = 5;

/// Maximum number of requests of which a record is kept; later ones are not
/// recorded.
const SERVED_LIMIT: usize = 1_000_000;

/// Builds the HTTP server of one incarnation.
pub fn build(config: rocket::Config, shared: &Arc<Shared>) -> Rocket<Build> {
    shared.begin_incarnation();
    let for_batch = Arc::clone(shared);
    let for_load = Arc::clone(shared);
    rocket::custom(config)
        .manage(Arc::clone(shared))
        .manage(LoadReport::default())
        .attach(rocket::fairing::AdHoc::on_liftoff("batch", move |rocket| {
            tokio::spawn(run_batch(for_batch));
            let report = rocket.state::<LoadReport>().cloned().unwrap_or_default();
            tokio::spawn(update_load(for_load, report));
            Box::pin(async {})
        }))
        .mount(
            "/",
            routes![
                chat, complete, resume, cancel, load, health, events, export, import, order,
                set_faults, served, counters
            ],
        )
}

/// The load report that `/load` returns. It is updated at an interval, as that of
/// a real engine lags behind.
#[derive(Clone, Debug, Default)]
struct LoadReport(Arc<std::sync::Mutex<Value>>);

/// Updates the load report each `load_lag`.
async fn update_load(shared: Arc<Shared>, report: LoadReport) {
    loop {
        let now = {
            let state = shared.lock();
            let (running, queued) = state.batch.load();
            json!({
                "incarnation": state.batch.incarnation,
                "running": running,
                "queued": queued,
                "cache_used": state.batch.cache.usage(&shared.options),
                "versions": state.orders.versions().collect::<Vec<_>>(),
            })
        };
        *report
            .0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = now;
        tokio::time::sleep(shared.options.load_lag).await;
    }
}

/// The headers of a completion request, or their defaults.
struct RequestHeaders {
    request: String,
    priority: u8,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RequestHeaders {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        let header = |name| request.headers().get_one(name);
        let id = header("X-Request-Id").map(ToOwned::to_owned);
        let priority = header("X-Priority").and_then(|text| text.parse().ok());
        Outcome::Success(Self {
            request: id.unwrap_or_else(|| format!("own-{:016x}", rand::rng().random::<u64>())),
            priority: priority.unwrap_or(DEFAULT_PRIORITY),
        })
    }
}

/// The fields of a completion request that the engine reads.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

/// Reply to a completion request.
pub(super) enum Reply {
    /// Status and message.
    Error(Status, String),
    /// Status, request id, content type and body, as an injected fault sets them.
    Text(Status, String, Box<ContentType>, String),
    /// Request id and body.
    Plain(String, String),
    /// Request id, answer, its progress, the number of the first token to send,
    /// and whether it is a chat.
    Stream(String, Answer, UnboundedReceiver<Progress>, u32, bool),
}

impl<'r> Responder<'r, 'r> for Reply {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        match self {
            Self::Error(status, text) => {
                let body = json!({ "error": { "message": text } }).to_string();
                Response::build()
                    .status(status)
                    .header(ContentType::JSON)
                    .sized_body(body.len(), io::Cursor::new(body))
                    .ok()
            }
            Self::Text(status, id, media, body) => Response::build()
                .status(status)
                .header(*media)
                .header(Header::new("X-Request-Id", id))
                .sized_body(body.len(), io::Cursor::new(body))
                .ok(),
            Self::Plain(id, body) => Response::build()
                .header(ContentType::JSON)
                .header(Header::new("X-Request-Id", id))
                .sized_body(body.len(), io::Cursor::new(body))
                .ok(),
            Self::Stream(id, answer, progress, from, chat) => {
                let stream = ByteStream(event_stream(answer, progress, from, chat));
                Response::build_from(stream.respond_to(request)?)
                    .header(ContentType::new("text", "event-stream"))
                    .header(Header::new("X-Request-Id", id))
                    .ok()
            }
        }
    }
}

#[post("/v1/chat/completions", data = "<body>")]
async fn chat(
    body: Json<CompletionBody>,
    headers: RequestHeaders,
    shared: &State<Arc<Shared>>,
) -> Reply {
    run(body.into_inner(), headers, shared, true).await
}

#[post("/v1/completions", data = "<body>")]
async fn complete(
    body: Json<CompletionBody>,
    headers: RequestHeaders,
    shared: &State<Arc<Shared>>,
) -> Reply {
    run(body.into_inner(), headers, shared, false).await
}

async fn run(body: CompletionBody, headers: RequestHeaders, shared: &Shared, chat: bool) -> Reply {
    let stream = body.stream;
    let started = enqueue(body, &headers, shared);
    if shared.lock().crashed {
        // The engine has crashed, so the host breaks this connection without an
        // answer.
        std::future::pending::<()>().await;
    }
    let (answer, mut progress) = match started {
        Ok(started) => started,
        Err(reply) => return reply,
    };
    if stream {
        return Reply::Stream(answer.id.clone(), answer, progress, 0, chat);
    }
    while let Some(now) = progress.recv().await {
        if now.ended {
            return Reply::Plain(answer.id.clone(), plain_body(&answer, chat));
        }
    }
    Reply::Error(
        Status::InternalServerError,
        "the request was cancelled".to_owned(),
    )
}

/// Puts a request into the batch's queue. Crashes the engine if that overloads it.
fn enqueue(
    body: CompletionBody,
    headers: &RequestHeaders,
    shared: &Shared,
) -> Result<(Answer, UnboundedReceiver<Progress>), Reply> {
    let mut guard = shared.lock();
    let state = &mut *guard;
    if state.crashed {
        return Err(Reply::Error(Status::ServiceUnavailable, "dying".to_owned()));
    }
    if !state.orders.serves(&body.model) {
        let text = format!("{} is not loaded", body.model);
        return Err(Reply::Error(Status::NotFound, text));
    }
    let prompt = body
        .messages
        .last()
        .map_or(body.prompt.as_str(), |last| &last.content);
    let mut answer = Answer {
        id: headers.request.clone(),
        tag: tag_of(prompt),
        model: body.model.clone(),
        prompt_tokens: prompt.len() as u64 / BYTES_PER_TOKEN + 1,
        total: body.max_tokens.unwrap_or(shared.options.tokens).max(1),
        truncated: false,
    };
    if state.served.len() < SERVED_LIMIT {
        state.served.push(AcceptedRequest {
            request: headers.request.clone(),
            model: body.model,
            tag: answer.tag.clone(),
            at: Instant::now(),
        });
    }
    state.counters.accepted += 1;
    inject_faults(&mut answer, &mut state.faults)?;
    let (sender, progress) = mpsc::unbounded_channel();
    let job = Job {
        request: headers.request.clone(),
        priority: headers.priority,
        prefix: prefix_hash(prompt),
        poison: prompt.contains(POISON_WORD),
        prefill_left: answer.prompt_tokens,
        answer: answer.clone(),
        progress: sender,
        generated: 0,
    };
    if state
        .batch
        .enqueue(job, &shared.options, &mut state.counters)
    {
        shared.work.notify_one();
        return Ok((answer, progress));
    }
    state.counters.overloads += 1;
    shared.crash(state, shared.options.restart_delay);
    Err(Reply::Error(
        Status::InternalServerError,
        "out of memory".to_owned(),
    ))
}

/// Applies the injected faults to an answer, and counts down those that are for a
/// number of answers.
fn inject_faults(answer: &mut Answer, faults: &mut EngineFaults) -> Result<(), Reply> {
    let bad = faults.bad.get(&answer.model).copied().unwrap_or_default();
    let mut rng = rand::rng();
    if rng.random_bool(bad.errors.clamp(0.0, 1.0)) {
        return Err(Reply::Error(
            Status::InternalServerError,
            "bad weights".to_owned(),
        ));
    }
    if rng.random_bool(bad.garbage.clamp(0.0, 1.0)) {
        GARBAGE_WORD.clone_into(&mut answer.tag);
    }
    if faults.crossed > 0 {
        faults.crossed -= 1;
        answer.id = format!("{:016x}-1", rng.random::<u64>());
    }
    if faults.truncated > 0 {
        faults.truncated -= 1;
        answer.truncated = true;
    }
    Ok(())
}

/// Returns the first word of a prompt, cut to [`MAX_TAG_BYTES`]. Only letters,
/// digits and hyphens are kept, because the word is written into JSON without
/// escapes.
fn tag_of(prompt: &str) -> String {
    let word = prompt.split_whitespace().next().unwrap_or("empty");
    let plain = |c: &char| c.is_ascii_alphanumeric() || *c == '-';
    word.chars().filter(plain).take(MAX_TAG_BYTES).collect()
}

/// Returns the text of an answer of `total` tokens with this tag.
pub(super) fn text_of(tag: &str, total: u32) -> String {
    (0..total).fold(String::new(), |mut text, n| {
        // Writing to a string cannot fail.
        let _ignored = write!(text, "{tag}.{n} ");
        text
    })
}

/// Returns the body of an answer that is not streamed.
fn plain_body(answer: &Answer, chat: bool) -> String {
    let text = text_of(&answer.tag, answer.total);
    let mut choice = json!({ "index": 0, "finish_reason": "stop" });
    if chat {
        choice["message"] = json!({ "role": "assistant", "content": text });
    } else {
        choice["text"] = Value::String(text);
    }
    let body = json!({
        "id": answer.id,
        "model": answer.model,
        "choices": [choice],
        "usage": usage(answer),
    });
    let mut body = body.to_string();
    if answer.truncated {
        body.truncate(body.len() / 2);
    }
    body
}

fn usage(answer: &Answer) -> Value {
    json!({ "prompt_tokens": answer.prompt_tokens, "completion_tokens": answer.total })
}

/// Streams an answer as server-sent events, from token number `from` on.
fn event_stream(
    answer: Answer,
    progress: UnboundedReceiver<Progress>,
    from: u32,
    chat: bool,
) -> impl futures::Stream<Item = Bytes> {
    let state = (answer, progress, from, false);
    futures::stream::unfold(
        state,
        move |(answer, mut progress, sent, done)| async move {
            if done {
                return None;
            }
            let now = progress.recv().await?;
            let mut text = String::new();
            for n in sent..now.generated {
                write_token(&mut text, &answer, n, chat);
            }
            if now.ended && !answer.truncated {
                write_end(&mut text, &answer, sent);
            }
            let sent = sent.max(now.generated);
            Some((Bytes::from(text), (answer, progress, sent, now.ended)))
        },
    )
}

/// Writes the event of token `n`.
fn write_token(text: &mut String, answer: &Answer, n: u32, chat: bool) {
    let Answer { id, tag, .. } = answer;
    // Writing to a string cannot fail.
    let _ignored = if chat {
        write!(
            text,
            "data: {{\"id\":\"{id}\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{tag}.{n} \"}}}}]}}\n\n"
        )
    } else {
        write!(
            text,
            "data: {{\"id\":\"{id}\",\"choices\":[{{\"index\":0,\"text\":\"{tag}.{n} \"}}]}}\n\n"
        )
    };
}

/// Writes the usage event and the terminal marker. The usage event is left out if
/// the caller resumed past the end of the answer.
fn write_end(text: &mut String, answer: &Answer, from: u32) {
    let end = json!({ "id": answer.id, "choices": [], "usage": usage(answer) });
    if from <= answer.total {
        let _ignored = write!(text, "data: {end}\n\n");
    }
    text.push_str("data: [DONE]\n\n");
}

#[post("/v1/resume/<request>?<offset>")]
fn resume(request: &str, offset: u32, shared: &State<Arc<Shared>>) -> Reply {
    let mut state = shared.lock();
    if let Some(fault) = state.faults.resumption.reply(request) {
        return fault;
    }
    match state.batch.resume(request) {
        None => Reply::Error(Status::NotFound, format!("{request} is not known")),
        Some((mut answer, progress)) => {
            state.counters.resumed += 1;
            answer.truncated = false;
            Reply::Stream(answer.id.clone(), answer, progress, offset, true)
        }
    }
}

#[delete("/v1/requests/<request>")]
fn cancel(request: &str, shared: &State<Arc<Shared>>) -> Status {
    let mut state = shared.lock();
    let found = state.batch.cancel(request);
    state.counters.cancelled += u64::from(found);
    Status::NoContent
}

#[get("/load")]
fn load(report: &State<LoadReport>) -> Json<Value> {
    let latest = report
        .0
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    Json(latest.clone())
}

#[get("/health")]
fn health(shared: &State<Arc<Shared>>) -> Json<Value> {
    let state = shared.lock();
    let versions: Vec<_> = state.orders.versions().collect();
    Json(json!({ "incarnation": state.batch.incarnation, "versions": versions }))
}

#[derive(Debug, Serialize)]
struct Events {
    events: Vec<Event>,
}

#[get("/cache/events?<since>")]
fn events(since: Option<u64>, shared: &State<Arc<Shared>>) -> Json<Events> {
    let state = shared.lock();
    let events = state
        .batch
        .cache
        .events(since.unwrap_or(0), &shared.options);
    Json(Events { events })
}

#[get("/kv/<prefix>")]
fn export(prefix: u64, shared: &State<Arc<Shared>>) -> Option<Vec<u8>> {
    let held = shared.lock().batch.cache.holds(prefix);
    held.then(|| prefix.to_be_bytes().to_vec())
}

#[put("/kv/<prefix>", data = "<_cache>")]
fn import(prefix: u64, _cache: Vec<u8>, shared: &State<Arc<Shared>>) -> Status {
    shared.lock().batch.cache.touch(prefix, &shared.options);
    Status::NoContent
}

#[post("/orders", data = "<order>")]
fn order(order: Json<Order>, shared: &State<Arc<Shared>>) -> (Status, Json<Value>) {
    let mut state = shared.lock();
    let order = order.into_inner();
    match state.orders.execute(&order, &shared.options) {
        Ok(outdated) => {
            state.counters.fence_breaks += u64::from(outdated);
            (Status::Ok, Json(json!({})))
        }
        Err(highest) => (Status::Conflict, Json(json!({ "highest": highest }))),
    }
}

#[put("/faults", data = "<faults>")]
fn set_faults(faults: Json<EngineFaults>, shared: &State<Arc<Shared>>) -> Status {
    shared.lock().faults = faults.into_inner();
    Status::NoContent
}

#[get("/served")]
fn served(shared: &State<Arc<Shared>>) -> Json<FxHashMap<String, u64>> {
    let mut counts = FxHashMap::default();
    for served in &shared.lock().served {
        *counts.entry(served.model.clone()).or_default() += 1;
    }
    Json(counts)
}

#[get("/counters")]
fn counters(shared: &State<Arc<Shared>>) -> Json<Counters> {
    Json(shared.lock().counters)
}
