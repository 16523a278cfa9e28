//! The engines, with the timing of the stand-in.

use policy::route::Role;
use standin::batch::{Batch, Job, Speed, Step};

/// Whether an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It serves.
    Open,
    /// It gets nothing new and will change to this role when it is empty.
    Closing(Role),
    /// It is away for a change to this role.
    Away(Role),
    /// It is gone.
    Gone,
}

/// One engine.
pub struct Engine {
    /// Its batch.
    pub batch: Batch,
    /// Its role.
    pub role: Role,
    /// Whether it serves.
    pub state: State,
    /// The step that is under way.
    pub step: Option<Step>,
}

impl Engine {
    /// An idle engine.
    pub fn new(role: Role, speed: Speed) -> Self {
        Self {
            batch: Batch::new(speed),
            role,
            state: State::Open,
            step: None,
        }
    }

    /// Adds a job; says when the step that it starts will end, if the engine was idle.
    pub fn submit(&mut self, job: Job) -> Option<u64> {
        self.batch.submit(job);
        if self.step.is_some() {
            None
        } else {
            self.begin()
        }
    }

    /// Begins the next step; says how long it takes.
    pub fn begin(&mut self) -> Option<u64> {
        self.step = self.batch.step();
        self.step.as_ref().map(|step| step.duration_us)
    }
}
