//! Log lines about what an entry decides for a request, one line each.
//!
//! Lines begin with a fixed word, by which operators search: `dispatch`, `cascade`,
//! `refuse`, `statement` and `stream`.

use super::{
    app::{App, Quote},
    fleet::{registry::Choice, statement::Statement},
    link::source::StreamTiming,
    request::{call::Call, refusal::Refusal},
};
use crate::prelude::*;
use http::HeaderValue;
use slog::{KV, Record, Serializer, info, warn};
use std::sync::PoisonError;

/// Time between two log lines about ignored values of backend servers' answers.
const IGNORED_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Fields with the forecast of the time to first event, in milliseconds, and the time that has
/// passed. There are none without overload control.
struct ForecastFields {
    forecast: Option<f64>,
    actual: Duration,
}

impl KV for ForecastFields {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let Some(forecast) = self.forecast else {
            return Ok(());
        };
        serializer.emit_u64("forecast_ms", forecast as u64)?;
        serializer.emit_u64("actual_ms", self.actual.as_millis() as u64)
    }
}

impl App {
    /// Logs what changes where requests go. `leaves` tells whether the backend server
    /// leaves, and had not said so before.
    pub(super) fn log_statement(&self, choice: &Choice, statement: &Statement, leaves: bool) {
        let instance = &*choice.backend.instance;
        if leaves {
            metrics::counter!("cardamomtally_direct_statements_total", "kind" => "leaving")
                .increment(1);
            info!(self.log, "statement: leaving"; "instance" => instance);
        }
        if let Some(pause) = statement.pause {
            metrics::counter!("cardamomtally_direct_statements_total", "kind" => "paused")
                .increment(1);
            info!(self.log, "statement: paused"; "instance" => instance,
                "ms" => pause.as_millis() as u64);
        }
        if let Some(what) = statement.ignored.filter(|_| self.may_log_ignored()) {
            warn!(self.log, "statement: malformed value ignored"; "instance" => instance,
                "what" => what);
        }
    }

    /// Tells whether an ignored value is logged, at most one in [`IGNORED_LOG_INTERVAL`].
    fn may_log_ignored(&self) -> bool {
        let now = self.clock.now();
        let mut next = self
            .ignored_log
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let due = now >= *next;
        if due {
            *next = now + IGNORED_LOG_INTERVAL;
        }
        due
    }

    /// Logs the outcome of one attempt, which began at `since`.
    pub fn log_attempt(
        &self,
        call: &Call,
        choice: &Choice,
        model: Option<&str>,
        label: &str,
        since: Mono,
    ) {
        let now = self.clock.now();
        info!(self.log, "dispatch: {}", label; "request" => call.id_text(),
        "route" => &*call.route.name, "instance" => &*choice.backend.instance,
        "version" => &*choice.backend.version, "load" => choice.load,
        "backlog_ms" => choice.backlog as u64, "expected_ms" => choice.estimate.ttft as u64,
        "session" => call.session, "model" => model,
        "left_ms" => call.remaining(since).as_millis() as u64,
        "ms" => now.since(since).as_millis() as u64,
        ForecastFields {
            forecast: choice.forecast_first(),
            actual: now.since(since),
        });
    }

    /// Logs the confidence of a model's answer, and whether the next model of
    /// the cascade is asked; if overload control is active, also what that costs.
    pub fn log_confidence(
        &self,
        call: &Call,
        model_index: usize,
        confidence: Option<f64>,
        next: Option<usize>,
        quote: Option<Quote>,
    ) {
        let what = if next.is_some() { "escalated" } else { "kept" };
        let Some(quote) = quote else {
            info!(self.log, "cascade: {}", what;
                "request" => call.id_text(), "model" => model_index, "confidence" => confidence,
                "tokens" => call.tokens.0);
            return;
        };
        info!(self.log, "cascade: {}", what;
            "request" => call.id_text(), "model" => model_index, "confidence" => confidence,
            "tokens" => call.tokens.0, "verdict" => quote.verdict.as_str(),
            "price_per_ms" => quote.price, "displaced_ms" => quote.displaced);
    }

    /// Logs and counts a request that ends with an answer of the entry's own
    /// after it was accepted.
    pub fn log_refusal(&self, call: &Call, refusal: &Refusal, tried: usize) {
        metrics::counter!("cardamomtally_direct_refused_total", "verdict" => refusal.verdict.as_str())
            .increment(1);
        warn!(self.log, "refuse: {}", refusal.detail; "request" => call.id_text(),
            "route" => &*call.route.name, "status" => refusal.status.as_u16(),
            "verdict" => refusal.verdict.as_str(), "tried" => tried,
            "ms" => self.clock.now().since(call.received).as_millis() as u64);
    }

    /// Logs a request that is refused before any attempt, with the document and
    /// the lease at that time.
    pub(super) fn log_early_refusal(&self, id: Option<&HeaderValue>, refusal: &Refusal) {
        let config = self.config.current();
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("?");
        let left = config.lease_end.since(self.clock.now());
        warn!(self.log, "refuse: {}", refusal.detail; "request" => id,
            "status" => refusal.status.as_u16(), "verdict" => refusal.verdict.as_str(),
            "document" => config.document.0, "lease_ms" => left.as_millis() as u64);
    }

    /// Logs the end of a stream, or of one backend server's part of it.
    pub fn log_end(
        &self,
        call: &Call,
        why: &str,
        runs: u32,
        last: Option<u64>,
        timing: &StreamTiming,
    ) {
        info!(self.log, "stream: {}", why; "request" => call.id_text(), "runs" => runs,
            "last" => last, "first_ms" => timing.first.as_millis() as u64,
            "pause_ms" => timing.pause.as_millis() as u64,
            "ms" => self.clock.now().since(call.received).as_millis() as u64);
    }
}
