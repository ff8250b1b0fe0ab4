//! Passes a stream of server-sent events on to the caller.
//!
//! Only whole events are passed on, all that have arrived in one write. The last
//! event, `[DONE]`, is held back until the agent has said that the answer is
//! whole and the bill is committed. A stream that breaks after something was
//! shown ends with an error event and without `[DONE]`. The next read from the
//! agent waits until the caller has taken the last, so a slow reader costs no
//! memory here.

use super::{
    agents::CallError,
    answer::Answer,
    app::App,
    bill::{Origin, Spend},
    frames::{Batch, Ended},
    problem::Problem,
};
use crate::{
    core::{id::RequestId, verdict::Verdict},
    daemon::gate::Pass,
};
use bytes::{Bytes, BytesMut};
use futures::{Stream, stream};
use std::{io, sync::Arc};

/// Longest event that is held back until it is whole.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// The last event of a stream.
const DONE: &[u8] = b"data: [DONE]";

/// A stream on its way to the caller.
#[derive(Debug)]
pub struct Relay {
    app: Arc<App>,
    request: RequestId,
    answer: Answer,
    next: Option<Batch>,
    tail: BytesMut,
    spend: Spend,
    pass: Option<Pass>,
    ended: bool,
}

impl Relay {
    /// Builds a relay of an answer whose first batch has come.
    #[must_use]
    pub fn new(
        app: &Arc<App>,
        request: RequestId,
        answer: Answer,
        first: Batch,
        spend: Spend,
    ) -> Self {
        Self {
            app: Arc::clone(app),
            request,
            answer,
            next: Some(first),
            tail: BytesMut::new(),
            spend,
            pass: None,
            ended: false,
        }
    }

    /// Keeps the process from stopping before the stream has ended.
    pub fn hold(&mut self, pass: Pass) {
        self.pass = Some(pass);
    }

    /// Returns the stream of bytes for the caller.
    pub fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
        Box::pin(stream::unfold(self, |mut relay| async move {
            let bytes = relay.step().await?;
            Some((Ok(bytes), relay))
        }))
    }

    /// Returns the next bytes for the caller; `None` after the last.
    async fn step(&mut self) -> Option<Bytes> {
        while !self.ended {
            let batch = match self.next.take() {
                Some(batch) => batch,
                None => match self.answer.next().await {
                    Ok(batch) => batch,
                    Err(error) => return Some(self.fail(&error)),
                },
            };
            self.tail.extend_from_slice(&batch.data);
            match batch.end {
                None => {
                    let whole = whole_events(&self.tail);
                    if whole > 0 {
                        return Some(self.tail.split_to(whole).freeze());
                    }
                }
                Some(Ended::Whole(usage)) => {
                    self.ended = true;
                    self.spend.add(usage, Origin::of(&self.answer));
                    self.spend.commit(&self.app).await;
                    return Some(self.tail.split().freeze());
                }
                Some(Ended::Failed {
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
                    return Some(self.end_with(Problem::new(502, verdict, &*reason)));
                }
            }
        }
        self.pass = None;
        None
    }

    fn fail(&mut self, error: &CallError) -> Bytes {
        self.answer
            .report(crate::routing::tracker::Outcome::Failure);
        let detail = format!("the answer broke off: {error}");
        self.end_with(Problem::new(502, Verdict::Unknown, detail))
    }

    fn end_with(&mut self, mut problem: Problem) -> Bytes {
        self.ended = true;
        if problem.verdict == Verdict::NotRun {
            // Something was shown, so it did run.
            problem.verdict = Verdict::Ran;
        }
        self.spend.broken(&self.app);
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

/// Returns the length of the whole events at the front, less a last event that
/// must wait for the end.
fn whole_events(tail: &[u8]) -> usize {
    let end = last_boundary(tail);
    if end == 0 {
        return if tail.len() > EVENT_LIMIT_BYTES {
            tail.len()
        } else {
            0
        };
    }
    let last = tail[..end].trim_ascii_end();
    if !last.ends_with(DONE) {
        return end;
    }
    last.len() - DONE.len()
}

/// Returns the length up to and with the last empty line.
fn last_boundary(tail: &[u8]) -> usize {
    let mut end = tail.len();
    while let Some(at) = tail[..end].iter().rposition(|b| *b == b'\n') {
        let before = tail[..at].strip_suffix(b"\r").unwrap_or(&tail[..at]);
        if before.ends_with(b"\n") {
            return at + 1;
        }
        end = at;
    }
    0
}
