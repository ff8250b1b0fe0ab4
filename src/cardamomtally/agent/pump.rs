//! Runs one attempt, from the call to the backend server to the end of its
//! answer.
//!
//! The pump sends the call and checks the request id in the answer's head before
//! it forwards anything. It appends checked bytes to the [`Answer`], resumes a
//! stream whose connection broke if the engine still holds the rest, and reports
//! to the control thread how the attempt ended. The usage record of a complete
//! answer is stored before the end of the answer is forwarded.

use super::{
    Parts,
    admission::Outcome,
    answer::{Answer, End, Head},
    attempts::State,
    usage::{UsageRecord, cost_micros},
    validation::{AnswerFormat, Checker, Fault, check_request_id},
};
use crate::{
    core::{
        claim::Bill,
        clock::Mono,
        engine::{Engine, EngineAnswer, EngineCall, EngineError},
        id::{AttemptId, RequestId},
        verdict::Verdict,
    },
    net::run::{CRASH_REASON, RunHead, Target, Usage},
};
use bytes::Bytes;
use futures::StreamExt as _;
use std::{sync::Arc, time::Duration};
use tokio::sync::Notify;

/// Maximum number of resumptions of one stream.
const MAX_RESUMPTIONS: u32 = 3;

/// Delays before a cancellation is repeated, in milliseconds.
const CANCEL_RETRY_DELAYS_MS: [u64; 2] = [100, 1_000];

/// An attempt that may start.
#[derive(Debug)]
pub struct Job {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// What the entry asks the agent to run, and for whom.
    pub head: RunHead,
    /// Body of the call.
    pub body: Bytes,
    /// Buffer for the answer.
    pub answer: Arc<Answer>,
    /// The epoch of admission control in which the attempt was started.
    pub epoch: u64,
    /// When the answer is due.
    pub deadline: Mono,
    /// Notified when the attempt is cancelled.
    pub cancel: Arc<Notify>,
}

/// How an attempt failed.
#[derive(Debug)]
enum Failure {
    Engine(EngineError),
    Fault(Fault),
    Status(u16),
    Cancelled,
    Deadline,
    /// The backend server turned cold before the call was sent.
    TurnedCold,
}

impl From<EngineError> for Failure {
    fn from(error: EngineError) -> Self {
        Self::Engine(error)
    }
}

/// Runs an attempt to its end.
pub async fn run(parts: Arc<Parts>, job: Job) {
    let started = parts.clock.now();
    let mut run = Run {
        parts: &parts,
        job: &job,
        started,
        head_received: false,
        awaiting_body: true,
        checker: None,
    };
    let outcome = run.execute().await;
    match outcome {
        Ok(usage) => run.succeed(usage).await,
        Err(failure) => run.fail(failure).await,
    }
}

struct Run<'a> {
    parts: &'a Parts,
    job: &'a Job,
    started: Mono,
    /// Whether the backend server has sent a head with this request's id.
    head_received: bool,
    /// Whether no byte of the body has arrived yet.
    awaiting_body: bool,
    checker: Option<Checker>,
}

