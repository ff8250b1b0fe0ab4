//! Bounds the memory that messages and streams take.
//!
//! A request and a plain response are read completely before any of it is forwarded, and a
//! client or a backend server may send bytes without end. One message has a limit of its
//! own; all messages and streams together have another, beyond which only small ones are
//! read on. A message counts with the memory that it takes, which can be more than what
//! has arrived of it, and until the last reference to its bytes is dropped, so also while a
//! slow reader takes it.
//!
//! When a request is refused because the total is reached, the client that has sent least
//! of late gives way: its request is refused too, so that a retry finds room.

use super::{
    activity::Activity,
    capacity::{CapacityBounds, SMALL_MESSAGE_BYTES},
};
use crate::prelude::*;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use rand::Rng as _;
use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, AtomicUsize, Ordering},
};

/// Longest message that is read in any case, in bytes. The number of connections bounds
/// what these take together.
const TINY_MESSAGE_BYTES: usize = 8 << 10;
/// Shortest delay after which a caller is asked to retry while memory is short. Responses
/// that wait for sound callers are taken within it.
const SHORT_RETRY: Duration = Duration::from_millis(300);

/// Least capacity of a body whose length is not announced, in bytes.
const MIN_BODY_CAPACITY: usize = 1 << 10;
/// Largest part of a body whose length is not announced that is taken at once, in bytes. Buffers
/// that are read into have the same size, so that each fits where another one was freed.
const MAX_SEGMENT_BYTES: usize = 8 << 10;

/// The bytes that a process holds for clients and backend servers.
#[derive(Debug)]
pub struct BufferMemory {
    bounds: CapacityBounds,
    used: Arc<AtomicUsize>,
    /// Connections whose requests are being received and are not tiny.
    receiving: Mutex<FastMap<u64, Arc<Activity>>>,
    last_key: AtomicU64,
    clock: Arc<dyn Clock>,
}

/// The body of a request that has not been read yet.
#[derive(Debug)]
pub struct Upload {
    body: Incoming,
    activity: Arc<Activity>,
}

impl Upload {
    /// Wraps the body of a request that arrives on a connection.
    #[must_use]
    pub fn new(body: Incoming, activity: Arc<Activity>) -> Self {
        activity.set_unfinished(!body.is_end_stream());
        Self { body, activity }
    }
}

/// The part of a body that has arrived, in segments that are filled one after the other.
///
/// A single buffer that grows leaves a hole in the allocator's heap each time, and hundreds of
/// them that grow side by side leave twice of what they hold.
#[derive(Debug, Default)]
struct Gathered {
    segments: Vec<Vec<u8>>,
    /// Bytes that have arrived.
    length: usize,
    /// Capacity of all segments in bytes.
    capacity: usize,
    /// Announced length in bytes, 0 if there is none.
    declared: usize,
    /// Largest length in bytes. No more memory is taken in advance.
    longest: usize,
}

impl Gathered {
    /// Returns the memory that the body takes once this many further bytes are added. Pages
    /// of an announced body that no byte was written to take none.
    fn size_with(&self, more: usize) -> usize {
        if self.declared > 0 {
            self.length + more
        } else {
            self.capacity + self.next_segment(more)
        }
    }

    /// Returns the size of the segment that is needed for this many further bytes, 0 if none is.
    fn next_segment(&self, more: usize) -> usize {
        let missing = (self.length + more).saturating_sub(self.capacity);
        if missing == 0 {
            return 0;
        }
        let left = self.longest.saturating_sub(self.capacity);
        let grown = self.capacity.clamp(MIN_BODY_CAPACITY, MAX_SEGMENT_BYTES);
        grown.min(left).max(missing).max(self.declared)
    }

    fn push(&mut self, mut data: &[u8]) {
        let segment = self.next_segment(data.len());
        if let Some(last) = self.segments.last_mut() {
            let room = (last.capacity() - last.len()).min(data.len());
            let (fits, rest) = data.split_at(room);
            last.extend_from_slice(fits);
            self.length += room;
            data = rest;
        }
        if data.is_empty() {
            return;
        }
        let mut next = Vec::new();
        next.reserve_exact(segment.max(data.len()));
        next.extend_from_slice(data);
        self.length += data.len();
        self.capacity += next.capacity();
        self.segments.push(next);
    }

