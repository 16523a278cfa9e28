//! Hashes of a prompt's blocks, chained, as engines publish them in their cache events.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a prompt that one token takes, on average.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens of one cache block.
pub const BLOCK_TOKENS: usize = 64;
/// The most blocks that are hashed; a longer prompt's tail doesn't steer its routing.
pub const MAX_BLOCKS: usize = 256;

/// How many tokens a text takes, at least one.
#[must_use]
pub fn estimate_tokens(text: &str) -> u64 {
    u64::try_from(text.len().div_ceil(BYTES_PER_TOKEN).max(1)).unwrap_or(u64::MAX)
}

/// The chained hashes of the whole blocks of a prompt. Model, adapter and version seed the chain,
/// since a cache serves only the weights that made it.
#[must_use]
pub fn block_hashes(weights: &str, prompt: &str) -> Vec<u64> {
    let mut chain = xxh3_64_with_seed(weights.as_bytes(), 0);
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
