//! Changes of engines' roles: when one is decided on, and how an engine goes through it.

use policy::{
    role::{self, Bounds, Change, RoleCounts},
    route::{Placement, Role},
    to_u64,
};
use standin::batch::Speed;

use super::{Event, ROLE_US, World};
use crate::mixshift_parts::{
    fleet::{Engine, State},
    policies::Roles,
    workload::LENGTH,
};

/// The shortest time between two changes, in microseconds: forty an hour.
const SPACING_US: u64 = 3_600_000_000 / 40;

impl World {
    pub(super) fn roles(&mut self) {
        if self.now < to_u64(LENGTH * 1e6) {
            self.at(self.now + ROLE_US, Event::Roles);
        }
        let (read, write) = std::mem::take(&mut self.arrived);
        self.demand.observe(self.now, read, write);
        let change = match self.policy.roles {
            Roles::Fixed => None,
            Roles::Forecast => {
                let bounds = Bounds {
                    min_engines_per_role: 1,
                    horizon: self.options.horizon_s * 1_000_000,
                    change_duration: 10_000_000,
                    min_change_interval: SPACING_US,
                };
                let load = self.demand.forecast();
                role::choose_change(self.split(), load, &bounds, self.now, self.changed)
            }
            Roles::Threshold => self.threshold(),
        };
        if let Some(change) = change {
            self.change(change);
        }
    }

    fn split(&self) -> RoleCounts {
        let of = |role: Role| {
            let engines = self.engines.iter();
            let matching = engines.filter(|e| e.role == role && e.state == State::Open);
            u32::try_from(matching.count()).expect("a few")
        };
        RoleCounts {
            prefill: of(Role::Prefill),
            decode: of(Role::Decode),
            mixed: of(Role::Mixed),
        }
    }

    /// The simple baseline: the phase with much the fuller engines gets one of the other's.
    fn threshold(&self) -> Option<Change> {
        let of = |role: Role| self.engines.iter().filter(move |e| e.role == role);
        let reading: u64 = of(Role::Prefill)
            .map(|e| e.batch.waiting_prompt_tokens())
            .sum();
        let writing: u64 = of(Role::Decode).map(|e| e.batch.requests() as u64).sum();
        let readers = of(Role::Prefill).count().max(1) as u64;
        let writers = of(Role::Decode).count().max(1) as u64;
        let waits = reading / readers > 10_000;
        let full = writing / writers > 40;
        match (waits, full) {
            (true, false) if writers > 1 => Some(Change::ToPrefill),
            (false, true) if readers > 1 => Some(Change::ToDecode),
            _ => None,
        }
    }

    fn change(&mut self, change: Change) {
        let (from, to) = match change {
            Change::ToPrefill => (Role::Decode, Role::Prefill),
            Change::ToDecode => (Role::Prefill, Role::Decode),
        };
        let candidates = (0..self.engines.len())
            .filter(|at| self.engines[*at].role == from && self.engines[*at].state == State::Open);
        let Some(engine) = candidates.min_by_key(|at| self.engines[*at].batch.requests()) else {
            return;
        };
        self.engines[engine].state = State::Closing(to);
        self.changed = Some(self.now);
        self.results.changes += 1;
        self.maybe_leave(engine);
    }

    pub(super) fn maybe_leave(&mut self, engine: usize) {
        if !matches!(self.engines[engine].state, State::Closing(_)) {
            return;
        }
        // a split's second half may still be on its way to it
        let expected = self
            .flights
            .iter()
            .flatten()
            .any(|flight| match flight.plan {
                Placement::Single { engine: one } => one == engine,
                Placement::Split { prefill, decode } => prefill == engine || decode == engine,
            });
        if let (State::Closing(to), false) = (self.engines[engine].state, expected) {
            self.engines[engine].state = State::Away(to);
            let away = Speed::default().change_ms * 1_000;
            self.at(self.now + away, Event::RoleDone(engine));
        }
    }

    pub(super) fn role_done(&mut self, engine: usize) {
        if let State::Away(to) = self.engines[engine].state {
            self.engines[engine] = Engine::new(to, Speed::default());
            for decider in &mut self.deciders {
                decider.seen[engine].blocks.clear();
                decider.seen[engine].sequence = 0;
            }
        }
    }
}
