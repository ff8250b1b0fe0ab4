//! An entry in this process, a fake control group that answers as the test has
//! set, and backend servers that follow a script.

use crate::{site::fixtures::document, support::wait::until};
use cardamomtally::{
    core::clock::SystemClock,
    direct::{
        app::App,
        config::poller::PollerSettings,
        daemon::{self, DirectSettings, Parts},
        listener,
    },
    net::{
        codec,
        transport::{Transport, TransportError},
        wire::{Request, Response},
    },
    prelude::*,
    routing::budget::BudgetTerms,
    scheduling::settings::SchedulingSettings,
    site::{
        backend::Backend,
        document::{Class, Document},
        poll::PollReply,
        state::Fleet,
    },
    util::log,
};
use futures::future::BoxFuture;
use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Mutex, atomic::Ordering},
    thread,
};
use tokio::{runtime::Runtime, sync::watch};

/// Answers polls with the reply that the test has set; without one, polls fail.
#[derive(Debug, Default)]
pub struct FakeControl {
    reply: Mutex<Option<PollReply>>,
}

impl FakeControl {
    /// Sets the reply to further polls; `None` lets them fail.
    pub fn set(&self, reply: Option<PollReply>) {
        *self.reply.lock().unwrap() = reply;
    }
}

impl Transport for FakeControl {
    fn call(
        &self,
        _member: &str,
        _request: Request,
        _timeout: Duration,
    ) -> BoxFuture<'_, Result<Response, TransportError>> {
        let reply = self.reply.lock().unwrap().clone();
        Box::pin(async move {
            let error = TransportError {
                reason: "no answer is set".to_owned(),
            };
            let reply = reply.ok_or(error)?;
            Ok(Response::Site(codec::encode(&reply).into()))
        })
    }
}

/// Returns a leader's reply with a document and the backend servers of the
/// fleet.
pub fn reply(index: u64, document: Document, backends: Vec<Backend>) -> PollReply {
    PollReply {
        document: Index(index),
        content: Some(document),
        fleet: Some(Fleet {
            index: Index(index),
            backends,
            ..Fleet::default()
        }),
        leads: true,
        entries: 1,
        ..PollReply::default()
    }
}

/// An entry in this process.
pub struct Entry {
    pub app: Arc<App>,
    pub control: Arc<FakeControl>,
    pub addr: SocketAddr,
    pub health: SocketAddr,
    pub close: watch::Sender<bool>,
    _runtime: Runtime,
}

impl Entry {
    /// Starts an entry without a configuration.
    pub fn without_document(lease: Duration) -> Self {
        Self::with_settings(lease, |_| {})
    }

    /// Starts an entry without a configuration and with settings of overload control.
    pub fn with_scheduling(lease: Duration, scheduling: Option<SchedulingSettings>) -> Self {
        Self::with_settings(lease, |settings| settings.scheduling = scheduling)
    }

    /// Starts an entry with a document and the given backend servers. `change` alters its
    /// settings before it starts.
    pub fn configured(
        document: Document,
        backends: &[Backend],
        change: impl FnOnce(&mut DirectSettings),
    ) -> Self {
        let entry = Self::with_settings(Duration::from_mins(1), change);
        entry.publish(reply(1, document, backends.to_vec()));
        entry
    }

