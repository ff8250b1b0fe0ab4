//! Decides whether a larger model answers instead of the one that has begun.

use super::StreamRelay;
use crate::{
    direct::{app::Quote, fleet::registry::Choice, link::attempt, serve::escalate},
    scheduling::escalation::Verdict,
};
use http::response::Parts;
use std::sync::atomic::Ordering;

impl StreamRelay {
    /// Decides by the answer's confidence whether a larger model answers
    /// instead. If so, a backend server is reserved for it and becomes the next
    /// attempt. `work` is the time that the backend server has spent on the prompt,
    /// in milliseconds.
    pub(super) fn escalate_to_larger(&mut self, parts: &Parts, work: f64) -> bool {
        let confidence = attempt::parse_confidence(&self.app.names, &parts.headers);
        let is_first = self.model_index == escalate::first(self.call.route.cascade.len());
        if self.events == 0 && is_first {
            self.app.record_first_answer(&self.call, confidence, work);
        }
        if !self.call.any_model || self.events > 0 || self.retries.runs >= self.call.route.attempts
        {
            return false;
        }
        let (larger, quote) = self.reserve_larger(confidence);
        let next = larger.as_ref().map(|(model_index, _)| *model_index);
        self.app
            .log_confidence(&self.call, self.model_index, confidence, next, quote);
        let Some((model_index, choice)) = larger else {
            return false;
        };
        self.model_index = model_index;
        self.reserved = Some(choice);
        true
    }

    /// Chooses a backend server for the larger model, if the confidence is low
    /// enough for the time that remains, the answer is worth the work that it
    /// displaces, and the retry budget allows an escalation. Also returns what
    /// the escalation would cost, if overload control is active.
    fn reserve_larger(&self, confidence: Option<f64>) -> (Option<(usize, Choice)>, Option<Quote>) {
        let models = self.call.route.cascade.len();
        // During a planned stop nothing is escalated: the larger model's answer
        // might not end before the process does.
        let considered = !self.app.stopping.load(Ordering::Acquire)
            && escalate::should_escalate(confidence, 0.0);
        let next = escalate::next_model(self.model_index, models).filter(|_| considered);
        let Some(model_index) = next else {
            return (None, None);
        };
        let quote = self.quote(model_index, confidence);
        if quote.is_some_and(|quote| quote.verdict != Verdict::Allowed) {
            return (None, quote);
        }
        (self.choose_larger(model_index, confidence), quote)
    }

    /// Returns what an escalation to the model at the given place of the
    /// cascade costs, if overload control is active.
    fn quote(&self, model_index: usize, confidence: Option<f64>) -> Option<Quote> {
        self.app.scheduling.as_ref()?;
        let config = self.app.config.current();
        let wanted = self.requirements(model_index, &[], false);
        let outlook = self.app.registry.outlook(&config, &wanted)?;
        self.app.quote_escalation(&self.call, confidence, &outlook)
    }

    fn choose_larger(
        &self,
        model_index: usize,
        confidence: Option<f64>,
    ) -> Option<(usize, Choice)> {
        let choice = self.choose(model_index, &[], false).ok()?;
        let passed = self.app.clock.now().since(self.call.received) + choice.expected_ttft();
        let used = passed.as_secs_f64() / self.call.route.target.as_secs_f64().max(0.001);
        let goes = escalate::should_escalate(confidence, used)
            && self.app.spend_escalation(&self.call.service.name);
        goes.then_some((model_index, choice))
    }
}
