//! What is under way at an endpoint: own requests exactly, peers' as of their last digests.

use std::sync::Arc;

use super::Target;

/// Work under way at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Work of the prompts that are sent and not read yet, see [`policy::prompt::prefill_work`].
    pub prefill_work: u64,
    /// Work of the prompts that give way to all others.
    pub low_priority_work: u64,
    /// Prompts that are sent and not read yet.
    pub prompts: u64,
    /// Those of them that give way to all others.
    pub low_priority_prompts: u64,
    /// Requests that are answered, or will be once their prompts are read.
    pub decoding: u64,
    /// Those of them whose answers are long.
    pub long_answers: u64,
    /// Requests that endpoints have ended under.
    pub suspects: u64,
}

impl Load {
    fn work_mut(&mut self, low_priority: bool) -> &mut u64 {
        if low_priority {
            &mut self.low_priority_work
        } else {
            &mut self.prefill_work
        }
    }

    /// Both together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            prefill_work: self.prefill_work + other.prefill_work,
            low_priority_work: self.low_priority_work + other.low_priority_work,
            prompts: self.prompts + other.prompts,
            low_priority_prompts: self.low_priority_prompts + other.low_priority_prompts,
            decoding: self.decoding + other.decoding,
            long_answers: self.long_answers + other.long_answers,
            suspects: self.suspects + other.suspects,
        }
    }
}

/// A prompt that is being read at an endpoint; counted as long as this lives.
#[derive(Debug)]
pub struct PrefillGuard {
    target: Arc<Target>,
    work: u64,
    low_priority: bool,
}

impl PrefillGuard {
    /// Counts a prompt of so much work, and whether it gives way to all others.
    #[must_use]
    pub fn new(target: &Arc<Target>, work: u64, low_priority: bool) -> Self {
        target.add_load(|load| {
            *load.work_mut(low_priority) += work;
            load.prompts += 1;
            load.low_priority_prompts += u64::from(low_priority);
        });
        Self {
            target: Arc::clone(target),
            work,
            low_priority,
        }
    }

    /// The work that is counted.
    #[must_use]
    pub fn work(&self) -> u64 {
        self.work
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        self.target.with(|state| {
            *state.own_load.work_mut(self.low_priority) -= self.work;
            state.own_load.prompts -= 1;
            state.own_load.low_priority_prompts -= u64::from(self.low_priority);
        });
    }
}

/// A request that an endpoint answers; counted as long as this lives.
#[derive(Debug)]
pub struct DecodeGuard {
    target: Arc<Target>,
    long_answer: bool,
}

impl DecodeGuard {
    /// Counts a request, and whether its answer will be long.
    #[must_use]
    pub fn new(target: &Arc<Target>, long_answer: bool) -> Self {
        target.add_load(|load| {
            load.decoding += 1;
            load.long_answers += u64::from(long_answer);
        });
        Self {
            target: Arc::clone(target),
            long_answer,
        }
    }
}

impl Drop for DecodeGuard {
    fn drop(&mut self) {
        self.target.with(|state| {
            state.own_load.decoding -= 1;
            state.own_load.long_answers -= u64::from(self.long_answer);
        });
    }
}
