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
}
