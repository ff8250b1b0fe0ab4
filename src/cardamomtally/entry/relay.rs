//! Forwards a stream of server-sent events to the caller.
//!
//! Only complete events are forwarded; all that have arrived go out in one
//! write. The terminal event, `[DONE]`, is held back until the agent has
//! confirmed that the answer is complete and the bill has been committed or
//! left to the agents. A stream that breaks off after part of it was sent ends
//! with an error event and without `[DONE]`. The relay reads from the agent
//! only after the caller has taken the previous bytes, so a slow caller does
//! not make the entry buffer its answer.

use super::{
    agents::CallError,
    answer::Answer,
    app::App,
    bill::{Origin, RequestUsage},
    frames::{AnswerEnd, Batch},
    problem::Problem,
};
use crate::{
    core::{id::RequestId, verdict::Verdict},
    daemon::request_tracker::RequestGuard,
};
use bytes::{Bytes, BytesMut};
use futures::{Stream, stream};
use std::{io, sync::Arc};

/// Longest incomplete event that is buffered. A longer event is forwarded in
/// parts.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// The terminal event of a stream.
const DONE: &[u8] = b"data: [DONE]";

/// A stream of events that is being forwarded to a caller.
#[derive(Debug)]
pub struct Relay {
    app: Arc<App>,
    request: RequestId,
    answer: Answer,
    next: Option<Batch>,
    buffer: BytesMut,
    usage: RequestUsage,
    guard: Option<RequestGuard>,
    ended: bool,
}

impl Relay {
    /// Builds a relay for an answer whose first batch has arrived.
    #[must_use]
    pub fn new(
        app: &Arc<App>,
        request: RequestId,
        answer: Answer,
        first: Batch,
        usage: RequestUsage,
    ) -> Self {
        Self {
            app: Arc::clone(app),
            request,
            answer,
            next: Some(first),
            buffer: BytesMut::new(),
            usage,
            guard: None,
            ended: false,
        }
    }

    /// Attaches the guard that counts the request as in flight, so that a
    /// draining process waits until the stream has ended.
    pub fn attach_guard(&mut self, guard: RequestGuard) {
        self.guard = Some(guard);
    }

    /// Returns the stream of bytes for the caller.
    pub fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
        Box::pin(stream::unfold(self, |mut relay| async move {
            let bytes = relay.next_bytes().await?;
            Some((Ok(bytes), relay))
        }))
    }

    /// Returns the next bytes for the caller; `None` after the last.
    async fn next_bytes(&mut self) -> Option<Bytes> {
        while !self.ended {
            let batch = match self.next.take() {
                Some(batch) => batch,
                None => match self.answer.next().await {
                    Ok(batch) => batch,
                    Err(error) => return Some(self.end_interrupted(&error)),
                },
            };
            self.buffer.extend_from_slice(&batch.data);
            match batch.end {
                None => {
                    let length = complete_events_len(&self.buffer);
                    if length > 0 {
                        return Some(self.buffer.split_to(length).freeze());
                    }
                }
                Some(AnswerEnd::Complete(usage)) => {
                    self.ended = true;
                    self.usage.add(usage, Origin::of(&self.answer));
                    self.usage.commit(&self.app).await;
                    return Some(self.buffer.split().freeze());
                }
                Some(AnswerEnd::Failed {
                    verdict,
                    reason,
                    blame,
                }) => {
                    let outcome = if blame {
                        crate::routing::tracker::Outcome::Neutral
                    } else {
                        crate::routing::tracker::Outcome::Failure
                    };
                    self.answer.report(outcome);
                    return Some(self.end_with_error(Problem::new(502, verdict, &*reason)));
                }
            }
        }
        self.guard = None;
        None
    }

    fn end_interrupted(&mut self, error: &CallError) -> Bytes {
        self.answer
            .report(crate::routing::tracker::Outcome::Failure);
        let detail = format!("the answer broke off: {error}");
        self.end_with_error(Problem::new(502, Verdict::Unknown, detail))
    }

    fn end_with_error(&mut self, mut problem: Problem) -> Bytes {
        self.ended = true;
        if problem.verdict == Verdict::NotRun {
            // The start of the answer has arrived before, so the attempt did
            // run.
            problem.verdict = Verdict::Ran;
        }
        self.usage.count_failure(&self.app);
        let text = problem.to_json(self.request);
        self.app.context.events.record(
            "stream",
            &format!("request {}", self.request),
            problem.detail,
        );
        metrics::counter!("cardamomtally_entry_broken_streams_total").increment(1);
        Bytes::from(format!("event: error\ndata: {text}\n\n"))
    }
}

/// Returns the length of the complete events at the start of the buffer, except
/// a `[DONE]` event at their end. If the buffer is longer than
/// [`EVENT_LIMIT_BYTES`] and contains no complete event, returns its full
/// length.
fn complete_events_len(buffer: &[u8]) -> usize {
    let end = last_event_end(buffer);
    if end == 0 {
        return if buffer.len() > EVENT_LIMIT_BYTES {
            buffer.len()
        } else {
            0
        };
    }
    let last = buffer[..end].trim_ascii_end();
    if !last.ends_with(DONE) {
        return end;
    }
    last.len() - DONE.len()
}

/// Returns the length up to and including the last empty line, which ends an
/// event; 0 if there is none.
fn last_event_end(buffer: &[u8]) -> usize {
    let mut end = buffer.len();
    while let Some(at) = buffer[..end].iter().rposition(|b| *b == b'\n') {
        let before = buffer[..at].strip_suffix(b"\r").unwrap_or(&buffer[..at]);
        if before.ends_with(b"\n") {
            return at + 1;
        }
        end = at;
    }
    0
}
