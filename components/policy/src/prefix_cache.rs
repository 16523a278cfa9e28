//! Which parts of prompts an engine likely still holds, told from what was sent there.
//!
//! An engine keeps the parts that it used last, as far as its memory goes. So a part is likely still
//! held if less than the engine's memory has passed through it since the part was last used.

use crate::{Micros, prompt::Part};

/// The part of an engine's memory that is counted on for parts that nobody uses just now; the rest is
/// taken by requests under way, which can't yield.
const USABLE_PERCENT: u64 = 80;
const PERCENT: u64 = 100;
/// The most parts remembered of an engine; older ones are forgotten first.
const MAX_PARTS: usize = 4_096;

/// A part that was used at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CachedPart {
    key: u64,
    /// What had passed through the engine when it was last used.
    last_used: u64,
    /// When it has been read, by expectation.
    cached_at: Micros,
}

/// The parts of one engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixCache {
    /// Tokens that its memory holds.
    capacity_tokens: u64,
    /// Tokens that have passed through it so far.
    processed_tokens: u64,
    /// Parts, sorted by key.
    parts: Vec<CachedPart>,
}

impl PrefixCache {
    /// An empty memory of so many tokens.
    #[must_use]
    pub fn new(tokens: u64) -> Self {
        let mut memory = Self::default();
        memory.resize(tokens);
        memory
    }

    /// Takes that it holds so many tokens, whatever was thought before.
    pub fn resize(&mut self, tokens: u64) {
        self.capacity_tokens = tokens * USABLE_PERCENT / PERCENT;
    }

    /// Tokens of a prompt that it likely holds, or will when its turn comes there: the parts up to the first one
    /// that it lacks.
    #[must_use]
    pub fn cached_tokens(&self, parts: &[Part]) -> u64 {
        self.count_leading_tokens(parts, |used| self.is_cached(used))
    }

    /// Tokens of a prompt that others can fetch there now: what is still being read can't be.
    #[must_use]
    pub fn fetchable_tokens(&self, parts: &[Part], now: Micros) -> u64 {
        self.count_leading_tokens(parts, |used| self.is_cached(used) && used.cached_at <= now)
    }

    /// Notes that a prompt was used there, whose parts will have been read at a time unless they were before.
    pub fn record_use(&mut self, parts: &[Part], read_at: Micros) {
        let held = self.cached_tokens(parts);
        let all: u64 = parts.iter().map(|part| part.tokens).sum();
        self.processed_tokens += all - held;
        let mut before = 0;
        for part in parts {
            before += part.tokens;
            let passed = self.processed_tokens;
            match self.parts.binary_search_by_key(&part.key, |used| used.key) {
                Ok(at) => {
                    let used = &mut self.parts[at];
                    used.last_used = passed;
                    if before > held {
                        used.cached_at = read_at;
                    }
                }
                Err(at) => {
                    let used = CachedPart {
                        key: part.key,
                        last_used: passed,
                        cached_at: read_at,
                    };
                    self.parts.insert(at, used);
                }
            }
        }
        if self.parts.len() > MAX_PARTS {
            self.evict();
        }
    }

    /// Notes that everything was lost, as after a restart.
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
        let at = self.parts.binary_search_by_key(&key, |used| used.key);
        at.ok().map(|at| &self.parts[at])
    }

    fn is_cached(&self, used: &CachedPart) -> bool {
        self.processed_tokens - used.last_used < self.capacity_tokens
    }

    fn evict(&mut self) {
        let (passed, capacity) = (self.processed_tokens, self.capacity_tokens);
        self.parts.retain(|used| passed - used.last_used < capacity);
        if self.parts.len() > MAX_PARTS {
            let mut ages: Vec<u64> = self.parts.iter().map(|used| used.last_used).collect();
            ages.sort_unstable();
            let oldest = ages[ages.len() / 2];
            self.parts.retain(|used| used.last_used > oldest);
        }
    }
}
