//! A prompt as far as it can be told without reading it: its parts, its length, what it asks for.

use crate::{to_f64, to_u64};

/// One part of a prompt, which others may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Names the part together with all parts before it: two prompts with the same key are the same
    /// up to the end of this part.
    pub key: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// A prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its length in tokens.
    pub tokens: u64,
    /// The most tokens that the answer may have.
    pub max_output_tokens: u64,
    /// The caller's guess of the answer's length in tokens; right in the middle, often far off.
    pub output_tokens_hint: Option<u64>,
    /// Its parts in order.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// How long the answer will be, as far as the caller says.
    #[must_use]
    pub fn expected_output_tokens(&self) -> u64 {
        self.output_tokens_hint
            .unwrap_or(self.max_output_tokens)
            .min(self.max_output_tokens)
            .max(1)
    }
}

/// How much longer a token takes to read for each token before it, as attention looks at all of them.
/// Dense models of some 30 billion weights lie between 3.8e-5 and 4.5e-5.
const ATTENTION_COST_PER_TOKEN: f64 = 4e-5;

/// The work to read the rest of a prompt of which an engine holds the beginning, in tokens that are
/// read at the beginning of a prompt.
#[must_use]
pub fn prefill_work(prompt: u64, held: u64) -> u64 {
    let held = held.min(prompt);
    let unread = to_f64(prompt - held);
    to_u64(unread * (1.0 + ATTENTION_COST_PER_TOKEN * (to_f64(held) + unread / 2.0)))
}
