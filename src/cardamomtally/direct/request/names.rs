//! Names of the headers that callers, entries and backend servers exchange.

use http::HeaderName;

/// Header names. Sites with other callers and backend servers set their own.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The caller's id of one attempt. Whoever answers repeats it in the
    /// answer.
    pub attempt: HeaderName,
    /// Milliseconds for which the sender still waits: the caller in a request
    /// to the entry, and the entry in a request to a backend server.
    pub deadline: HeaderName,
    /// The caller's key. It is not forwarded to backend servers.
    pub key: HeaderName,
    /// The workspace that the key belongs to. Set by the entry.
    pub workspace: HeaderName,
    /// The instance of the backend server that is to answer. Set by the entry.
    pub instance: HeaderName,
    /// Present in an answer if the request was not executed.
    pub unexecuted: HeaderName,
    /// Present in an answer that was made by a backend server.
    pub signature: HeaderName,
    /// Load of the backend server in an answer, as `running,waiting,slots`.
    pub load: HeaderName,
    /// Rate of requests per second that the backend server takes from all entries
    /// together, in an answer.
    pub limit: HeaderName,
    /// `1` in an answer of a backend server that leaves and wants no new requests.
    pub leaving: HeaderName,
    /// Priority of the request among waiting ones; 0 goes first. Set by the
    /// entry.
    pub priority: HeaderName,
    /// The model that is to answer; `*` lets the entry choose it.
    pub model: HeaderName,
    /// Confidence that the model gives for its answer, from 0 to 100.
    pub confidence: HeaderName,
    /// Parts of the prompt, as `id:tokens` separated by commas.
    pub prefix: HeaderName,
    /// Number of prompt tokens and the limit of answer tokens, as `in,out`.
    pub tokens: HeaderName,
    /// The session that the request belongs to.
    pub session: HeaderName,
    /// Id of the last event that the caller has received.
    pub last_event: HeaderName,
    /// Further headers that only the entry may set. They are removed from
    /// callers' requests.
    pub reserved: Vec<HeaderName>,
}

impl Default for HeaderNames {
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
            limit: name("cardamomtally-limit"),
            leaving: name("cardamomtally-leaving"),
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
