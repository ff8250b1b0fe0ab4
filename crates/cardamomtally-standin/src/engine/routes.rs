//! The engine's HTTP interface.

use super::{
    BAD_WORD, Counters, EngineFaults, POISON_WORD, Served, Shared,
    batch::{Answer, Job, Progress},
    cache::Event,
    orders::Order,
    prefix_of, run_batch,
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

/// Longest word that an answer's tokens carry.
const TAG_BYTES: usize = 48;

/// Bytes of a prompt that make one token.
const TOKEN_BYTES: u64 = 4;

/// Priority of a request that names none.
const USUAL_PRIORITY: u8 = 5;

/// Requests of which a record is kept.
const SERVED_LIMIT: usize = 1_000_000;

/// Builds the server of one life.
pub fn build(config: rocket::Config, shared: &Arc<Shared>) -> Rocket<Build> {
    shared.begin_life();
    let batch = Arc::clone(shared);
    let loads = Arc::clone(shared);
    rocket::custom(config)
        .manage(Arc::clone(shared))
        .manage(LoadReport::default())
        .attach(rocket::fairing::AdHoc::on_liftoff("batch", move |rocket| {
            tokio::spawn(run_batch(batch));
            let report = rocket.state::<LoadReport>().cloned().unwrap_or_default();
            tokio::spawn(refresh(loads, report));
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

/// A lagging copy of the load.
#[derive(Clone, Debug, Default)]
struct LoadReport(Arc<std::sync::Mutex<Value>>);

async fn refresh(shared: Arc<Shared>, report: LoadReport) {
    loop {
        let now = {
            let state = shared.lock();
            let (running, queued) = state.batch.load();
            json!({
                "incarnation": state.batch.incarnation,
                "running": running,
                "queued": queued,
                "cache_used": state.batch.cache.used(&shared.options),
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

/// Headers of a completion.
struct Head {
    request: String,
    priority: u8,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Head {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        let header = |name| request.headers().get_one(name);
        let id = header("X-Request-Id").map(ToOwned::to_owned);
        let priority = header("X-Priority").and_then(|text| text.parse().ok());
        Outcome::Success(Self {
            request: id.unwrap_or_else(|| format!("own-{:016x}", rand::rng().random::<u64>())),
            priority: priority.unwrap_or(USUAL_PRIORITY),
        })
    }
}

/// A completion's body, as far as the engine cares.
#[derive(Debug, Deserialize)]
struct Body {
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

/// An answer of the engine.
enum Reply {
    Error(Status, String),
    Plain(String, String),
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
            Self::Plain(id, body) => Response::build()
                .header(ContentType::JSON)
                .header(Header::new("X-Request-Id", id))
                .sized_body(body.len(), io::Cursor::new(body))
                .ok(),
            Self::Stream(id, answer, progress, from, chat) => {
                let stream = ByteStream(events_of(answer, progress, from, chat));
                Response::build_from(stream.respond_to(request)?)
                    .header(ContentType::new("text", "event-stream"))
                    .header(Header::new("X-Request-Id", id))
                    .ok()
            }
        }
    }
}

#[post("/v1/chat/completions", data = "<body>")]
async fn chat(body: Json<Body>, head: Head, shared: &State<Arc<Shared>>) -> Reply {
    run(body.into_inner(), head, shared, true).await
}

#[post("/v1/completions", data = "<body>")]
async fn complete(body: Json<Body>, head: Head, shared: &State<Arc<Shared>>) -> Reply {
    run(body.into_inner(), head, shared, false).await
}

async fn run(body: Body, head: Head, shared: &Shared, chat: bool) -> Reply {
    let stream = body.stream;
    let started = start(body, &head, shared);
    if shared.lock().dying {
        // The connection breaks without an answer.
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
            return Reply::Plain(answer.id.clone(), plain(&answer, chat));
        }
    }
    Reply::Error(
        Status::InternalServerError,
        "the request was cancelled".to_owned(),
    )
}

/// Puts a request into the queue.
fn start(
    body: Body,
    head: &Head,
    shared: &Shared,
) -> Result<(Answer, UnboundedReceiver<Progress>), Reply> {
    let mut guard = shared.lock();
    let state = &mut *guard;
    if state.dying {
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
        id: head.request.clone(),
        tag: tag_of(prompt),
        model: body.model.clone(),
        prompt_tokens: prompt.len() as u64 / TOKEN_BYTES + 1,
        total: body.max_tokens.unwrap_or(shared.options.tokens).max(1),
        truncated: false,
    };
    if state.served.len() < SERVED_LIMIT {
        state.served.push(Served {
            request: head.request.clone(),
            model: body.model,
            tag: answer.tag.clone(),
            at: Instant::now(),
        });
    }
    state.counters.accepted += 1;
    misbehave(&mut answer, &mut state.faults)?;
    let (out, progress) = mpsc::unbounded_channel();
    let job = Job {
        request: head.request.clone(),
        priority: head.priority,
        prefix: prefix_of(prompt),
        poison: prompt.contains(POISON_WORD),
        unread: answer.prompt_tokens,
        answer: answer.clone(),
        out,
        made: 0,
    };
    if state.batch.take(job, &shared.options, &mut state.counters) {
        shared.work.notify_one();
        return Ok((answer, progress));
    }
    state.counters.overloads += 1;
    shared.die(state, shared.options.down);
    Err(Reply::Error(
        Status::InternalServerError,
        "out of memory".to_owned(),
    ))
}

/// Spoils an answer as the faults say.
fn misbehave(answer: &mut Answer, faults: &mut EngineFaults) -> Result<(), Reply> {
    let bad = faults.bad.get(&answer.model).copied().unwrap_or_default();
    let mut rng = rand::rng();
    if rng.random_bool(bad.errors.clamp(0.0, 1.0)) {
        return Err(Reply::Error(
            Status::InternalServerError,
            "bad weights".to_owned(),
        ));
    }
    if rng.random_bool(bad.garbage.clamp(0.0, 1.0)) {
        BAD_WORD.clone_into(&mut answer.tag);
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

/// Returns the first word of a prompt, as far as it is plain.
fn tag_of(prompt: &str) -> String {
    let word = prompt.split_whitespace().next().unwrap_or("empty");
    let plain = |c: &char| c.is_ascii_alphanumeric() || *c == '-';
    word.chars().filter(plain).take(TAG_BYTES).collect()
}

/// Returns the text of a whole answer to a prompt of this tag.
pub(super) fn text_of(tag: &str, total: u32) -> String {
    (0..total).fold(String::new(), |mut text, n| {
        // Writing to a string cannot fail.
        let _ignored = write!(text, "{tag}.{n} ");
        text
    })
}

fn plain(answer: &Answer, chat: bool) -> String {
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

/// Writes an answer as server-sent events, from an event number on.
fn events_of(
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
            for n in sent..now.made {
                token(&mut text, &answer, n, chat);
            }
            if now.ended && !answer.truncated {
                finish(&mut text, &answer, sent);
            }
            let sent = sent.max(now.made);
            Some((Bytes::from(text), (answer, progress, sent, now.ended)))
        },
    )
}

fn token(text: &mut String, answer: &Answer, n: u32, chat: bool) {
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

/// Writes the usage event and the terminal marker, as far as they are asked for.
fn finish(text: &mut String, answer: &Answer, from: u32) {
    let end = json!({ "id": answer.id, "choices": [], "usage": usage(answer) });
    if from <= answer.total {
        let _ignored = write!(text, "data: {end}\n\n");
    }
    text.push_str("data: [DONE]\n\n");
}

#[post("/v1/resume/<request>?<offset>")]
fn resume(request: &str, offset: u32, shared: &State<Arc<Shared>>) -> Reply {
    let mut state = shared.lock();
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
    let seen = report
        .0
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    Json(seen.clone())
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
    match state.orders.obey(&order, &shared.options) {
        Ok(old) => {
            state.counters.fence_breaks += u64::from(old);
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
