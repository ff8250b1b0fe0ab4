//! Background load: clients that each send one request after the other until they
//! are stopped.

use super::{Caller, Reply};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

/// Pause of a client after a request without any answer, so that a stopped entry
/// is not called in a busy loop.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// One request of the background load and the answer to it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// First word of the prompt, or the idempotency key. Each request has its own.
    pub tag: String,
    /// The answer, or the part of it that was received.
    pub reply: Reply,
}

/// The running clients of a background load.
#[derive(Debug)]
pub struct Traffic {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    threads: Vec<JoinHandle<Vec<Sent>>>,
}

impl Traffic {
    /// Starts a thread for each client. `send` is called again and again with a new
    /// tag, which begins with `name`, and sends the request of that tag.
    pub fn start(
        name: &str,
        callers: Vec<Caller>,
        send: impl Fn(&Caller, &str) -> Reply + Clone + Send + 'static,
    ) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let count = Arc::<AtomicU64>::default();
        let thread = |(number, caller): (usize, Caller)| {
            let (stop, count, send) = (Arc::clone(&stop), Arc::clone(&count), send.clone());
            let name = format!("{name}-{number}");
            std::thread::spawn(move || run_caller(&name, &caller, &stop, &count, send))
        };
        let threads = callers.into_iter().enumerate().map(thread).collect();
        Self {
            stop,
            sent: count,
            threads,
        }
    }

    /// Returns the number of completed requests, whether answered or failed.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Acquire)
    }

    /// Waits until `count` further requests have completed.
    pub fn wait_completed(&self, count: u64) {
        let goal = self.sent() + count;
        super::eventually("further requests complete", || self.sent() >= goal);
    }

    /// Stops the clients after their current requests and returns all requests.
    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Release);
        let ended = self
            .threads
            .into_iter()
            .map(|thread| thread.join().expect("no client thread panics"));
        ended.flatten().collect()
    }
}

fn run_caller(
    name: &str,
    caller: &Caller,
    stop: &AtomicBool,
    count: &AtomicU64,
    send: impl Fn(&Caller, &str) -> Reply,
) -> Vec<Sent> {
    let mut all = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let tag = format!("{name}-{}", all.len());
        let reply = send(caller, &tag);
        if reply.status == 0 {
            std::thread::sleep(RETRY_PAUSE);
        }
        all.push(Sent { tag, reply });
        count.fetch_add(1, Ordering::AcqRel);
    }
    all
}
