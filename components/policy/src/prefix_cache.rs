//! Estimates which prompt parts an engine's KV cache still holds, from the prompts sent to it.
//!
//! An engine keeps the most recently used parts, as far as its KV cache has room. So a part is likely
//! still cached if the engine has prefilled fewer tokens than fit into the cache since the last use of
//! the part.

use crate::{Micros, prompt::Part};

/// Percentage of an engine's KV cache that is assumed to hold parts not in use; the rest is taken by
/// requests in flight, which can't be evicted.
const USABLE_PERCENT: u64 = 80;
const PERCENT: u64 = 100;
/// Maximum number of parts tracked per engine; above it, the least recently used are dropped, see
/// `PrefixCache::evict`.
const MAX_PARTS: usize = 4_096;

/// A part that an engine has used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CachedPart {
    key: u64,
    /// Value of [`PrefixCache::processed_tokens`] at its last use.
    last_used: u64,
    /// When its prefill is expected to be done.
    cached_at: Micros,
}

/// The parts that one engine likely holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixCache {
    /// Tokens that fit into the usable part of its KV cache.
    capacity_tokens: u64,
    /// Tokens that the engine has prefilled so far, without those that were cached.
    processed_tokens: u64,
    /// Parts, sorted by key.
    parts: Vec<CachedPart>,
}

impl PrefixCache {
    /// Creates an empty cache for an engine whose KV cache holds `kv_capacity_tokens` tokens.
    #[must_use]
    pub fn new(kv_capacity_tokens: u64) -> Self {
        let mut cache = Self::default();
        cache.resize(kv_capacity_tokens);
        cache
    }

    /// Sets the number of tokens that the engine's KV cache holds; tracked parts are kept.
    pub fn resize(&mut self, kv_capacity_tokens: u64) {
        self.capacity_tokens = kv_capacity_tokens * USABLE_PERCENT / PERCENT;
    }

    /// Returns how many leading tokens of a prompt are likely cached now, or will be by the time the
    /// engine starts on it: all parts before the first one that is missing.
    #[must_use]
    pub fn cached_tokens(&self, parts: &[Part]) -> u64 {
        self.count_leading_tokens(parts, |part| self.is_cached(part))
    }

    /// Returns how many leading tokens of a prompt other engines can fetch at `now`, which excludes
    /// parts whose prefill is not done yet.
    #[must_use]
    pub fn fetchable_tokens(&self, parts: &[Part], now: Micros) -> u64 {
        self.count_leading_tokens(parts, |part| self.is_cached(part) && part.cached_at <= now)
    }

    /// Records the use of a prompt. Its parts are cached from `cached_at` on, unless they already were.
    pub fn record_use(&mut self, parts: &[Part], cached_at: Micros) {
        let cached_tokens = self.cached_tokens(parts);
        let prompt_tokens: u64 = parts.iter().map(|part| part.tokens).sum();
        self.processed_tokens += prompt_tokens - cached_tokens;
        let mut end = 0;
        for part in parts {
            end += part.tokens;
            let last_used = self.processed_tokens;
            match self
                .parts
                .binary_search_by_key(&part.key, |known| known.key)
            {
                Ok(index) => {
                    let known = &mut self.parts[index];
                    known.last_used = last_used;
                    if end > cached_tokens {
                        known.cached_at = cached_at;
                    }
                }
                Err(index) => {
                    let new = CachedPart {
                        key: part.key,
                        last_used,
                        cached_at,
                    };
                    self.parts.insert(index, new);
                }
            }
        }
        if self.parts.len() > MAX_PARTS {
            self.evict();
        }
    }

    /// Drops all parts, as after a restart of the engine.
    pub fn clear(&mut self) {
        self.parts.clear();
    }

    fn count_leading_tokens(&self, parts: &[Part], counts: impl Fn(&CachedPart) -> bool) -> u64 {
        parts
            .iter()
            .take_while(|part| self.find(part.key).is_some_and(&counts))
            .map(|part| part.tokens)
            .sum()
    }

    fn find(&self, key: u64) -> Option<&CachedPart> {
        let index = self.parts.binary_search_by_key(&key, |part| part.key);
        index.ok().map(|index| &self.parts[index])
    }

    fn is_cached(&self, part: &CachedPart) -> bool {
        self.processed_tokens - part.last_used < self.capacity_tokens
    }

    /// Drops the parts that are no longer cached. If too many remain, also drops all whose last use was
    /// at the median or earlier: at least half of them, and more if parts of one prompt, which were last
    /// used together, lie at the median.
    fn evict(&mut self) {
        let (processed_tokens, capacity_tokens) = (self.processed_tokens, self.capacity_tokens);
        self.parts
            .retain(|part| processed_tokens - part.last_used < capacity_tokens);
        if self.parts.len() > MAX_PARTS {
            let mut last_uses: Vec<u64> = self.parts.iter().map(|part| part.last_used).collect();
            last_uses.sort_unstable();
            let median = last_uses[last_uses.len() / 2];
            self.parts.retain(|part| part.last_used > median);
        }
    }
}