    /// Joins the segments, each of which is freed when it is copied.
    fn into_bytes(mut self) -> Bytes {
        if self.segments.len() <= 1 {
            return self.segments.pop().unwrap_or_default().into();
        }
        let mut joined = Vec::with_capacity(self.length);
        for segment in self.segments {
            joined.extend_from_slice(&segment);
        }
        joined.into()
    }
}

/// A request that is being received, until it is dropped.
struct Receiving<'m> {
    memory: &'m BufferMemory,
    key: u64,
}

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        self.memory.lock_receiving().remove(&self.key);
    }
}

/// The bytes that one message takes. They are free again when it is dropped.
#[derive(Debug)]
pub struct Share {
    used: Arc<AtomicUsize>,
    bytes: usize,
}

/// A body together with the bytes that it takes.
struct Held {
    body: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum ReadError {
    /// The connection failed, or what arrived is no body.
    Broken(hyper::Error),
    /// The body is longer than may be read.
    TooLong,
}

/// Why a request's body was not received.
#[derive(Debug)]
pub enum ReceiveError {
    /// The connection failed, or what arrived is no body.
    Broken(hyper::Error),
    /// The body is longer than allowed.
    TooLong,
    /// The process is short of memory. The request has not run and never will.
    Short,
}

impl Share {
    /// Sets the size to one that is no smaller, and returns the total.
    fn grow_to(&mut self, bytes: usize) -> usize {
        let more = bytes.saturating_sub(self.bytes);
        self.bytes += more;
        self.used.fetch_add(more, Ordering::AcqRel) + more
    }

