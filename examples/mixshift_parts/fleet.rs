//! Simulated engines with the timing of the stand-in.

use policy::route::Role;
use standin::batch::{Batch, Job, Speed, Step};

/// Whether an engine accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It accepts requests.
    Active,
    /// It accepts no new requests and changes to this role once it has none left.
    Draining(Role),
    /// It is unavailable while it changes to this role.
    ChangingRole(Role),
    /// It has crashed and does not return.
    Crashed,
}

/// A simulated engine.
pub struct Engine {
    /// Its batch and queue.
    pub batch: Batch,
    pub role: Role,
    /// Whether it accepts requests.
    pub state: State,
    /// The step in flight.
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

    /// Adds a job. If the engine was idle, starts a step and returns its duration in microseconds.
    pub fn submit(&mut self, job: Job) -> Option<u64> {
        self.batch.submit(job);
        if self.current_step.is_some() {
            None
        } else {
            self.start_step()
        }
    }

    /// Starts the next step and returns its duration in microseconds; `None` if there is no work.
    pub fn start_step(&mut self) -> Option<u64> {
        self.current_step = self.batch.step();
        self.current_step.as_ref().map(|step| step.us)
    }
}
