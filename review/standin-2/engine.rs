//! One engine of a plain service, as a process of its own.
//!
//! It runs a request as soon as it has read it, in order of arrival and at most `slots` at
//! once. What it does is written to its standard output, a line for each step:
//! `MILLISECONDS ENGINE STEP ATTEMPT`.

use crate::http::{self, Message, now_ms};
use std::{
    io::{self, BufReader, Write as _},
    net::{TcpListener, TcpStream},
    process::ExitCode,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicI64, Ordering},
    },
    thread,
    time::Duration,
};

struct Engine {
    id: String,
    slots: i64,
    /// Time after the begin of a run at which a request that carries `CRASHES` in its body
    /// ends this process; none if such a request is like any other.
    crash_after_ms: Option<u64>,
    work_ms: u64,
    running: Mutex<i64>,
    waiting: AtomicI64,
    free: Condvar,
}

/// `engine ADDRESS ID SLOTS WORK_MS CRASH_AFTER_MS|never`
pub fn main(args: &[&str]) -> ExitCode {
    let [address, id, slots, work, crash] = args else {
        return ExitCode::from(2);
    };
    let engine = Arc::new(Engine {
        id: (*id).to_owned(),
        slots: slots.parse().unwrap_or(6),
        crash_after_ms: crash.parse().ok(),
        work_ms: work.parse().unwrap_or(30),
        running: Mutex::new(0),
        waiting: AtomicI64::new(0),
        free: Condvar::new(),
    });
    // The address may be held for a moment by the connections of the process before.
    let mut tries = 0;
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(error) if tries > 100 => {
                eprintln!("engine: {error}");
                return ExitCode::from(2);
            }
            Err(_) => tries += 1,
        }
        thread::sleep(Duration::from_millis(20));
    };
    engine.note("started", "-");
    for stream in listener.incoming().flatten() {
        let engine = Arc::clone(&engine);
        thread::spawn(move || engine.serve(stream));
    }
    ExitCode::SUCCESS
}

impl Engine {
    fn note(&self, step: &str, attempt: &str) {
        // One write a line, so that lines of several threads do not mix.
        let line = format!("{:.3} {} {step} {attempt}\n", now_ms(), self.id);
        let mut out = std::io::stdout().lock();
        let _gone = out.write_all(line.as_bytes()).and_then(|()| out.flush());
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_message(&mut from) {
            if request.first.contains(" /draft/") {
                if self.stream(&request, &mut out).is_err() {
                    return;
                }
                continue;
            }
            let answer = self.answer(&request);
            if out.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let attempt = request.header("x-attempt-id").unwrap_or("-").to_owned();
        if request.first.starts_with("GET /healthz") {
            return self.response("200 OK", &attempt, &[("X-Instance-Id", &self.id)], b"ok");
        }
        self.note("arrived", &attempt);
        if attempt == "-" {
            let mark = [("X-Not-Executed", "1")];
            return self.response("400 Bad Request", &attempt, &mark, b"");
        }
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            let mark = [("X-Not-Executed", "1")];
            return self.response("421 Misdirected Request", &attempt, &mark, b"");
        }
        let mut running = self.running.lock().unwrap();
        if *running >= self.slots && self.waiting.load(Ordering::SeqCst) >= 24 {
            let mark = [("X-Not-Executed", "1")];
            return self.response("503 Service Unavailable", &attempt, &mark, b"");
        }
        self.waiting.fetch_add(1, Ordering::SeqCst);
        while *running >= self.slots {
            running = self.free.wait(running).unwrap();
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        *running += 1;
        drop(running);
        self.note("runs", &attempt);
        let crashes = request.body.windows(7).any(|part| part == b"CRASHES");
        if let Some(after) = self.crash_after_ms.filter(|_| crashes) {
            thread::sleep(Duration::from_millis(after));
            self.note("crashes", &attempt);
            std::process::exit(1);
        }
        thread::sleep(Duration::from_millis(self.work_ms));
        *self.running.lock().unwrap() -= 1;
        self.free.notify_one();
        self.note("ended", &attempt);
        let signature = format!("{}.{attempt}", self.id);
        let mut body = format!("{{\"done\":\"{attempt}\"}}");
        if let Some(length) = answer_length(&request.body) {
            // Each line differs, so that a client can tell which part it has.
            let mut line = 0;
            while body.len() < length {
                body.push_str(&format!("{attempt} {line:012}\n"));
                line += 1;
            }
        }
        let headers = [("X-Response-Signature", signature.as_str())];
        self.response("200 OK", &attempt, &headers, body.as_bytes())
    }

    /// Answers with a stream of events, one each 100 ms, and goes on after `Last-Event-Id`.
    fn stream(&self, request: &Message, out: &mut TcpStream) -> io::Result<()> {
        let attempt = request.header("x-attempt-id").unwrap_or("-").to_owned();
        self.note("arrived", &attempt);
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            let mark = [("X-Not-Executed", "1")];
            return out.write_all(&self.response("421 Misdirected Request", &attempt, &mark, b""));
        }
        *self.running.lock().unwrap() += 1;
        let streamed = self.send_events(request, &attempt, out);
        *self.running.lock().unwrap() -= 1;
        self.note(if streamed.is_ok() { "ended" } else { "dropped" }, &attempt);
        streamed
    }

    fn send_events(&self, request: &Message, attempt: &str, out: &mut TcpStream) -> io::Result<()> {
        self.note("runs", attempt);
        let begun = now_ms();
        let last = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        let end = answer_length(&request.body).unwrap_or(10);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nContent-Type: text/event-stream\r\nX-Response-Signature: {}.{attempt}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        out.write_all(head.as_bytes())?;
        let crashes = request.body.windows(7).any(|part| part == b"CRASHES");
        for id in last.unwrap_or(0) + 1..=end {
            thread::sleep(Duration::from_millis(100));
            let due = |after: u64| crashes && now_ms() - begun >= after as f64;
            if self.crash_after_ms.is_some_and(due) {
                self.note("crashes", attempt);
                std::process::exit(1);
            }
            let event = format!("id: {id}\ndata: word {id}\n\n");
            out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        out.write_all(b"0\r\n\r\n")
    }

    fn response(
        &self,
        status: &str,
        attempt: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Vec<u8> {
        let running = *self.running.lock().unwrap();
        let waiting = self.waiting.load(Ordering::SeqCst);
        let mut text = format!(
            "HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nContent-Length: {}\r\nKeep-Alive: timeout=5\r\nX-Engine-Load: {running},{waiting},{}\r\n",
            body.len(),
            self.slots
        );
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}

/// Reads the length of the answer that a request asks for with `ANSWER=LENGTH` in its body.
fn answer_length(body: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(body).ok()?;
    let (_, length) = text.split_once("ANSWER=")?;
    length.trim().parse().ok()
}
