//! Load of an endpoint. That of this process is exact, that of peers as of their last digests.

use std::sync::Arc;

use super::Target;

/// Work in flight at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Work of the prompts sent and not prefilled yet, see [`policy::prompt::prefill_work`].
    /// Excludes deferred prompts.
    pub prefill_work: u64,
    /// Work of the deferred prompts, which yield to all others.
    pub deferred_work: u64,
    /// Number of prompts sent and not prefilled yet.
    pub prompts: u64,
    /// Number of these prompts that are deferred.
    pub deferred_prompts: u64,
    /// Number of answers that are being decoded, or will be once their prompts are prefilled. For
    /// plain services, the number of requests.
    pub decoding: u64,
    /// Number of these answers that are long.
    pub long_answers: u64,
    /// Number of suspect requests: other endpoints have crashed while running them.
    pub suspects: u64,
}

impl Load {
    fn work_mut(&mut self, deferred: bool) -> &mut u64 {
        if deferred {
            &mut self.deferred_work
        } else {
            &mut self.prefill_work
        }
    }

    /// Returns the sum of two loads.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            prefill_work: self.prefill_work + other.prefill_work,
            deferred_work: self.deferred_work + other.deferred_work,
            prompts: self.prompts + other.prompts,
            deferred_prompts: self.deferred_prompts + other.deferred_prompts,
            decoding: self.decoding + other.decoding,
            long_answers: self.long_answers + other.long_answers,
            suspects: self.suspects + other.suspects,
        }
    }
}

/// Counts a prompt in the load of an endpoint until it is dropped.
#[derive(Debug)]
pub struct PrefillGuard {
    target: Arc<Target>,
    work: u64,
    deferred: bool,
}

impl PrefillGuard {
    /// Counts a prompt with `work` at an endpoint. A deferred prompt yields to all others.
    #[must_use]
    pub fn new(target: &Arc<Target>, work: u64, deferred: bool) -> Self {
        target.add_load(|load| {
            *load.work_mut(deferred) += work;
            load.prompts += 1;
            load.deferred_prompts += u64::from(deferred);
        });
        Self {
            target: Arc::clone(target),
            work,
            deferred,
        }
    }

    /// Returns the counted work.
    #[must_use]
    pub fn work(&self) -> u64 {
        self.work
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        self.target.with(|state| {
            *state.own_load.work_mut(self.deferred) -= self.work;
            state.own_load.prompts -= 1;
            state.own_load.deferred_prompts -= u64::from(self.deferred);
        });
    }
}

/// Counts an answer, or a request to a plain service, in the load of an endpoint until it is
/// dropped.
#[derive(Debug)]
pub struct DecodeGuard {
    target: Arc<Target>,
    long_answer: bool,
}

impl DecodeGuard {
    /// Counts a request at an endpoint. `long_answer` tells whether its answer is expected to be
    /// long.
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
