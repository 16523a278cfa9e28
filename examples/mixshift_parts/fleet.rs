//! The engines, with the timing of the stand-in.

use policy::route::Role;
use standin::batch::{Batch, Job, Speed, Step};

/// Whether an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It serves.
    Active,
    /// It gets nothing new and will change to this role when it is empty.
    Draining(Role),
    /// It is away for a change to this role.
    ChangingRole(Role),
    /// It is gone.
    Crashed,
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
    pub current_step: Option<Step>,
}

impl Engine {
    /// An idle engine.
    pub fn new(role: Role, speed: Speed) -> Self {
        Self {
            batch: Batch::new(speed),
            role,
            state: State::Active,
            current_step: None,
        }
    }

    /// Adds a job; says when the step that it starts will end, if the engine was idle.
    pub fn submit(&mut self, job: Job) -> Option<u64> {
        self.batch.submit(job);
        if self.current_step.is_some() {
            None
        } else {
            self.start_step()
        }
    }

    /// Begins the next step; says how long it takes.
    pub fn start_step(&mut self) -> Option<u64> {
        self.current_step = self.batch.step();
        self.current_step.as_ref().map(|step| step.us)
    }
}