    /// Starts an entry without a configuration, with settings that the test has changed.
    pub fn with_settings(lease: Duration, change: impl FnOnce(&mut DirectSettings)) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let mut settings = DirectSettings {
            centre: "north".into(),
            max_connections: 64,
            poller: PollerSettings {
                name: "entry-1".into(),
                seeds: vec!["127.0.0.1".into()],
                period: Duration::from_millis(20),
                lease,
                ..PollerSettings::default()
            },
            // Tests begin at once, as long after the start.
            retry_budget: BudgetTerms {
                settle_time: Duration::ZERO,
                ..BudgetTerms::default()
            },
            ..DirectSettings::default()
        };
        change(&mut settings);
        let parts = Parts {
            log: log::discard(),
            clock: Arc::new(SystemClock::default()),
            render: Arc::new(String::new),
        };
        let control = Arc::<FakeControl>::default();
        let transport = Arc::clone(&control) as Arc<dyn Transport>;
        let app = daemon::build(&settings, transport, &parts);
        let (close, closed) = watch::channel(false);
        let bind = || runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0"));
        let (front, health) = (bind().unwrap(), bind().unwrap());
        let addrs = (front.local_addr().unwrap(), health.local_addr().unwrap());
        let poller = Arc::clone(&app.config);
        runtime.spawn(async move { poller.run().await });
        let max_connections = settings.max_connections;
        runtime.spawn(listener::run(
            Arc::clone(&app),
            front,
            max_connections,
            closed,
        ));
        let ready = Arc::clone(&settings.ready);
        let render = Arc::new(String::new);
        runtime.spawn(listener::run_health(
            Arc::clone(&app),
            health,
            ready,
            render,
        ));
        Self {
            app,
            control,
            addr: addrs.0,
            health: addrs.1,
            close,
            _runtime: runtime,
        }
    }

    /// Starts an entry with one route of the given class and the given backend
    /// servers.
    pub fn start(class: Class, backends: &[&Server]) -> Self {
        Self::with(document(1, class), backends)
    }

    /// Starts an entry with a document and the given backend servers.
    pub fn with(document: Document, backends: &[&Server]) -> Self {
        let entry = Self::without_document(Duration::from_mins(1));
        let list = backends.iter().map(|s| s.backend()).collect();
        entry.publish(reply(1, document, list));
        entry
    }

    /// Sets the reply to polls and waits until the entry has applied it.
    pub fn publish(&self, reply: PollReply) {
        let index = reply.document;
        self.control.set(Some(reply));
        until("the entry has applied the reply", || {
            (self.app.config.current().document >= index).then_some(())
        });
    }

    /// Sends a request and returns everything received until the connection
    /// closes.
    pub fn ask(&self, text: &str) -> Answer {
        let mut stream = self.connect();
        stream.write_all(text.as_bytes()).unwrap();
        read_answer(&mut stream)
    }

    /// Opens a connection as a caller does.
    pub fn connect(&self) -> TcpStream {
        connect(self.addr)
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> u64 {
        self.app.running.load(Ordering::Acquire)
    }
}

/// Opens a connection with a time limit on each read.
pub fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(crate::support::wait::WAIT_TIMEOUT))
        .unwrap();
    stream
}

/// An answer as received.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

/// Returns the value of a header in the text of a head.
pub fn header<'h>(head: &'h str, name: &str) -> Option<&'h str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Reads an answer until the connection closes.
pub fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    // A reset ends the answer in the same way as a close.
    let _reset = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    Answer {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        body: body.to_owned(),
    }
}

/// Returns the text of a request. `more` holds further headers, each ended by
/// CRLF.
pub fn request(id: &str, more: &str, body: &str) -> String {
    format!(
        "POST /drafts/one?x=1 HTTP/1.1\r\nHost: site.example\r\nCardamomtally-Attempt: {id}\r\n\
         Cardamomtally-Key: key-1\r\nCardamomtally-Deadline: 9000\r\nConnection: close\r\n{more}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// What a scripted backend server does with a request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends bytes.
    Send(String),
    /// Waits for a time.
    Wait(Duration),
    /// Sends bytes again and again, with a pause between, until the entry closes the
    /// connection, and counts that.
    Repeat(String, Duration),
    /// Waits until the entry closes the connection, and counts that.
    AwaitClose,
    /// Closes the connection.
    Close,
}

/// A request that a backend server has received.
#[derive(Clone, Debug)]
pub struct Seen {
    pub head: String,
    pub body: String,
    /// Number of the connection that it arrived on, from 0.
    pub connection: usize,
}

/// What a backend server has received and observed.
#[derive(Debug, Default)]
pub struct Observations {
    pub seen: Vec<Seen>,
    pub closed: u32,
}

type Script = dyn Fn(&Seen, usize) -> Vec<Action> + Send + Sync;

/// A backend server that follows a script.
pub struct Server {
    pub addr: SocketAddr,
    pub observed: Arc<Mutex<Observations>>,
    instance: String,
}

impl Server {
    /// Starts a backend server. The script returns its actions for each
    /// request; the second argument is the request's number, from 0.
    pub fn start(
        instance: &str,
        script: impl Fn(&Seen, usize) -> Vec<Action> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let observed = Arc::<Mutex<Observations>>::default();
        let shared = Arc::clone(&observed);
        let script: Arc<Script> = Arc::new(script);
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (observed, script) = (Arc::clone(&shared), Arc::clone(&script));
                thread::spawn(move || serve(stream, connection, &observed, &*script));
            }
        });
        Self {
            addr,
            observed,
            instance: instance.to_owned(),
        }
    }

    /// Returns the backend server as an item of the fleet.
    pub fn backend(&self) -> Backend {
        crate::site::fixtures::backend(&self.instance, self.addr)
    }

    /// Returns the requests that it has received.
    pub fn seen(&self) -> Vec<Seen> {
        self.observed.lock().unwrap().seen.clone()
    }

    /// Returns how many connections were closed by the entry during
    /// [`Action::AwaitClose`].
    pub fn closed(&self) -> u32 {
        self.observed.lock().unwrap().closed
    }
}

