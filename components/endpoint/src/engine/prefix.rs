//! Chained hashes of the blocks of a prompt, as engines publish them in their cache events.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Average number of prompt bytes per token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in one cache block.
pub const BLOCK_TOKENS: usize = 64;
/// Maximum number of blocks that are hashed; the rest of a longer prompt does not affect routing.
pub const MAX_BLOCKS: usize = 256;

/// Estimates the number of tokens in a text; at least one.
#[must_use]
pub fn estimate_tokens(text: &str) -> u64 {
    u64::try_from(text.len().div_ceil(BYTES_PER_TOKEN).max(1)).unwrap_or(u64::MAX)
}

/// Returns the chained hashes of the complete blocks of a prompt. `model_id` (model, adapter and version) seeds the
/// chain, since a cached block is valid only for the weights that produced it.
#[must_use]
pub fn block_hashes(model_id: &str, prompt: &str) -> Vec<u64> {
    let mut chain = xxh3_64_with_seed(model_id.as_bytes(), 0);
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN)
        .take(MAX_BLOCKS)
        .map(|block| {
            chain = xxh3_64_with_seed(block, chain);
            chain
        })
        .collect()
}
