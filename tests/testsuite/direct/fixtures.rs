//! An entry in this process, a keeper that says what a test tells it to, and
//! backend servers that follow a script.

use crate::{site::fixtures::document, support::wait::until};
use cardamomtally::{
    core::clock::SystemClock,
    direct::{
        app::App,
        daemon::{self, DirectSettings, Parts},
        holder::HolderSettings,
        listener,
    },
    net::{
        codec,
        transport::{Transport, TransportError},
        wire::{Request, Response},
    },
    prelude::*,
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

/// Answers polls with what a test has set, or not at all.
#[derive(Debug, Default)]
pub struct FakeControl {
    reply: Mutex<Option<PollReply>>,
}

impl FakeControl {
    /// Sets what polls are answered from now on.
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

/// Returns the answer of a leader with a document and a list.
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
    /// Starts an entry that holds nothing yet.
    pub fn without_document(lease: Duration) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let settings = DirectSettings {
            centre: "north".into(),
            holder: HolderSettings {
                name: "entry-1".into(),
                seeds: vec!["127.0.0.1".into()],
                period: Duration::from_millis(20),
                lease,
                ..HolderSettings::default()
            },
            ..DirectSettings::default()
        };
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
        runtime.spawn(listener::run(Arc::clone(&app), front, 64, closed));
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

    /// Starts an entry with one route of a class and the given backend servers.
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

    /// Sets what the keeper answers and waits until the entry holds it.
    pub fn publish(&self, reply: PollReply) {
        let index = reply.document;
        self.control.set(Some(reply));
        until("the entry holds it", || {
            (self.app.config.current().document >= index).then_some(())
        });
    }

    /// Sends a request's text and returns all that comes until the end.
    pub fn ask(&self, text: &str) -> Answer {
        let mut stream = self.connect();
        stream.write_all(text.as_bytes()).unwrap();
        read_answer(&mut stream)
    }

    /// Connects as a caller does.
    pub fn connect(&self) -> TcpStream {
        connect(self.addr)
    }

    /// Tells how many requests are in flight.
    pub fn running(&self) -> u64 {
        self.app.running.load(Ordering::Acquire)
    }
}

/// Connects with a limit on each read.
pub fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(crate::support::wait::PATIENCE))
        .unwrap();
    stream
}

/// An answer as its bytes came.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

/// Returns a header's value in a head.
pub fn header<'h>(head: &'h str, name: &str) -> Option<&'h str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Reads an answer until the connection ends.
pub fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    // A reset ends an answer as well as a close does.
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

/// Returns a request's text, with more headers, each ended by CRLF.
pub fn request(id: &str, more: &str, body: &str) -> String {
    format!(
        "POST /drafts/one?x=1 HTTP/1.1\r\nHost: site.example\r\nCardamomtally-Attempt: {id}\r\n\
         Cardamomtally-Key: key-1\r\nCardamomtally-Deadline: 9000\r\nConnection: close\r\n{more}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// What a backend server does with a request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends bytes.
    Send(String),
    /// Waits.
    Wait(Duration),
    /// Waits until the entry closes the connection, and notes it.
    AwaitClose,
    /// Closes the connection.
    Close,
}

/// A request that a backend server has read.
#[derive(Clone, Debug)]
pub struct Seen {
    pub head: String,
    pub body: String,
}

/// What a backend server has noticed.
#[derive(Debug, Default)]
pub struct ServerLog {
    pub seen: Vec<Seen>,
    pub closed: u32,
}

type Script = dyn Fn(&Seen, usize) -> Vec<Action> + Send + Sync;

/// A backend server that follows a script.
pub struct Server {
    pub addr: SocketAddr,
    pub server_log: Arc<Mutex<ServerLog>>,
    instance: String,
}

impl Server {
    /// Starts a server whose script says what to do with each request, by its
    /// number from 0.
    pub fn start(
        instance: &str,
        script: impl Fn(&Seen, usize) -> Vec<Action> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let server_log = Arc::<Mutex<ServerLog>>::default();
        let shared = Arc::clone(&server_log);
        let script: Arc<Script> = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server_log, script) = (Arc::clone(&shared), Arc::clone(&script));
                thread::spawn(move || serve(stream, &server_log, &*script));
            }
        });
        Self {
            addr,
            server_log,
            instance: instance.to_owned(),
        }
    }

    /// Returns the server's entry in the list.
    pub fn backend(&self) -> Backend {
        crate::site::fixtures::backend(&self.instance, self.addr)
    }

    /// Returns the requests that it has read.
    pub fn seen(&self) -> Vec<Seen> {
        self.server_log.lock().unwrap().seen.clone()
    }

    /// Returns how many connections were closed on it while it waited.
    pub fn closed(&self) -> u32 {
        self.server_log.lock().unwrap().closed
    }
}

fn serve(mut stream: TcpStream, server_log: &Mutex<ServerLog>, script: &Script) {
    while let Some(seen) = read_request(&mut stream) {
        let number = {
            let mut server_log = server_log.lock().unwrap();
            server_log.seen.push(seen.clone());
            server_log.seen.len() - 1
        };
        for action in script(&seen, number) {
            match action {
                Action::Send(text) => {
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
                Action::Wait(time) => thread::sleep(time),
                Action::AwaitClose => {
                    // Either end of the read shows that the peer has gone.
                    let _gone = stream.read(&mut [0; 16]);
                    server_log.lock().unwrap().closed += 1;
                    return;
                }
                Action::Close => return,
            }
        }
    }
}

fn read_request(stream: &mut TcpStream) -> Option<Seen> {
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
                });
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Returns an answer of a backend server to a request, with more headers.
pub fn answer(seen: &Seen, status: &str, more: &str, body: &str) -> Action {
    let id = header(&seen.head, "cardamomtally-attempt").unwrap_or("none");
    Action::Send(format!(
        "HTTP/1.1 {status}\r\nCardamomtally-Attempt: {id}\r\nCardamomtally-Signature: s-1\r\n\
         {more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Returns the head of a stream.
pub fn stream_head(seen: &Seen, more: &str) -> Action {
    let id = header(&seen.head, "cardamomtally-attempt").unwrap_or("none");
    Action::Send(format!(
        "HTTP/1.1 200 OK\r\nCardamomtally-Attempt: {id}\r\nCardamomtally-Signature: s-1\r\n\
         Content-Type: text/event-stream\r\n{more}Transfer-Encoding: chunked\r\n\r\n"
    ))
}

/// Returns a chunk of a stream.
pub fn chunk(text: &str) -> Action {
    Action::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// Returns whole events with ids.
pub fn events(ids: std::ops::RangeInclusive<u64>) -> Action {
    let text: String = ids.map(event).collect();
    chunk(&text)
}

/// Returns one event's text.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Returns the end of a stream.
pub fn stream_end() -> Action {
    Action::Send("0\r\n\r\n".to_owned())
}

/// Joins a chunked body's chunks, and tells whether its end has come.
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
