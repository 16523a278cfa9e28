//! What is under way at an endpoint: own requests exactly, peers' as of their last digests.

use std::sync::Arc;

use super::Target;

/// Work under way at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Work of the prompts that are sent and not read yet, see [`policy::prompt::prefill_work`].
    pub reading: u64,
    /// Work of the prompts that give way to all others.
    pub late: u64,
    /// Prompts that are sent and not read yet.
    pub prompts: u64,
    /// Those of them that give way to all others.
    pub late_prompts: u64,
    /// Requests that are answered, or will be once their prompts are read.
    pub writing: u64,
    /// Those of them whose answers are long.
    pub long: u64,
    /// Requests that endpoints have ended under.
    pub suspects: u64,
}

impl Load {
    fn work(&mut self, late: bool) -> &mut u64 {
        if late {
            &mut self.late
        } else {
            &mut self.reading
        }
    }

    /// Both together.
    #[must_use]
    pub fn with(self, other: Self) -> Self {
        Self {
            reading: self.reading + other.reading,
            late: self.late + other.late,
            prompts: self.prompts + other.prompts,
            late_prompts: self.late_prompts + other.late_prompts,
            writing: self.writing + other.writing,
            long: self.long + other.long,
            suspects: self.suspects + other.suspects,
        }
    }
}

/// A prompt that is being read at an endpoint; counted as long as this lives.
#[derive(Debug)]
pub struct Reading {
    target: Arc<Target>,
    work: u64,
    late: bool,
}

impl Reading {
    /// Counts a prompt of so much work, and whether it gives way to all others.
    #[must_use]
    pub fn new(target: &Arc<Target>, work: u64, late: bool) -> Self {
        target.begin(|own| {
            *own.work(late) += work;
            own.prompts += 1;
            own.late_prompts += u64::from(late);
        });
        Self {
            target: Arc::clone(target),
            work,
            late,
        }
    }

    /// The work that is counted.
    #[must_use]
    pub fn work(&self) -> u64 {
        self.work
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.target.with(|state| {
            *state.own.work(self.late) -= self.work;
            state.own.prompts -= 1;
            state.own.late_prompts -= u64::from(self.late);
        });
    }
}

/// A request that an endpoint answers; counted as long as this lives.
#[derive(Debug)]
pub struct Writing {
    target: Arc<Target>,
    long: bool,
}

impl Writing {
    /// Counts a request, and whether its answer will be long.
    #[must_use]
    pub fn new(target: &Arc<Target>, long: bool) -> Self {
        target.begin(|own| {
            own.writing += 1;
            own.long += u64::from(long);
        });
        Self {
            target: Arc::clone(target),
            long,
        }
    }
}

impl Drop for Writing {
    fn drop(&mut self) {
        self.target.with(|state| {
            state.own.writing -= 1;
            state.own.long -= u64::from(self.long);
        });
    }
}