impl Run<'_> {
    async fn execute(&mut self) -> Result<Usage, Failure> {
        if self.parts.coordinator.view().epoch != self.job.epoch {
            return Err(Failure::TurnedCold);
        }
        let answer = self
            .unless_interrupted(self.parts.engine.call(self.call()))
            .await??;
        self.accept_head(&answer)?;
        let mut body = answer.body;
        let mut resumptions = 0;
        loop {
            match self.read(&mut body).await {
                Ok(usage) => return Ok(usage),
                Err(failure) if self.may_resume(&failure) && resumptions < MAX_RESUMPTIONS => {
                    resumptions += 1;
                    body = self.resume(failure).await?;
                }
                Err(failure) => return Err(failure),
            }
        }
    }

    fn call(&self) -> EngineCall {
        let head = &self.job.head;
        EngineCall {
            request: self.job.attempt.request,
            attempt: self.job.attempt,
            method: head.method.as_ref().to_owned(),
            path: head.path.as_ref().to_owned(),
            media: head.media.as_deref().map(ToOwned::to_owned),
            body: self.job.body.clone(),
            priority: head.priority,
        }
    }

    /// Waits for a future, unless the attempt is cancelled or its deadline
    /// passes. A request that may not be repeated is never interrupted.
    async fn unless_interrupted<T>(&self, future: impl Future<Output = T>) -> Result<T, Failure> {
        if !self.job.head.repeatable {
            return Ok(future.await);
        }
        let left = self.job.deadline.since(self.parts.clock.now());
        tokio::select! {
            biased;
            () = self.job.cancel.notified() => Err(Failure::Cancelled),
            done = future => Ok(done),
            () = tokio::time::sleep(left) => Err(Failure::Deadline),
        }
    }

    fn accept_head(&mut self, answer: &EngineAnswer) -> Result<(), Failure> {
        let target = &self.job.head.target;
        let request = self.job.attempt.request;
        let checked_id = check_request_id(target, request, answer.echoed.as_deref());
        if answer.status >= 500 && matches!(target, Target::Version(_)) {
            self.head_received = checked_id.is_ok();
            return Err(Failure::Status(answer.status));
        }
        checked_id.map_err(Failure::Fault)?;
        self.head_received = true;
        let format = AnswerFormat::of(target, answer.status, &answer.media);
        self.checker = Some(Checker::new(format, request));
        self.job.answer.set_head(Head {
            status: answer.status,
            media: answer.media.as_str().into(),
        });
        Ok(())
    }

    async fn read(
        &mut self,
        body: &mut futures::stream::BoxStream<'static, Result<Bytes, EngineError>>,
    ) -> Result<Usage, Failure> {
        loop {
            let next = self.unless_interrupted(body.next()).await?;
            match next {
                Some(Ok(bytes)) => self.forward(&bytes).await?,
                Some(Err(error)) if self.is_done() => drop(error),
                Some(Err(error)) => return Err(Failure::Engine(error)),
                None => return self.finish().await,
            }
            if self.is_done() {
                return self.finish().await;
            }
        }
    }

    fn is_done(&self) -> bool {
        self.checker.as_ref().is_some_and(Checker::is_done)
    }

    async fn forward(&mut self, bytes: &Bytes) -> Result<(), Failure> {
        let Some(checker) = &mut self.checker else {
            return Ok(());
        };
        let passed = checker.push(bytes).map_err(Failure::Fault)?;
        let is_stream = checker.format() == AnswerFormat::Stream;
        if self.awaiting_body && is_stream && !passed.is_empty() {
            self.awaiting_body = false;
            let delay = self.parts.clock.now().since(self.started);
            self.parts
                .coordinator
                .on_first_token(self.job.attempt, delay);
        }
        self.push(passed).await
    }

    async fn push(&self, bytes: Bytes) -> Result<(), Failure> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.unless_interrupted(self.job.answer.push(bytes)).await
    }

    async fn finish(&mut self) -> Result<Usage, Failure> {
        let Some(checker) = &mut self.checker else {
            return Err(Failure::Fault(Fault::Truncated));
        };
        let last = checker.finish().map_err(Failure::Fault)?;
        let usage = checker.usage();
        self.push(last).await?;
        Ok(usage)
    }

    /// Returns whether a failed answer is a stream that broke off, of which the
    /// engine may still hold the rest.
    fn may_resume(&self, failure: &Failure) -> bool {
        let is_stream = self
            .checker
            .as_ref()
            .is_some_and(|checker| checker.format() == AnswerFormat::Stream);
        let is_broken = matches!(
            failure,
            Failure::Engine(EngineError::Broken(_)) | Failure::Fault(Fault::Truncated)
        );
        is_stream && is_broken
    }

    async fn resume(
        &mut self,
        failure: Failure,
    ) -> Result<futures::stream::BoxStream<'static, Result<Bytes, EngineError>>, Failure> {
        let Some(checker) = &mut self.checker else {
            return Err(failure);
        };
        // Admission control must learn of a possible cold restart now, not after
        // the resumption.
        self.parts.coordinator.on_early_close();
        checker.resume();
        let offset = checker.events();
        let request = self.job.attempt.request;
        let call = self.parts.engine.resume(request, offset);
        let Ok(answer) = self.unless_interrupted(call).await? else {
            return Err(failure);
        };
        let target = &self.job.head.target;
        check_request_id(target, request, answer.echoed.as_deref()).map_err(Failure::Fault)?;
        if AnswerFormat::of(target, answer.status, &answer.media) != AnswerFormat::Stream {
            return Err(failure);
        }
        slog::info!(self.parts.log, "stream: resumed at the engine";
            "attempt" => %self.job.attempt, "event" => offset);
        Ok(answer.body)
    }

    async fn succeed(&self, usage: Usage) {
        if let Some(bill) = self.bill(usage) {
            let attempt = self.job.attempt;
            self.parts.records.add(UsageRecord { attempt, bill }).await;
        }
        self.report_end(Outcome::Success, State::Ended);
        self.job.answer.finish(End::Complete(usage));
    }

    /// Returns the bill of a complete answer. A model's answer that reports no
    /// tokens, such as an error answer, is not billed.
    fn bill(&self, usage: Usage) -> Option<Bill> {
        let head = &self.job.head;
        let (Target::Version(target) | Target::Service(target)) = &head.target;
        let is_model = matches!(head.target, Target::Version(_));
        if is_model && usage == Usage::default() {
            return None;
        }
        let snapshot = Arc::clone(&self.parts.lease.held().snapshot);
        let version = snapshot.version(target);
        let cost = version.map_or(0.0, |key| snapshot.versions[key].cost);
        Some(Bill {
            request: self.job.attempt.request,
            partner: Arc::clone(&head.partner),
            workspace: Arc::clone(&head.workspace),
            version: target.clone(),
            prompt_tokens: usage.prompt,
            completion_tokens: usage.completion,
            cost_micros: cost_micros(cost, usage.prompt + usage.completion),
        })
    }

    async fn fail(&self, failure: Failure) {
        let attempt = self.job.attempt;
        let verdict = self.verdict(&failure);
        let cancelled = matches!(failure, Failure::Cancelled);
        let state = if verdict == Verdict::NotRun {
            State::NotRun
        } else {
            State::Unknown
        };
        let (outcome, reason, blame) = match failure {
            Failure::Engine(error) => self.classify(&error).await,
            Failure::Fault(Fault::Truncated) => {
                // A backend server that crashes may still close its connections
                // in order, which looks like a truncated answer.
                let broken = EngineError::Broken(Fault::Truncated.to_string());
                self.classify(&broken).await
            }
            Failure::Fault(fault) => {
                self.check_crash(fault.to_string(), is_version_fault(fault))
                    .await
            }
            Failure::Status(status) => {
                // Of the 5xx statuses, only 500 counts against the version.
                let reason = format!("the backend server answered {status}");
                self.check_crash(reason, status == 500).await
            }
            Failure::Cancelled => (
                Outcome::Cancelled,
                "the attempt was cancelled".into(),
                false,
            ),
            Failure::TurnedCold => {
                let reason = "the backend server has turned cold";
                (Outcome::Cancelled, reason.into(), false)
            }
            Failure::Deadline => (
                Outcome::Error,
                "the time for the answer ran out".into(),
                false,
            ),
        };
        if self.job.head.repeatable && verdict != Verdict::NotRun {
            self.cancel_engine(cancelled).await;
        }
        slog::info!(self.parts.log, "attempt: failed";
            "attempt" => %attempt, "verdict" => %verdict, "reason" => &reason);
        self.parts
            .events
            .record("attempt", &format!("request {}", attempt.request), &reason);
        self.report_end(outcome, state);
        if reason == CRASH_REASON {
            // Control must learn of the crash before the entry retries.
            self.parts.refresh_config().await;
        }
        self.job.answer.finish(End::Failed {
            verdict,
            reason: reason.into(),
            blame,
        });
    }

    fn verdict(&self, failure: &Failure) -> Verdict {
        match failure {
            Failure::TurnedCold => Verdict::NotRun,
            Failure::Engine(EngineError::NotSent(_)) if !self.head_received => Verdict::NotRun,
            _ if self.head_received => Verdict::Ran,
            _ => Verdict::Unknown,
        }
    }

    async fn classify(&self, error: &EngineError) -> (Outcome, String, bool) {
        match error {
            EngineError::NotSent(_) | EngineError::Broken(_) => {
                let crashed = self.parts.coordinator.on_disconnect(self.job.attempt).await;
                let sent = !matches!(error, EngineError::NotSent(_));
                let reason = if crashed && sent {
                    CRASH_REASON.to_owned()
                } else {
                    error.to_string()
                };
                (Outcome::Disconnected, reason, false)
            }
            EngineError::Timeout(_) | EngineError::Fenced { .. } => {
                (Outcome::Error, error.to_string(), false)
            }
        }
    }

    /// Handles an error that a crash may have caused.
    async fn check_crash(&self, reason: String, blame: bool) -> (Outcome, String, bool) {
        if self.parts.coordinator.check_crash(self.job.attempt).await {
            return (Outcome::Disconnected, CRASH_REASON.to_owned(), false);
        }
        (Outcome::Error, reason, blame)
    }

    /// Cancels the request at the engine. If the caller cancelled and the engine
    /// may not have received the request yet, the cancellation is repeated. After
    /// other failures the entry may retry the request here, so a late
    /// cancellation would hit the retry.
    async fn cancel_engine(&self, cancelled: bool) {
        if !matches!(self.job.head.target, Target::Version(_)) {
            return;
        }
        let request = self.job.attempt.request;
        // If the cancellation is lost, the engine only generates tokens that
        // nobody reads.
        let _lost = self.parts.engine.cancel(request).await;
        if cancelled && !self.head_received {
            let engine = Arc::clone(&self.parts.engine);
            tokio::spawn(repeat_cancel(engine, request));
        }
    }

    fn report_end(&self, outcome: Outcome, state: State) {
        let took: Duration = self.parts.clock.now().since(self.started);
        metrics::histogram!("cardamomtally_agent_attempt_seconds").record(took.as_secs_f64());
        self.parts
            .coordinator
            .on_end(self.job.attempt, outcome, state);
    }
}

/// Returns whether a fault is the version's rather than the backend server's.
const fn is_version_fault(fault: Fault) -> bool {
    matches!(fault, Fault::Malformed | Fault::MissingId)
}

/// Repeats a cancellation that may have arrived before the request that it
/// cancels.
async fn repeat_cancel(engine: Arc<dyn Engine>, request: RequestId) {
    for delay_ms in CANCEL_RETRY_DELAYS_MS {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        // If the cancellation is lost, the engine only generates tokens that
        // nobody reads.
        let _lost = engine.cancel(request).await;
    }
}
