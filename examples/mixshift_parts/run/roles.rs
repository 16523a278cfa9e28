//! Role changes: when one is decided, and how an engine is drained and switched.

use policy::{
    role::{self, Bounds, Change, RoleCounts},
    route::{Placement, Role},
    to_u64,
};
use standin::batch::Speed;

use super::{Event, ROLE_INTERVAL_US, Simulation};
use crate::mixshift_parts::{
    fleet::{Engine, State},
    policies::RoleChanges,
    workload::DURATION_S,
};

/// Shortest time between two role changes: at most forty per hour.
const MIN_CHANGE_INTERVAL_US: u64 = 3_600_000_000 / 40;

impl Simulation {
    pub(super) fn decide_roles(&mut self) {
        if self.now < to_u64(DURATION_S * 1e6) {
            self.schedule(self.now + ROLE_INTERVAL_US, Event::DecideRoles);
        }
        let (prefill_us, decode_us) = std::mem::take(&mut self.arrived_work);
        self.demand.observe(self.now, prefill_us, decode_us);
        let change = match self.policy.role_changes {
            RoleChanges::Fixed => None,
            RoleChanges::Forecast => {
                let bounds = Bounds {
                    min_engines_per_role: 1,
                    horizon: self.options.horizon_s * 1_000_000,
                    change_duration: 10_000_000,
                    min_change_interval: MIN_CHANGE_INTERVAL_US,
                };
                let load = self.demand.forecast();
                role::choose_change(
                    self.role_counts(),
                    load,
                    &bounds,
                    self.now,
                    self.last_role_change,
                )
            }
            RoleChanges::Threshold => self.choose_threshold_change(),
        };
        if let Some(change) = change {
            self.start_role_change(change);
        }
    }

    fn role_counts(&self) -> RoleCounts {
        let count = |role: Role| {
            let engines = self.engines.iter();
            let matching = engines.filter(|e| e.role == role && e.state == State::Active);
            u32::try_from(matching.count()).expect("the number of engines fits in u32")
        };
        RoleCounts {
            prefill: count(Role::Prefill),
            decode: count(Role::Decode),
            mixed: count(Role::Mixed),
        }
    }

    /// The threshold baseline: if the engines of one phase are overloaded and those of the other are
    /// not, one of the latter changes its role.
    fn choose_threshold_change(&self) -> Option<Change> {
        let engines_with = |role: Role| self.engines.iter().filter(move |e| e.role == role);
        let prefill_tokens: u64 = engines_with(Role::Prefill)
            .map(|e| e.batch.waiting_prompt_tokens())
            .sum();
        let decode_requests: u64 = engines_with(Role::Decode)
            .map(|e| e.batch.requests() as u64)
            .sum();
        let prefill_engines = engines_with(Role::Prefill).count().max(1) as u64;
        let decode_engines = engines_with(Role::Decode).count().max(1) as u64;
        let prefill_overloaded = prefill_tokens / prefill_engines > 10_000;
        let decode_overloaded = decode_requests / decode_engines > 40;
        match (prefill_overloaded, decode_overloaded) {
            (true, false) if decode_engines > 1 => Some(Change::ToPrefill),
            (false, true) if prefill_engines > 1 => Some(Change::ToDecode),
            _ => None,
        }
    }

    fn start_role_change(&mut self, change: Change) {
        let (from, to) = match change {
            Change::ToPrefill => (Role::Decode, Role::Prefill),
            Change::ToDecode => (Role::Prefill, Role::Decode),
        };
        let candidates = (0..self.engines.len()).filter(|index| {
            self.engines[*index].role == from && self.engines[*index].state == State::Active
        });
        let Some(engine) = candidates.min_by_key(|index| self.engines[*index].batch.requests())
        else {
            return;
        };
        self.engines[engine].state = State::Draining(to);
        self.last_role_change = Some(self.now);
        self.results.role_changes += 1;
        self.finish_draining(engine);
    }

    pub(super) fn finish_draining(&mut self, engine: usize) {
        if !matches!(self.engines[engine].state, State::Draining(_)) {
            return;
        }
        // counts requests placed as a split whose decode phase has not reached this engine yet
        let has_requests = self
            .in_flight
            .iter()
            .flatten()
            .any(|running| match running.placement {
                Placement::Single { engine: single } => single == engine,
                Placement::Split { prefill, decode } => prefill == engine || decode == engine,
            });
        if let (State::Draining(to), false) = (self.engines[engine].state, has_requests) {
            self.engines[engine].state = State::ChangingRole(to);
            let change_us = Speed::default().change_ms * 1_000;
            self.schedule(self.now + change_us, Event::FinishRoleChange(engine));
        }
    }

    pub(super) fn finish_role_change(&mut self, engine: usize) {
        if let State::ChangingRole(to) = self.engines[engine].state {
            self.engines[engine] = Engine::new(to, Speed::default());
            for scheduler in &mut self.schedulers {
                scheduler.known_engines[engine].cached_blocks.clear();
                scheduler.known_engines[engine].sequence = 0;
            }
        }
    }
}
