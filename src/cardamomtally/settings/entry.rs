//! Settings file of `cardamomtally-entry`, with its defaults and checks.

use super::{
    Document, Settings, checks,
    common::{HttpSettings, LogSettings, PollSettings, ProcessSettings, TimelineSettings},
    units::{Size, Span},
};
use crate::core::finding::Findings;
use serde::{Deserialize, Serialize};

/// Contents of the settings file of `cardamomtally-entry`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Identity of the process.
    pub process: ProcessSettings,
    /// HTTP listener for callers, health checks and metrics.
    #[serde(default)]
    pub http: HttpSettings,
    /// Addresses and timing of polls to the control members.
    pub control: PollSettings,
    /// Request headers, idempotency keys and sessions of callers.
    #[serde(default)]
    pub callers: CallerSettings,
    /// Retries, deadlines and timeouts.
    #[serde(default)]
    pub retry: RetrySettings,
    /// Choice of a backend server for each attempt.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// Service that rates answers.
    #[serde(default)]
    pub rating: RatingSettings,
    /// Level and format of log lines.
    #[serde(default)]
    pub log: LogSettings,
    /// Storage of events for the time line.
    #[serde(default)]
    pub timeline: TimelineSettings,
}

impl Settings for EntrySettings {
    const EXAMPLE: &'static str = include_str!("../../../examples/entry.toml");

    fn check(&self, document: &Document<'_>, findings: &mut Findings) {
        checks::process(&self.process, document, findings);
        checks::http(&self.http, document, findings);
        checks::poll(&self.control, document, findings);
        checks::ratio(self.retry.budget, "retry.budget", document, findings);
        checks::ratio(self.rating.sample, "rating.sample", document, findings);
        checks::nonzero_count(
            self.retry.attempts.into(),
            "retry.attempts",
            document,
            findings,
        );
        checks::nonzero_count(
            self.routing.subset as u64,
            "routing.subset",
            document,
            findings,
        );
        checks::nonzero_count(
            self.routing.probe_pool as u64,
            "routing.probe_pool",
            document,
            findings,
        );
        checks::at_least(
            self.routing.load_bound,
            1.0,
            "routing.load_bound",
            document,
            findings,
        );
        checks::at_least(
            self.routing.probe_rate,
            0.0,
            "routing.probe_rate",
            document,
            findings,
        );
        checks::not_longer_than(
            (self.retry.backoff, "retry.backoff"),
            (self.retry.backoff_limit, "retry.backoff_limit"),
            document,
            findings,
        );
        checks::optional_url(self.rating.url.as_deref(), "rating.url", document, findings);
    }
}

/// Request headers, idempotency keys and sessions of callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// Header in which a caller sends the idempotency key.
    pub key_header: String,
    /// Header in which a caller sends the session id.
    pub session_header: String,
    /// Response header that contains the request id.
    pub request_header: String,
    /// Whether the entry derives the idempotency key of a non-idempotent request
    /// from its method, path and body if the caller sends no key. If not, the entry
    /// refuses such a request.
    pub derive_key: bool,
    /// How long the ledger keeps the claim of an idempotency key. During that
    /// time, a repeated submission gets the first answer.
    pub claim_ttl: Span,
    /// Largest answer body that is stored in a claim. For a longer answer, the
    /// claim stores the digest without the body.
    pub answer_limit: Size,
    /// How long the ledger keeps the model version of a session after the session
    /// was renewed. An entry renews a session at the first request that it serves
    /// once half of this time has passed.
    pub session_ttl: Span,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            key_header: "Idempotency-Key".to_owned(),
            session_header: "X-Session-Id".to_owned(),
            request_header: "X-Request-Id".to_owned(),
            derive_key: false,
            claim_ttl: Span::secs(24 * 3_600),
            answer_limit: Size(4 << 10),
            session_ttl: Span::secs(3_600),
        }
    }
}

