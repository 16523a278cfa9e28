//! Decides which engines should change their stage. The policy makes the plan; this module supplies its
//! inputs and picks the engines for which a change costs least.

use std::{cmp::Reverse, sync::Arc};

use policy::stage::{self, Change, Demand, Fleet, Member, Sample, Weights};

use crate::{
    endpoint::{Build, Stage, State, Target},
    process::{DemandTotals, Gateway},
};

/// A planned change of an engine's stage.
#[derive(Clone, Debug)]
pub struct StageChange {
    /// The engine to change.
    pub target: Arc<Target>,
    /// Its new stage.
    pub stage: Stage,
}

/// The demand for a service over time.
#[derive(Debug)]
struct Service {
    name: Arc<str>,
    demand: Demand,
    /// The cumulative demand at the last observation.
    total: DemandTotals,
}

/// The demand for all services that have engines.
#[derive(Debug, Default)]
pub struct Planner {
    services: Vec<Service>,
}

/// State of an engine, as an input of the plan.
struct Engine {
    target: Arc<Target>,
    stage: Stage,
    data_centre: Arc<str>,
    build: Build,
    prefill_work: u64,
    prompts: u64,
    decoding: u64,
    long_answers: u64,
    slots: u64,
}

impl Engine {
    /// Returns the slots in use, and those that its prompts in prefill will need at another engine.
    fn slots_taken(&self) -> u64 {
        match self.stage {
            Stage::Prefill => self.decoding + self.prompts,
            Stage::Decode => self.decoding,
        }
    }
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

fn to_f64(count: usize) -> f64 {
    policy::to_f64(to_u64(count))
}

impl Planner {
    /// Records the demand since the last observation.
    pub fn observe(&mut self, gateway: &Gateway) {
        let Some(configuration) = gateway.configuration() else {
            return;
        };
        let now = gateway.micros();
        for service in configuration.services() {
            if service.engines.is_none() {
                continue;
            }
            let engines = available_engines(gateway, &service.name);
            let total = gateway.demand(&service.name);
            let index = match self
                .services
                .binary_search_by(|s| s.name.cmp(&service.name))
            {
                Ok(index) => index,
                Err(index) => {
                    let name = Arc::clone(&service.name);
                    let demand = Demand::default();
                    self.services.insert(
                        index,
                        Service {
                            name,
                            demand,
                            total,
                        },
                    );
                    index
                }
            };
            let known = &mut self.services[index];
            let new = total.since(std::mem::replace(&mut known.total, total));
            let latencies = gateway.latencies(&service.name);
            let taken: u64 = engines.iter().map(Engine::slots_taken).sum();
            let prefill_engines = || engines.iter().filter(|e| e.stage == Stage::Prefill);
            let busy = prefill_engines().filter(|engine| engine.prefill_work > 0);
            let sample = Sample {
                prefill_us: policy::to_f64(new.prefill_work) * latencies.prefill.prefill_token_us,
                decode_slot_us: policy::to_f64(new.decode_tokens)
                    * latencies.decode.decode_token_us,
                occupied_slots: policy::to_f64(taken),
                busy_prefill_engines: to_f64(busy.count()),
                prefill_engines: to_f64(prefill_engines().count()),
            };
            known.demand.observe(now, &sample);
        }
    }

    /// Returns the changes to begin now.
    pub fn changes(&self, gateway: &Gateway) -> Vec<StageChange> {
        let services = self.services.iter();
        services
            .filter_map(|service| plan_change(gateway, service))
            .collect()
    }
}

fn plan_change(gateway: &Gateway, service: &Service) -> Option<StageChange> {
    let engines = available_engines(gateway, &service.name);
    let changing = gateway.steward.changing();
    let members = members_after_changes(&engines, &changing);
    let fleet = Fleet {
        engines: to_u64(engines.len()),
        prefill_engines: to_u64(members.iter().filter(|member| !member.decodes).count()),
        slots_per_engine: engines.iter().map(|engine| engine.slots).max()?,
    };
    let is_changing = |engine: &Engine| changing.contains(&engine.target.short_id);
    let away = to_u64(engines.iter().filter(|e| is_changing(e)).count());
    let weights = Weights::default();
    if away >= stage::max_concurrent_changes(fleet.engines)
        || stage::is_idle(&service.demand, &weights)
    {
        return None;
    }
    let wanted = stage::plan_prefill_engines(&service.demand, &fleet, &weights);
    let candidates: Vec<(usize, &Engine)> = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| !is_changing(engine))
        .collect();
    let (engine, stage) = uncovered_prefill_engine(gateway, &candidates, &members)
        .map(|engine| (engine, Stage::Decode))
        .or_else(|| {
            let change = stage::choose_change(&service.demand, wanted, &fleet, &weights)?;
            cheapest(change, &candidates, &members)
        })?;
    log::info!(
        service = &*service.name, engine = &*engine.target.id.0, to:% = stage, wanted, away,
        reading = fleet.prefill_engines, count = fleet.engines, demand_reading = service.demand.prefill_engines,
        demand_lately = service.demand.recent_prefill_engines, demand_writing = service.demand.decode_slots,
        long = engine.long_answers, data_centre = &*engine.data_centre;
        "planned to change an engine's stage"
    );
    Some(StageChange {
        target: Arc::clone(&engine.target),
        stage,
    })
}

