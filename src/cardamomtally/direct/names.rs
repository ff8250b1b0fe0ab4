//! Names of the headers between callers, entries and backend servers.

use http::HeaderName;

/// Header names; a site with other callers has others.
#[derive(Clone, Debug)]
pub struct Names {
    /// The caller's id of one attempt, echoed by whoever answers it.
    pub attempt: HeaderName,
    /// Milliseconds that the caller, or the entry, still waits.
    pub deadline: HeaderName,
    /// The caller's key. Not passed on.
    pub key: HeaderName,
    /// The workspace of the key, set by the entry.
    pub workspace: HeaderName,
    /// The run of the backend server that must answer, set by the entry.
    pub instance: HeaderName,
    /// Says in an answer that the request was not executed.
    pub unexecuted: HeaderName,
    /// Shows in an answer that a backend server made it.
    pub signature: HeaderName,
    /// Load of the backend server: running, waiting, slots.
    pub load: HeaderName,
    /// Rank of the request among those waiting, 0 first, set by the entry.
    pub priority: HeaderName,
    /// The model that answers.
    pub model: HeaderName,
    /// The answer's own confidence, 0 to 100.
    pub confidence: HeaderName,
    /// Parts of the prompt, as `id:tokens` with commas.
    pub prefix: HeaderName,
    /// Tokens of the prompt and most tokens of the answer.
    pub tokens: HeaderName,
    /// The session that the request belongs to.
    pub session: HeaderName,
    /// The last event that the caller has.
    pub last_event: HeaderName,
    /// Headers that only the entry may set; a caller's are dropped.
    pub reserved: Vec<HeaderName>,
}

impl Default for Names {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            attempt: name("cardamomtally-attempt"),
            deadline: name("cardamomtally-deadline"),
            key: name("cardamomtally-key"),
            workspace: name("cardamomtally-workspace"),
            instance: name("cardamomtally-instance"),
            unexecuted: name("cardamomtally-unexecuted"),
            signature: name("cardamomtally-signature"),
            load: name("cardamomtally-load"),
            priority: name("cardamomtally-priority"),
            model: name("cardamomtally-model"),
            confidence: name("cardamomtally-confidence"),
            prefix: name("cardamomtally-prefix"),
            tokens: name("cardamomtally-tokens"),
            session: name("cardamomtally-session"),
            last_event: name("last-event-id"),
            reserved: Vec::new(),
        }
    }
}