/// Retries, deadlines and timeouts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Longest time from the receipt of a request's complete body to the last byte
    /// of its answer.
    pub deadline: Span,
    /// Most attempts, including the first, until an answer starts. If an answer
    /// breaks off before the caller got any of it, the entry counts the attempts
    /// anew, and gives up once this many answers have broken off. For a request
    /// that must not be repeated, this is the limit on all its attempts.
    pub attempts: u32,
    /// Retry budget: retries allowed for each request on average, from 0 to 1.
    pub budget: f64,
    /// Backoff before the first retry. The backoff doubles with each retry and has
    /// jitter.
    pub backoff: Span,
    /// Upper limit of the backoff.
    pub backoff_limit: Span,
    /// Timeout of a connection attempt to an agent.
    pub connect_timeout: Span,
    /// Longest wait for the head of an answer, and longest time without data in an
    /// answer. Without a head, the entry asks the agent for the state of the
    /// attempt. Without further data, the entry resumes the answer over a new
    /// connection.
    pub idle_timeout: Span,
    /// Time without an answer after which the entry sends a second copy of an
    /// idempotent call to a plain service, if the retry budget allows it, and uses
    /// the answer that arrives first. Without a value, calls are not hedged.
    pub hedge: Option<Span>,
    /// How long the entry waits for another entry to settle the claim of a
    /// submission that was sent again. After that, the entry asks the agent of the
    /// claimed attempt.
    pub claim_grace: Span,
    /// How long the entry keeps asking an agent about an attempt if the agent does
    /// not answer.
    pub ask_wait: Span,
    /// Longest time for an operation on the ledger, including retries. After that,
    /// the entry refuses a request that needs a claim, and leaves a bill to the
    /// agents.
    pub ledger_wait: Span,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            deadline: Span::secs(120),
            attempts: 4,
            budget: 0.2,
            backoff: Span::ms(20),
            backoff_limit: Span::secs(1),
            connect_timeout: Span::ms(500),
            idle_timeout: Span::secs(10),
            hedge: None,
            claim_grace: Span::secs(1),
            ask_wait: Span::secs(5),
            ledger_wait: Span::secs(2),
        }
    }
}

/// Choice of a backend server for each attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// Number of backend servers of a version to which this entry sends attempts.
    /// The entry uses others only if none of these can take the attempt.
    pub subset: usize,
    /// Number of probe answers to keep. Only validated: routing does not read this
    /// setting.
    pub probe_pool: usize,
    /// Average number of load probes for each request. A fraction is sent at
    /// random with that probability.
    pub probe_rate: f64,
    /// Age after which a load report is no longer used.
    pub probe_age: Span,
    /// Load bound of the affinity choice, as a multiple of the mean load. If the
    /// preferred backend server is loaded above the bound, the entry chooses by
    /// load instead. The value must be 1 or more.
    pub load_bound: f64,
    /// Number of leading bytes of a prompt that identify its prefix. Requests with
    /// the same prefix prefer the same backend server.
    pub prefix: Size,
    /// Consecutive errors after which the circuit breaker of a backend server
    /// opens.
    pub breaker_errors: u32,
    /// How long a circuit breaker first stays open before it lets a trial request
    /// through. The time doubles when the trial fails.
    pub breaker_open: Span,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            subset: 24,
            probe_pool: 16,
            probe_rate: 0.5,
            probe_age: Span::secs(2),
            load_bound: 1.25,
            prefix: Size(256),
            breaker_errors: 5,
            breaker_open: Span::secs(2),
        }
    }
}

/// Service that rates answers, so that cascades and version health can use the
/// scores.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RatingSettings {
    /// URL of the rating service. Without a URL, answers are not rated.
    pub url: Option<String>,
    /// Fraction of answers that are rated, from 0 to 1.
    pub sample: f64,
    /// Timeout of one call to the rating service.
    pub timeout: Span,
}

impl Default for RatingSettings {
    fn default() -> Self {
        Self {
            url: None,
            sample: 0.05,
            timeout: Span::secs(2),
        }
    }
}
