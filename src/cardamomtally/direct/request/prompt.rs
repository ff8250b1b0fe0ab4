//! A request's prompt, as far as the choice of a backend server needs it.

/// The length of a request's prompt, and the prefix that it shares with others.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prompt {
    /// Identity of the prefix that the prompt shares with other prompts, if
    /// any.
    pub prefix: Option<u64>,
    /// Number of tokens in the shared prefix.
    pub shared: u32,
    /// Number of tokens after the shared prefix.
    pub own: u32,
    /// Expected number of output tokens; 0 if it is not known.
    pub output: u32,
}

impl Prompt {
    /// Returns the prompt with an expected number of output tokens.
    #[must_use]
    pub const fn with_output(self, output: u32) -> Self {
        Self { output, ..self }
    }
}
