//! What remains of an answer of which its caller may have received a part.
//!
//! All estimates of an answer start from here (its pace, its length, its demand, what must be prefilled), so that none
//! takes the rest for the whole. See `docs/DESIGN.md#what-remains-of-a-stream`.

use crate::{Micros, prompt::Prompt, to_f64};

/// An answer that has outgrown its expected length is expected to grow by this fraction (1/n) of what there is of it.
const OVERRUN_DIVISOR: u64 = 4;

/// What remains of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remainder {
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Length of the part of the answer that the caller has received.
    pub received_tokens: u64,
    /// Expected length of the rest of the answer, at least one token.
    pub expected_output_tokens: u64,
    /// Whether the caller says how long the answer will be. Otherwise its maximum is taken for its length, which many
    /// callers set far too high.
    pub has_length_hint: bool,
}

impl Remainder {
    /// Returns what remains of the answer to a prompt after `received_tokens`.
    #[must_use]
    pub fn new(prompt: &Prompt, received_tokens: u64) -> Self {
        let expected = prompt.expected_output_tokens();
        let rest = expected.saturating_sub(received_tokens);
        let overrun = received_tokens / OVERRUN_DIVISOR;
        let limit = prompt.max_output_tokens.saturating_sub(received_tokens);
        Self {
            prompt_tokens: prompt.tokens,
            received_tokens,
            expected_output_tokens: rest.max(overrun).min(limit).max(1),
            has_length_hint: prompt.output_tokens_hint.is_some(),
        }
    }

    /// Returns the highest inter-token latency, in microseconds, at which the rest is decoded within `time_left`.
    #[must_use]
    pub fn max_inter_token_latency_us(&self, time_left: Micros) -> f64 {
        to_f64(time_left) / to_f64(self.expected_output_tokens)
    }
}
