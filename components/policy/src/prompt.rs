//! What is known of a prompt without tokenising it: its parts, its length and the requested output.

use crate::{to_f64, to_u64};

/// A part of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifies the part, wherever it stands in a prompt, and the model that reads it.
    pub key: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// A prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Length in tokens.
    pub tokens: u64,
    /// Maximum length of the answer.
    pub max_output_tokens: u64,
    /// The caller's estimate of the answer's length: correct in the median, often far off for one request.
    pub output_tokens_hint: Option<u64>,
    /// The parts in order.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns the keys of the parts that other prompts may have: the last one belongs to this request or its session.
    pub fn shared_parts(&self) -> impl Iterator<Item = u64> {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.key)
    }

    /// Returns the expected length of the whole answer, as far as the caller says.
    #[must_use]
    pub fn expected_output_tokens(&self) -> u64 {
        self.output_tokens_hint
            .unwrap_or(self.max_output_tokens)
            .min(self.max_output_tokens)
            .max(1)
    }
}

/// Relative increase of a token's prefill time per token before it, as attention covers all of them. For
/// dense models of about 30 billion parameters it is 3.8e-5 to 4.5e-5.
const ATTENTION_COST_PER_TOKEN: f64 = 4e-5;

/// Returns the work to prefill the rest of a prompt whose first `cached_tokens` an engine holds. One
/// unit is the work for one token at the beginning of a prompt.
#[must_use]
pub fn prefill_work(prompt_tokens: u64, cached_tokens: u64) -> u64 {
    let cached_tokens = cached_tokens.min(prompt_tokens);
    let uncached_tokens = to_f64(prompt_tokens - cached_tokens);
    to_u64(
        uncached_tokens
            * (1.0 + ATTENTION_COST_PER_TOKEN * (to_f64(cached_tokens) + uncached_tokens / 2.0)),
    )
}
