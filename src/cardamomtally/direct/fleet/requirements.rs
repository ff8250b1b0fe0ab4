//! What a request requires of a backend server, and why none was chosen.

use crate::{
    direct::request::prompt::Prompt, prelude::*, routing::rendezvous, site::document::Service,
};

/// What a request requires of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service that must run the request.
    pub service: &'a Service,
    /// Key that is the same for all requests of a session. It selects the
    /// version during a roll-out.
    pub session: u64,
    /// The model, if the entry or the caller has chosen one.
    pub model: Option<&'a str>,
    /// The request's prompt; empty for a plain service.
    pub prompt: Prompt,
    /// Backend servers that are excluded because this request was already sent
    /// there.
    pub tried: &'a [Name],
    /// Whether the request goes where the fewest others run, since its content may end the
    /// backend server.
    pub careful: bool,
}

impl Requirements<'_> {
    /// Returns the cache key of the shared prefix. It depends on the model,
    /// since each model has a cache of its own.
    pub(super) fn prefix_key(&self) -> Option<u64> {
        let prefix = self.prompt.prefix?;
        Some(prefix ^ self.model.map_or(0, rendezvous::seed))
    }
}

/// Why no backend server was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoChoice {
    /// No backend server of the fleet may run the request.
    NoCandidate,
    /// Every backend server that may run the request has an open circuit
    /// breaker, or takes no request of this entry yet, since it is cold or names a
    /// limit.
    Busy,
    /// Every backend server that may run the request, also those that were tried, has
    /// asked this entry to pause. The first pause ends after this time.
    Paused(Duration),
}
