//! Reads an attempt's answer from its agent.
//!
//! If the connection drops or stays idle too long, the answer is resumed at the
//! byte offset that the entry has reached. An attempt whose answer is dropped
//! before its end is cancelled, unless the request must not be repeated.

use super::{
    agents::CallError,
    app::{App, InFlight},
    frames::{AnswerEnd, Batch, FrameReader, Head},
};
use crate::{
    core::{
        clock::Mono,
        id::{AttemptId, Incarnation, Name},
    },
    net::run::Usage,
};
use bytes::{Bytes, BytesMut};
use std::sync::Arc;

/// Most attempts to resume an answer within one read. After that many, the
/// entry gives up on the answer.
const RESUME_LIMIT: u32 = 4;

/// Longest answer, in bytes, that the entry buffers. A longer answer that is
/// not streamed counts as incomplete.
const ANSWER_LIMIT_BYTES: usize = 32 << 20;

/// An answer that is being read.
#[derive(Debug)]
pub struct Answer {
    app: Arc<App>,
    flight: Option<InFlight>,
    agent: Name,
    attempt: AttemptId,
    incarnation: Option<Incarnation>,
    frames: FrameReader,
    offset: u64,
    deadline: Mono,
    cancel: bool,
}

/// An answer that has been read to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct CompleteAnswer {
    /// HTTP status and content type.
    pub head: Head,
    /// Body of the answer.
    pub body: Bytes,
    /// Tokens that the attempt has used.
    pub usage: Usage,
}

/// Why an answer is not complete.
#[derive(Clone, Debug, PartialEq)]
pub enum IncompleteAnswer {
    /// The agent stated how the answer ended.
    Failed(AnswerEnd),
    /// The rest of the answer could not be read from the agent.
    Lost(CallError),
}

/// How an answer is read, and what happens if it is dropped.
#[derive(Clone, Copy, Debug)]
pub struct ReadOptions {
    /// Time by which the last byte must have arrived.
    pub deadline: Mono,
    /// Whether the attempt is cancelled if the answer is dropped before its
    /// end.
    pub cancel: bool,
}

impl Answer {
    /// Builds the reader of an answer to an attempt that was just sent.
    #[must_use]
    pub fn new(
        app: &Arc<App>,
        flight: InFlight,
        stream: super::agents::AnswerStream,
        options: ReadOptions,
    ) -> Self {
        Self {
            app: Arc::clone(app),
            agent: Arc::clone(&flight.agent),
            attempt: flight.attempt,
            flight: Some(flight),
            incarnation: stream.incarnation,
            frames: stream.frames,
            offset: 0,
            deadline: options.deadline,
            cancel: options.cancel,
        }
    }

    /// Fetches, from its start, the answer of an attempt that another process
    /// or an earlier connection has sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent has no answer or does not respond.
    pub async fn fetch(
        app: &Arc<App>,
        agent: &Name,
        attempt: AttemptId,
        options: ReadOptions,
    ) -> Result<Self, CallError> {
        let stream = app.agents.resume(Arc::clone(agent), attempt, 0).await?;
        Ok(Self {
            app: Arc::clone(app),
            agent: Arc::clone(agent),
            attempt,
            flight: None,
            incarnation: stream.incarnation,
            frames: stream.frames,
            offset: 0,
            deadline: options.deadline,
            cancel: options.cancel,
        })
    }

    /// Returns the address of the agent and the attempt.
    #[must_use]
    pub fn origin(&self) -> (Name, AttemptId) {
        (Arc::clone(&self.agent), self.attempt)
    }

    /// Reports to routing that the first byte has arrived.
    pub fn first_byte(&self) {
        if let Some(flight) = &self.flight {
            flight.first_byte();
        }
    }

    /// Reports the outcome of the attempt to routing.
    pub fn report(&self, outcome: crate::routing::tracker::Outcome) {
        if let Some(flight) = &self.flight {
            flight.report(outcome);
        }
    }

    /// Reads the next batch, and resumes the answer if its connection drops.
    ///
    /// # Errors
    ///
    /// Returns the last error if the answer cannot be resumed in time. The error
    /// may be [`CallError::NotSent`], which then means that the request to resume
    /// the answer was not sent. It does not prove that the attempt did not run.
    pub async fn next(&mut self) -> Result<Batch, CallError> {
        let mut failures = 0;
        loop {
            let left = self.deadline.since(self.app.now());
            let read = self.frames.read(&mut self.offset);
            let error = match tokio::time::timeout(left, read).await {
                Ok(Ok(batch)) => {
                    self.cancel &= batch.end.is_none();
                    return Ok(batch);
                }
                Ok(Err(error)) => error,
                Err(_elapsed) => {
                    return Err(CallError::Ambiguous("the deadline has passed".to_owned()));
                }
            };
            self.resume(error, &mut failures).await?;
        }
    }

    /// Resumes the answer at the offset that the entry has reached. `error` is
    /// why the last read failed. Gives up if the agent refuses or has restarted,
    /// because it then no longer has the answer.
    async fn resume(&mut self, error: CallError, failures: &mut u32) -> Result<(), CallError> {
        let mut last = error;
        while *failures < RESUME_LIMIT && self.app.now() < self.deadline {
            let resumed = self
                .app
                .agents
                .resume(Arc::clone(&self.agent), self.attempt, self.offset)
                .await;
            match resumed {
                Ok(stream) if self.is_same_incarnation(stream.incarnation) => {
                    self.frames = stream.frames;
                    // A successful resumption also counts, because resumptions
                    // that carry no data must not go on forever.
                    *failures += 1;
                    return Ok(());
                }
                Ok(_) | Err(CallError::Rejected(_)) => return Err(last),
                Err(error) => last = error,
            }
            *failures += 1;
            tokio::time::sleep(self.app.backoff(*failures)).await;
        }
        Err(last)
    }

    fn is_same_incarnation(&self, incarnation: Option<Incarnation>) -> bool {
        self.incarnation.is_none() || incarnation.is_none() || self.incarnation == incarnation
    }

    /// Reads the answer to its end. `first` is the batch that has been read
    /// already.
    ///
    /// # Errors
    ///
    /// Returns why the answer is not complete.
    pub async fn collect(&mut self, first: Batch) -> Result<CompleteAnswer, IncompleteAnswer> {
        let mut batch = first;
        let mut head = None;
        let mut body = BytesMut::new();
        loop {
            head = head.or(batch.head.take());
            body.extend_from_slice(&batch.data);
            if body.len() > ANSWER_LIMIT_BYTES {
                let reason = "the answer is longer than an entry keeps".to_owned();
                return Err(IncompleteAnswer::Lost(CallError::Ambiguous(reason)));
            }
            match (batch.end.take(), head.take()) {
                (Some(AnswerEnd::Complete(usage)), Some(head)) => {
                    let body = body.freeze();
                    return Ok(CompleteAnswer { head, body, usage });
                }
                (Some(AnswerEnd::Complete(_)), None) => {
                    let reason = "the answer has no head".to_owned();
                    return Err(IncompleteAnswer::Lost(CallError::Ambiguous(reason)));
                }
                (Some(failed), _) => return Err(IncompleteAnswer::Failed(failed)),
                (None, kept) => head = kept,
            }
            batch = self.next().await.map_err(IncompleteAnswer::Lost)?;
        }
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if !self.cancel {
            return;
        }
        let app = Arc::clone(&self.app);
        let (agent, attempt) = self.origin();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { app.agents.cancel(agent, attempt).await });
        }
    }
}