fn serve(
    mut stream: TcpStream,
    connection: usize,
    observed: &Mutex<Observations>,
    script: &Script,
) {
    while let Some(mut seen) = read_request(&mut stream) {
        seen.connection = connection;
        let number = {
            let mut observed = observed.lock().unwrap();
            observed.seen.push(seen.clone());
            observed.seen.len() - 1
        };
        for action in script(&seen, number) {
            match action {
                Action::Send(text) => {
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
                Action::Wait(time) => thread::sleep(time),
                Action::Repeat(text, pause) => {
                    while stream.write_all(text.as_bytes()).is_ok() {
                        thread::sleep(pause);
                    }
                    observed.lock().unwrap().closed += 1;
                    return;
                }
                Action::AwaitClose => {
                    // End of file and an error both mean that the peer has
                    // closed the connection.
                    let _gone = stream.read(&mut [0; 16]);
                    observed.lock().unwrap().closed += 1;
                    return;
                }
                Action::Close => return,
            }
        }
    }
}

pub fn read_request(stream: &mut TcpStream) -> Option<Seen> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").and_then(|n| n.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return Some(Seen {
                    head: head.to_owned(),
                    body: body.to_owned(),
                    connection: 0,
                });
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Returns a backend server's answer to a request. `more` holds further
/// headers.
pub fn answer(seen: &Seen, status: &str, more: &str, body: &str) -> Action {
    let id = header(&seen.head, "cardamomtally-attempt").unwrap_or("none");
    Action::Send(format!(
        "HTTP/1.1 {status}\r\nCardamomtally-Attempt: {id}\r\nCardamomtally-Signature: s-1\r\n\
         {more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Returns the head of a streamed answer.
pub fn stream_head(seen: &Seen, more: &str) -> Action {
    let id = header(&seen.head, "cardamomtally-attempt").unwrap_or("none");
    Action::Send(format!(
        "HTTP/1.1 200 OK\r\nCardamomtally-Attempt: {id}\r\nCardamomtally-Signature: s-1\r\n\
         Content-Type: text/event-stream\r\n{more}Transfer-Encoding: chunked\r\n\r\n"
    ))
}

/// Returns one chunk of a streamed answer.
pub fn chunk(text: &str) -> Action {
    Action::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// Returns a chunk of complete events with the given ids.
pub fn events(ids: std::ops::RangeInclusive<u64>) -> Action {
    let text: String = ids.map(event).collect();
    chunk(&text)
}

/// Returns the text of one event.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Returns the end of a streamed answer.
pub fn stream_end() -> Action {
    Action::Send("0\r\n\r\n".to_owned())
}

/// Joins the chunks of a body, and tells whether its final chunk has arrived.
pub fn dechunk(body: &str) -> (String, bool) {
    let (mut rest, mut joined) = (body, String::new());
    while let Some((length, after)) = rest.split_once("\r\n") {
        let Ok(length) = usize::from_str_radix(length, 16) else {
            return (joined, false);
        };
        if length == 0 {
            return (joined, true);
        }
        if after.len() < length {
            joined.push_str(after);
            return (joined, false);
        }
        joined.push_str(&after[..length]);
        rest = after[length..].trim_start_matches("\r\n");
    }
    (joined, false)
}
