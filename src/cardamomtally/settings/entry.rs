//! Settings of an entry.

use super::{
    Document, Settings, checks,
    common::{HttpSettings, LogSettings, PollSettings, ProcessSettings, TimelineSettings},
    units::{Size, Span},
};
use crate::core::finding::Findings;
use serde::{Deserialize, Serialize};

/// Settings file of `cardamomtally-entry`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Who and where it is.
    pub process: ProcessSettings,
    /// Its HTTP listener.
    #[serde(default)]
    pub http: HttpSettings,
    /// How it reaches control.
    pub control: PollSettings,
    /// What callers send in which header.
    #[serde(default)]
    pub callers: CallerSettings,
    /// Retries and deadlines.
    #[serde(default)]
    pub retry: RetrySettings,
    /// Choice of backend server.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// The rating service.
    #[serde(default)]
    pub rating: RatingSettings,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
    /// Time line settings.
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

/// What callers send in which header.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// Header of the idempotency key.
    pub key_header: String,
    /// Header of the session.
    pub session_header: String,
    /// Header in which the request id is answered.
    pub request_header: String,
    /// Whether the key of a request that may not be repeated is derived from
    /// its body if the caller sends none.
    pub derive_key: bool,
    /// How long a claim, and so the first answer, is kept.
    pub claim_ttl: Span,
    /// Longest answer that a claim keeps.
    pub answer_limit: Size,
    /// How long a session keeps its version after its last use.
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

/// Retries and deadlines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Longest time for a request from arrival to the last byte.
    pub deadline: Span,
    /// Most attempts of a request.
    pub attempts: u32,
    /// Retries as a share of requests.
    pub budget: f64,
    /// First backoff; doubled at each retry, with jitter.
    pub backoff: Span,
    /// Longest backoff.
    pub backoff_limit: Span,
    /// Longest time to connect to an agent.
    pub connect_timeout: Span,
    /// Longest silence in an answer before the entry asks the agent.
    pub idle_timeout: Span,
    /// Time after which a repeatable call of a plain service is hedged.
    pub hedge: Option<Span>,
    /// How long a resent submission waits for the entry that holds its claim
    /// before it asks the agent.
    pub claim_grace: Span,
    /// How long an agent that does not answer is asked about an attempt.
    pub ask_wait: Span,
    /// Longest wait for the ledger.
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

/// Choice of backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// Backend servers of a version that this entry keeps to.
    pub subset: usize,
    /// Probes kept in the pool.
    pub probe_pool: usize,
    /// Probes sent for each request.
    pub probe_rate: f64,
    /// Age at which a probe is dropped.
    pub probe_age: Span,
    /// Load over the mean at which affinity gives way.
    pub load_bound: f64,
    /// Bytes of a prompt that make its prefix.
    pub prefix: Size,
    /// Errors in a row that open a breaker.
    pub breaker_errors: u32,
    /// How long a breaker stays open.
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

/// The rating service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RatingSettings {
    /// Its URL; none if there is no rating service.
    pub url: Option<String>,
    /// Share of answers that are rated.
    pub sample: f64,
    /// Longest time for one rating.
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