    /// Returns the body as bytes that count until they are dropped.
    fn hold(self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(Held { body, _share: self })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

impl BufferMemory {
    /// Builds the memory of a process with these bounds.
    #[must_use]
    pub fn new(bounds: CapacityBounds, clock: Arc<dyn Clock>) -> Self {
        Self {
            bounds,
            used: Arc::default(),
            receiving: Mutex::default(),
            last_key: AtomicU64::new(0),
            clock,
        }
    }

    /// Returns the bounds.
    #[must_use]
    pub fn bounds(&self) -> &CapacityBounds {
        &self.bounds
    }

    /// Returns the counter of the bytes that are held.
    #[must_use]
    pub fn used(&self) -> &Arc<AtomicUsize> {
        &self.used
    }

    fn share(&self) -> Share {
        Share {
            used: Arc::clone(&self.used),
            bytes: 0,
        }
    }

    /// Tells whether a message of this length may be held when all messages and streams take
    /// `total` bytes.
    fn allows(&self, message: usize, total: usize) -> bool {
        total <= self.bounds.total
            || message <= TINY_MESSAGE_BYTES
            || (message <= SMALL_MESSAGE_BYTES && total <= self.bounds.limit)
    }

    /// Counts bytes of a message that is complete, until the result is dropped. Returns `None`
    /// if memory is short.
    #[must_use]
    pub fn try_hold(&self, bytes: usize) -> Option<Share> {
        let mut share = self.share();
        let total = share.grow_to(bytes);
        if self.allows(bytes, total) {
            return Some(share);
        }
        metrics::counter!("cardamomtally_direct_memory_refused_total", "what" => "response")
            .increment(1);
        None
    }

    /// Counts bytes that are held whether or not memory is short, until the result is dropped.
    #[must_use]
    pub fn hold(&self, bytes: usize) -> Share {
        let mut share = self.share();
        share.grow_to(bytes);
        share
    }

    /// Returns the delay after which a caller is asked to retry while memory is short.
    #[must_use]
    pub fn retry_after() -> Duration {
        SHORT_RETRY.mul_f64(1.0 + rand::rng().random::<f64>())
    }

    /// Receives the body of a request, of at most `longest` bytes. It counts until its last
    /// reference is dropped. A body whose declared length is too long for the memory that is
    /// left is refused before any of it is read.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, if the body is too long, or if memory is
    /// short.
    pub async fn receive(&self, upload: Upload, longest: usize) -> Result<Bytes, ReceiveError> {
        self.receive_multiplied(upload, longest, 1).await
    }

    /// Receives the body of a request as [`receive`](Self::receive) does. Once it is complete,
    /// it counts with a multiple of its size, for what its handler makes of it.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`receive`](Self::receive).
    pub async fn receive_multiplied(
        &self,
        upload: Upload,
        longest: usize,
        multiple: usize,
    ) -> Result<Bytes, ReceiveError> {
        let Upload { mut body, activity } = upload;
        // What never fits is refused as too long, since a retry would not help.
        let longest = longest.min(self.bounds.total / multiple);
        let declared = declared_length(&body);
        if declared > longest {
            return Err(ReceiveError::TooLong);
        }
        let used = self.used.load(Ordering::Acquire);
        if !self.allows(declared, used.saturating_add(declared)) {
            return Err(self.refuse_request());
        }
        activity.begin_body(self.clock.now());
        let _ended = BodyGuard(&activity);
        let mut registered = None;
        let mut share = self.share();
        let mut read = Gathered {
            declared,
            longest,
            ..Gathered::default()
        };
        loop {
            let frame = tokio::select! {
                biased;
                () = activity.gives_way() => return Err(ReceiveError::Short),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else {
                activity.set_unfinished(false);
                break;
            };
            // Trailers are not forwarded.
            let Ok(data) = frame.map_err(ReceiveError::Broken)?.into_data() else {
                continue;
            };
            if read.length + data.len() > longest {
                return Err(ReceiveError::TooLong);
            }
            let total = share.grow_to(read.size_with(data.len()));
            if !self.allows(share.bytes, total) {
                return Err(self.refuse_request());
            }
            if share.bytes > TINY_MESSAGE_BYTES && registered.is_none() {
                registered = Some(self.register(&activity));
            }
            read.push(&data);
        }
        let length = read.length;
        let total = share.grow_to(length * multiple);
        if !self.allows(length, total) {
            return Err(self.refuse_request());
        }
        Ok(share.hold(read.into_bytes()))
    }

    fn lock_receiving(&self) -> MutexGuard<'_, FastMap<u64, Arc<Activity>>> {
        self.receiving
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn register(&self, activity: &Arc<Activity>) -> Receiving<'_> {
        let key = self.last_key.fetch_add(1, Ordering::Relaxed);
        self.lock_receiving().insert(key, Arc::clone(activity));
        Receiving { memory: self, key }
    }

    /// Counts a refused request, and lets the client give way that has sent least of late.
    fn refuse_request(&self) -> ReceiveError {
        metrics::counter!("cardamomtally_direct_memory_refused_total", "what" => "request")
            .increment(1);
        let now = self.clock.now();
        let receiving = self.lock_receiving();
        let slow = receiving
            .values()
            .filter(|activity| activity.may_give_way(now));
        let least = slow.min_by(|a, b| a.recent(now).total_cmp(&b.recent(now)));
        if let Some(activity) = least {
            metrics::counter!("cardamomtally_listen_gave_way_total", "what" => "body").increment(1);
            activity.give_way();
        }
        ReceiveError::Short
    }

    /// Reads the body of a response to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or if the body is longer than one message
    /// may be, or longer than 64 KiB while the total is reached.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, ReadError> {
        let mut share = self.share();
        let mut read = Gathered {
            declared: declared_length(&body).min(self.bounds.message),
            longest: self.bounds.message,
            ..Gathered::default()
        };
        while let Some(frame) = body.frame().await {
            // Trailers are not forwarded.
            let Ok(data) = frame.map_err(ReadError::Broken)?.into_data() else {
                continue;
            };
            let total = share.grow_to(read.size_with(data.len()));
            let length = read.length + data.len();
            if !self.allows(share.bytes, total) || length > self.bounds.message {
                metrics::counter!("cardamomtally_direct_memory_refused_total", "what" => "response")
                    .increment(1);
                return Err(ReadError::TooLong);
            }
            read.push(&data);
        }
        Ok(share.hold(read.into_bytes()))
    }
}

/// Returns the announced length of a body in bytes, or 0 if there is none.
fn declared_length(body: &Incoming) -> usize {
    let length = body.size_hint().exact().unwrap_or_default();
    usize::try_from(length).unwrap_or(usize::MAX)
}

/// Ends the receipt of a request's body on its connection.
struct BodyGuard<'a>(&'a Activity);

impl Drop for BodyGuard<'_> {
    fn drop(&mut self) {
        self.0.end_body();
    }
}
