//! Which engines should change their stage: the plan is the policy's, this finds the figures for it
//! and the engines that a change costs least.

use std::sync::Arc;

use policy::stage::{self, Change, Demand, Fleet, Sample, Weights};

use crate::{
    endpoint::{Stage, State, Target},
    process::{Asked, Gateway},
};

/// An engine and the stage that it is to take.
#[derive(Clone, Debug)]
pub struct Wish {
    /// The engine.
    pub target: Arc<Target>,
    /// The stage.
    pub stage: Stage,
}

/// What is remembered of a service's demand.
#[derive(Debug)]
struct Service {
    name: Arc<str>,
    demand: Demand,
    /// What was asked for in all at the last look.
    asked: Asked,
}

/// The demands of all services with engines.
#[derive(Debug, Default)]
pub struct Planner {
    services: Vec<Service>,
}

/// An engine as the plan sees it.
struct Engine {
    target: Arc<Target>,
    stage: Stage,
    data_centre: Arc<str>,
    reading: u64,
    prompts: u64,
    writing: u64,
    long: u64,
    slots: u64,
}

impl Engine {
    /// Slots that it takes, or that what it reads will take at another engine.
    fn slots_taken(&self) -> u64 {
        match self.stage {
            Stage::Prefill => self.writing + self.prompts,
            Stage::Decode => self.writing,
        }
    }
}

fn number(count: usize) -> f64 {
    policy::real(u64::try_from(count).unwrap_or(u64::MAX))
}

impl Planner {
    /// Looks at what was asked for since the last look.
    pub fn observe(&mut self, gateway: &Gateway) {
        let Some(version) = gateway.configuration() else {
            return;
        };
        let now = gateway.micros();
        for service in version.services() {
            if service.engines.is_none() {
                continue;
            }
            let engines = engines(gateway, &service.name);
            let asked = gateway.demand(&service.name);
            let at = match self
                .services
                .binary_search_by(|s| s.name.cmp(&service.name))
            {
                Ok(at) => at,
                Err(at) => {
                    let name = Arc::clone(&service.name);
                    let demand = Demand::default();
                    self.services.insert(
                        at,
                        Service {
                            name,
                            demand,
                            asked,
                        },
                    );
                    at
                }
            };
            let known = &mut self.services[at];
            let new = asked.since(std::mem::replace(&mut known.asked, asked));
            let paces = gateway.paces(&service.name);
            let taken: u64 = engines.iter().map(Engine::slots_taken).sum();
            let readers = || engines.iter().filter(|e| e.stage == Stage::Prefill);
            let busy = readers().filter(|engine| engine.reading > 0);
            let sample = Sample {
                reading: policy::real(new.reading) * paces.readers.read_us,
                writing: policy::real(new.writing) * paces.writers.step_us,
                taken: policy::real(taken),
                busy: number(busy.count()),
                readers: number(readers().count()),
            };
            known.demand.observe(now, &sample);
        }
    }

    /// The changes to begin now.
    pub fn wishes(&self, gateway: &Gateway) -> Vec<Wish> {
        let services = self.services.iter();
        services
            .filter_map(|service| wish(gateway, service))
            .collect()
    }
}

fn wish(gateway: &Gateway, service: &Service) -> Option<Wish> {
    let engines = engines(gateway, &service.name);
    let changing = gateway.steward.changing();
    let fleet = Fleet {
        engines: u64::try_from(engines.len()).unwrap_or(0),
        reading: will_read(&engines, &changing),
        slots: engines.iter().map(|engine| engine.slots).max()?,
    };
    let away = engines
        .iter()
        .filter(|engine| changing.contains(&engine.target.short));
    let away = u64::try_from(away.count()).unwrap_or(0);
    let weights = Weights::default();
    let wanted = stage::readers(&service.demand, &fleet, &weights);
    let change = stage::change(&service.demand, wanted, &fleet, &weights)?;
    if away >= stage::most_changing(fleet.engines) {
        return None;
    }
    let free = engines
        .iter()
        .filter(|engine| !changing.contains(&engine.target.short));
    let (engine, stage) = match change {
        Change::MoreReaders => {
            let writers = free.filter(|engine| engine.stage == Stage::Decode);
            let near = |engine: &Engine| readers_in(&engines, &engine.data_centre);
            let engine = writers.min_by_key(|e| (e.long, near(e), e.writing))?;
            (engine, Stage::Prefill)
        }
        Change::MoreWriters => {
            let readers = free.filter(|engine| engine.stage == Stage::Prefill);
            let near = |engine: &Engine| readers_in(&engines, &engine.data_centre);
            let engine = readers.min_by_key(|e| (std::cmp::Reverse(near(e)), e.reading))?;
            (engine, Stage::Decode)
        }
    };
    log::info!(
        service = &*service.name, engine = &*engine.target.id.0, to:% = stage, wanted, away,
        reading = fleet.reading, count = fleet.engines, demand_reading = service.demand.reading,
        demand_lately = service.demand.reading_lately, demand_writing = service.demand.writing,
        long = engine.long;
        "an engine is to change its stage"
    );
    Some(Wish {
        target: Arc::clone(&engine.target),
        stage,
    })
}

/// Engines that read, or will once what is under way is done.
fn will_read(engines: &[Engine], changing: &[u32]) -> u64 {
    let reads = engines.iter().filter(|engine| {
        let reads = engine.stage == Stage::Prefill;
        // one that is changing will be the other kind
        reads != changing.contains(&engine.target.short)
    });
    u64::try_from(reads.count()).unwrap_or(0)
}

fn readers_in(engines: &[Engine], data_centre: &str) -> usize {
    engines
        .iter()
        .filter(|engine| engine.stage == Stage::Prefill && *engine.data_centre == *data_centre)
        .count()
}

/// The engines of a service that are listed and stay.
fn engines(gateway: &Gateway, service: &str) -> Vec<Engine> {
    let fleet = gateway.registry.fleet(service);
    fleet
        .targets()
        .iter()
        .filter_map(|target| {
            target.with(|state| {
                let stage = state.profile.stage?;
                let stays =
                    state.listed && state.profile.state == State::Ready && state.health.sound();
                let load = state.own.with(state.peers);
                stays.then(|| Engine {
                    target: Arc::clone(target),
                    stage,
                    data_centre: Arc::clone(&state.profile.data_centre),
                    reading: load.reading,
                    prompts: load.prompts,
                    writing: load.writing,
                    long: load.long,
                    slots: state.profile.slots,
                })
            })
        })
        .collect()
}
