//! Which parts of prompts an engine likely still holds, told from what was sent there.
//!
//! An engine keeps the parts that it used last, as far as its memory goes. So a part is likely still
//! held if less than the engine's memory has passed through it since the part was last used.

use crate::{Micros, prompt::Part};

/// The part of an engine's memory that is counted on for parts that nobody uses just now; the rest is
/// taken by requests under way, which can't yield.
const FREE: u64 = 80;
const PERCENT: u64 = 100;
/// The most parts remembered of an engine; older ones are forgotten first.
const MOST: usize = 4_096;

/// A part that was used at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Used {
    key: u64,
    /// What had passed through the engine when it was last used.
    passed: u64,
    /// When it has been read, by expectation.
    read_at: Micros,
}

/// The parts of one engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Memory {
    /// Tokens that its memory holds.
    capacity: u64,
    /// Tokens that have passed through it so far.
    passed: u64,
    /// Parts, sorted by key.
    parts: Vec<Used>,
}

impl Memory {
    /// An empty memory of so many tokens.
    #[must_use]
    pub fn new(tokens: u64) -> Self {
        let mut memory = Self::default();
        memory.resize(tokens);
        memory
    }

    /// Takes that it holds so many tokens, whatever was thought before.
    pub fn resize(&mut self, tokens: u64) {
        self.capacity = tokens * FREE / PERCENT;
    }

    /// Tokens of a prompt that it likely holds, or will when its turn comes there: the parts up to the first one
    /// that it lacks.
    #[must_use]
    pub fn held(&self, parts: &[Part]) -> u64 {
        self.leading(parts, |used| self.holds(used))
    }

    /// Tokens of a prompt that others can fetch there now: what is still being read can't be.
    #[must_use]
    pub fn fetchable(&self, parts: &[Part], now: Micros) -> u64 {
        self.leading(parts, |used| self.holds(used) && used.read_at <= now)
    }

    /// Notes that a prompt was used there, whose parts will have been read at a time unless they were before.
    pub fn used(&mut self, parts: &[Part], read_at: Micros) {
        let held = self.held(parts);
        let all: u64 = parts.iter().map(|part| part.tokens).sum();
        self.passed += all - held;
        let mut before = 0;
        for part in parts {
            before += part.tokens;
            let passed = self.passed;
            match self.parts.binary_search_by_key(&part.key, |used| used.key) {
                Ok(at) => {
                    let used = &mut self.parts[at];
                    used.passed = passed;
                    if before > held {
                        used.read_at = read_at;
                    }
                }
                Err(at) => {
                    let used = Used {
                        key: part.key,
                        passed,
                        read_at,
                    };
                    self.parts.insert(at, used);
                }
            }
        }
        if self.parts.len() > MOST {
            self.forget();
        }
    }

    /// Notes that everything was lost, as after a restart.
    pub fn clear(&mut self) {
        self.parts.clear();
    }

    fn leading(&self, parts: &[Part], counts: impl Fn(&Used) -> bool) -> u64 {
        parts
            .iter()
            .take_while(|part| self.find(part.key).is_some_and(&counts))
            .map(|part| part.tokens)
            .sum()
    }

    fn find(&self, key: u64) -> Option<&Used> {
        let at = self.parts.binary_search_by_key(&key, |used| used.key);
        at.ok().map(|at| &self.parts[at])
    }

    fn holds(&self, used: &Used) -> bool {
        self.passed - used.passed < self.capacity
    }

    fn forget(&mut self) {
        let (passed, capacity) = (self.passed, self.capacity);
        self.parts.retain(|used| passed - used.passed < capacity);
        if self.parts.len() > MOST {
            let mut ages: Vec<u64> = self.parts.iter().map(|used| used.passed).collect();
            ages.sort_unstable();
            let oldest = ages[ages.len() / 2];
            self.parts.retain(|used| used.passed > oldest);
        }
    }
}