/// Returns the engines as they will be after the changes in flight.
fn members_after_changes<'a>(engines: &'a [Engine], changing: &[u32]) -> Vec<Member<'a>> {
    engines
        .iter()
        .map(|engine| {
            let decodes = engine.stage == Stage::Decode;
            Member {
                data_centre: &engine.data_centre,
                build: &engine.build.0,
                // one that is changing will be in the other stage
                decodes: decodes != changing.contains(&engine.target.short_id),
            }
        })
        .collect()
}

/// Returns a prefill engine that should decode because no engine of its data centre or of its build does: the data
/// centre may become unreachable later, and other builds can't use the KV caches of this one. Engines in data centres that already are unreachable are skipped, as an order
/// would not arrive.
fn uncovered_prefill_engine<'a>(
    gateway: &Gateway,
    candidates: &[(usize, &'a Engine)],
    members: &[Member],
) -> Option<&'a Engine> {
    let unreachable = gateway.peers.unreachable_data_centres();
    let uncovered = candidates.iter().filter(|(index, engine)| {
        let lacks_decode = !stage::is_covered(members, *index);
        lacks_decode && engine.stage == Stage::Prefill && !unreachable.contains(&engine.data_centre)
    });
    let engine = uncovered.min_by_key(|(_, engine)| engine.prefill_work)?;
    Some(engine.1)
}

/// Returns the engine for which a change costs least, with its new stage.
fn cheapest<'a>(
    change: Change,
    candidates: &[(usize, &'a Engine)],
    members: &[Member],
) -> Option<(&'a Engine, Stage)> {
    let local_prefill_engines = |engine: &Engine| {
        let is_local_prefill_engine =
            |member: &&Member| !member.decodes && *member.data_centre == *engine.data_centre;
        members.iter().filter(is_local_prefill_engine).count()
    };
    let prefill_engines_of_build = |engine: &Engine| {
        let is_prefill_engine =
            |member: &&Member| !member.decodes && *member.build == *engine.build.0;
        members.iter().filter(is_prefill_engine).count()
    };
    let (found, stage) = match change {
        Change::MorePrefill => {
            let decode_engines = candidates.iter().filter(|(index, engine)| {
                engine.stage == Stage::Decode && stage::may_switch_to_prefill(members, *index)
            });
            let found = decode_engines.min_by_key(|(_, e)| {
                let prefill_engines = (prefill_engines_of_build(e), local_prefill_engines(e));
                (e.long_answers, prefill_engines, e.decoding)
            });
            (found, Stage::Prefill)
        }
        Change::MoreDecode => {
            let prefill_engines = candidates.iter().filter(|(_, e)| e.stage == Stage::Prefill);
            let found = prefill_engines.min_by_key(|(_, e)| {
                let prefill_engines = (prefill_engines_of_build(e), local_prefill_engines(e));
                (Reverse(prefill_engines), e.prefill_work)
            });
            (found, Stage::Decode)
        }
    };
    Some((found?.1, stage))
}

/// Returns the engines of a service that are listed, ready and healthy.
fn available_engines(gateway: &Gateway, service: &str) -> Vec<Engine> {
    let fleet = gateway.registry.fleet(service);
    fleet
        .targets()
        .iter()
        .filter_map(|target| {
            target.with(|state| {
                let stage = state.profile.stage?;
                let is_available = state.listed
                    && state.profile.state == State::Ready
                    && state.health.is_healthy();
                let load = state.own_load.plus(state.peer_load);
                is_available.then(|| Engine {
                    target: Arc::clone(target),
                    stage,
                    data_centre: Arc::clone(&state.profile.data_centre),
                    build: state.profile.build.clone(),
                    prefill_work: load.prefill_work,
                    prompts: load.prompts,
                    decoding: load.decoding,
                    long_answers: load.long_answers,
                    slots: state.profile.slots,
                })
            })
        })
        .collect()
}
