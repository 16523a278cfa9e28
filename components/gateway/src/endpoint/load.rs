//! What is under way at an endpoint: own requests exactly, peers' as of their last digests.

use std::sync::Arc;

use super::Target;

/// Work under way at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Prompt tokens that are sent and not read yet.
    pub reading: u64,
    /// Prompts that are sent and not read yet.
    pub prompts: u64,
    /// Requests that are answered, or will be once their prompts are read.
    pub writing: u64,
}

impl Load {
    /// Both together.
    #[must_use]
    pub fn with(self, other: Self) -> Self {
        Self {
            reading: self.reading + other.reading,
            prompts: self.prompts + other.prompts,
            writing: self.writing + other.writing,
        }
    }
}

/// A prompt that is being read at an endpoint; counted as long as this lives.
#[derive(Debug)]
pub struct Reading {
    target: Arc<Target>,
    tokens: u64,
}

impl Reading {
    /// Counts a prompt of so many tokens to be read.
    #[must_use]
    pub fn new(target: &Arc<Target>, tokens: u64) -> Self {
        target.with(|state| {
            state.own.reading += tokens;
            state.own.prompts += 1;
        });
        Self {
            target: Arc::clone(target),
            tokens,
        }
    }

    /// The tokens that are counted.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.target.with(|state| {
            state.own.reading -= self.tokens;
            state.own.prompts -= 1;
        });
    }
}

/// A request that an endpoint answers; counted as long as this lives.
#[derive(Debug)]
pub struct Writing {
    target: Arc<Target>,
}

impl Writing {
    /// Counts a request.
    #[must_use]
    pub fn new(target: &Arc<Target>) -> Self {
        target.with(|state| state.own.writing += 1);
        Self {
            target: Arc::clone(target),
        }
    }
}

impl Drop for Writing {
    fn drop(&mut self) {
        self.target.with(|state| state.own.writing -= 1);
    }
}
