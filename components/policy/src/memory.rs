//! Which parts of prompts an engine likely still holds, told from what was sent there.
//!
//! An engine keeps the parts that it used last, as far as its memory goes. So a part is likely still
//! held if less than the engine's memory has passed through it since the part was last used.

use crate::prompt::Part;

/// The part of an engine's memory that is counted on for parts that nobody uses just now; the rest is
/// taken by requests under way, which can't yield.
const FREE: u64 = 80;
const PERCENT: u64 = 100;
/// The most parts remembered of an engine; older ones are forgotten first.
const MOST: usize = 4_096;

/// The parts of one engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Memory {
    /// Tokens that its memory holds.
    capacity: u64,
    /// Tokens that have passed through it so far.
    passed: u64,
    /// Parts with what had passed when they were last used, sorted by key.
    parts: Vec<(u64, u64)>,
}

impl Memory {
    /// An empty memory of so many tokens.
    #[must_use]
    pub fn new(tokens: u64) -> Self {
        Self {
            capacity: tokens * FREE / PERCENT,
            passed: 0,
            parts: Vec::new(),
        }
    }

    /// Tokens of a prompt that it likely holds: the parts up to the first one that it lacks.
    #[must_use]
    pub fn held(&self, parts: &[Part]) -> u64 {
        parts
            .iter()
            .take_while(|part| self.holds(part.key))
            .map(|part| part.tokens)
            .sum()
    }

    /// Notes that a prompt was used there.
    pub fn used(&mut self, parts: &[Part]) {
        let held = self.held(parts);
        let all: u64 = parts.iter().map(|part| part.tokens).sum();
        self.passed += all - held;
        for part in parts {
            match self.parts.binary_search_by_key(&part.key, |(key, _)| *key) {
                Ok(at) => self.parts[at].1 = self.passed,
                Err(at) => self.parts.insert(at, (part.key, self.passed)),
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

    fn holds(&self, key: u64) -> bool {
        let at = self.parts.binary_search_by_key(&key, |(key, _)| *key);
        at.is_ok_and(|at| self.passed - self.parts[at].1 < self.capacity)
    }

    fn forget(&mut self) {
        let (passed, capacity) = (self.passed, self.capacity);
        self.parts.retain(|(_, at)| passed - at < capacity);
        if self.parts.len() > MOST {
            let mut ages: Vec<u64> = self.parts.iter().map(|(_, at)| *at).collect();
            ages.sort_unstable();
            let oldest = ages[ages.len() / 2];
            self.parts.retain(|(_, at)| *at > oldest);
        }
    }
}
