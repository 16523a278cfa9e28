//! Plans orders: first the changes requested by operators, then orders that a former steward left
//! unfinished, then changes of the mix of roles.

use std::time::{Duration, Instant};

use cloud::table::Row;
use policy::{
    estimate::BatchLatency,
    role::{self, Bounds, Change, Demand, RoleCounts},
    to_f64, to_u64,
};
use protocol::{
    Incarnation,
    order::{self, Role, Step, Wanted},
};

use super::HeldLease;
use crate::process::{
    Process,
    gates::Id,
    orders::{self, ChangeRequest, Task},
    pool::Entry,
    registration::{self, Registered},
    store,
};

/// Assumed time for which an engine is unavailable during a change, including its drain.
const ASSUMED_CHANGE_DURATION: Duration = Duration::from_secs(10);
/// Assumed number of requests that an engine decodes together, for the estimate of demand.
const TYPICAL_BATCH_REQUESTS: u64 = 16;
const HOUR_US: u64 = 3_600_000_000;

/// What a steward remembers between decisions. A new steward starts without history to forecast from and
/// first only observes.
#[derive(Debug)]
pub struct Planner {
    demand: Demand,
    started: Instant,
    totals: Option<(u64, u64)>,
    last_decision: Instant,
    last_change: Option<Instant>,
}

impl Default for Planner {
    fn default() -> Self {
        let now = Instant::now();
        Self {
            demand: Demand::default(),
            started: now,
            totals: None,
            last_decision: now,
            last_change: None,
        }
    }
}

impl Planner {
    /// Plans the next task, if there is any.
    pub fn plan(&mut self, process: &Process, held: &HeldLease, rows: &[Row]) -> Option<Task> {
        self.observe_demand(process, held);
        let requested_changes = requested_changes(rows, held);
        let resume_abandoned = resume_abandoned(process, held, rows);
        requested_changes
            .into_iter()
            .find_map(|request| next_task(process, held, rows, request))
            .or(resume_abandoned)
            .or_else(|| self.plan_role_change(process, held, rows))
    }

    fn observe_demand(&mut self, process: &Process, held: &HeldLease) {
        let Some(pool) = process.pool(&held.service) else {
            return;
        };
        let entries = pool.snapshot();
        let own = entries.iter().map(Entry::load);
        let reachable = process.members.reachable();
        let peers = reachable
            .iter()
            .flat_map(|member| member.loads.iter().cloned());
        let here = |load: &wire::Load| {
            *load.data_centre == held.data_centre
                && entries.iter().any(|entry| entry.id.number == load.endpoint)
        };
        let totals = own.chain(peers).filter(here).fold((0, 0), |sum, load| {
            (sum.0 + load.sent_prompt_tokens, sum.1 + load.written_tokens)
        });
        let latency = entries
            .first()
            .map_or_else(BatchLatency::default, |entry| entry.latency);
        let decode_token_us =
            latency.inter_token_us(TYPICAL_BATCH_REQUESTS) / to_f64(TYPICAL_BATCH_REQUESTS);
        if let Some(previous) = self.totals.replace(totals) {
            // a peer that appears or disappears makes the totals jump; a decrease does not count as demand
            let prefill = to_f64(totals.0.saturating_sub(previous.0)) * latency.prefill_token_us;
            let decode = to_f64(totals.1.saturating_sub(previous.1)) * decode_token_us;
            let now = micros(self.started.elapsed());
            self.demand.observe(now, to_u64(prefill), to_u64(decode));
        }
    }

    /// Returns a change of role that is worth its cost, if there is one.
    fn plan_role_change(
        &mut self,
        process: &Process,
        held: &HeldLease,
        rows: &[Row],
    ) -> Option<Task> {
        let fleet = process.current.get()?.resolved.fleet;
        let period: Duration = process.settings.control.role_period.into();
        if !fleet.adaptive || self.last_decision.elapsed() < period {
            return None;
        }
        self.last_decision = Instant::now();
        let pool = process.pool(&held.service)?;
        let mut entries = pool.snapshot();
        entries
            .retain(|entry| *entry.id.data_centre == *held.data_centre && entry.accepts_requests());
        let now = micros(self.started.elapsed());
        let change = role::choose_change(
            role_counts(&entries),
            self.demand.forecast(),
            &bounds(&fleet),
            now,
            self.last_change
                .map(|at| micros(at.saturating_duration_since(self.started))),
        )?;
        let (from, to) = match change {
            Change::ToPrefill => (Role::Decode, Role::Prefill),
            Change::ToDecode => (Role::Prefill, Role::Decode),
        };
        let entry = entries
            .iter()
            .filter(|entry| entry.role() == from)
            .min_by_key(|entry| {
                entry.to_engine(0).decode_requests + entry.to_engine(0).prefill_tokens
            })?;
        let holds = entry.report.as_ref().map(|(report, _)| &report.holds)?;
        let request = ChangeRequest {
            id: entry.id.clone(),
            wanted: Wanted {
                role: to,
                ..holds.clone()
            },
            operator_row: None,
        };
        let task = next_task(process, held, rows, request)?;
        self.last_change = Some(Instant::now());
        Some(task)
    }
}

/// Returns the next task for an order that a former steward left unfinished.
fn resume_abandoned(process: &Process, held: &HeldLease, rows: &[Row]) -> Option<Task> {
    rows.iter().find_map(|row| {
        let id = orders::id_of(&row.key)?;
        let previous: order::Row = store::parse(Some(row))?;
        let unfinished = matches!(previous.stage, order::Stage::Closing | order::Stage::Intent);
        let request = ChangeRequest {
            id,
            wanted: previous.wanted.clone(),
            operator_row: None,
        };
        (unfinished && is_in_pool(process, held, &request.id))
            .then(|| next_task(process, held, rows, request))
            .flatten()
    })
}

fn bounds(fleet: &settings::tree::resolve::Fleet) -> Bounds {
    Bounds {
        min_engines_per_role: fleet.min_engines_per_role,
        horizon: micros(fleet.horizon),
        change_duration: micros(ASSUMED_CHANGE_DURATION),
        min_change_interval: HOUR_US
            .checked_div(u64::from(fleet.max_role_changes_per_hour))
            .unwrap_or(u64::MAX),
    }
}

fn role_counts(entries: &[Entry]) -> RoleCounts {
    let count = |role: Role| {
        let matching = entries.iter().filter(|entry| entry.role() == role);
        u32::try_from(matching.count()).unwrap_or(u32::MAX)
    };
    RoleCounts {
        prefill: count(Role::Prefill),
        decode: count(Role::Decode),
        mixed: count(Role::Mixed),
    }
}

fn requested_changes(rows: &[Row], held: &HeldLease) -> Vec<ChangeRequest> {
    rows.iter()
        .filter_map(|row| {
            let rest = row.key.strip_prefix(orders::REQUEST_PREFIX)?;
            let (data_centre, number) = rest.split_once('/')?;
            let id = Id {
                data_centre: data_centre.into(),
                number: number.parse().ok()?,
            };
            (*id.data_centre == *held.data_centre).then_some(())?;
            Some(ChangeRequest {
                id,
                wanted: store::parse(Some(row))?,
                operator_row: Some((row.key.clone(), row.version)),
            })
        })
        .collect()
}

fn is_in_pool(process: &Process, held: &HeldLease, id: &Id) -> bool {
    let pool = process.pool(&held.service);
    pool.is_some_and(|pool| pool.with_entry(id, |_| ()).is_some())
}

/// Returns the task that brings an endpoint closer to the wanted state.
fn next_task(
    process: &Process,
    held: &HeldLease,
    rows: &[Row],
    request: ChangeRequest,
) -> Option<Task> {
    let pool = process.pool(&held.service)?;
    let fences = pool.with_entry(&request.id, |entry| entry.endpoint.fences)?;
    let key = orders::key_of(&request.id);
    let found = store::find(rows, &key);
    let previous: Option<order::Row> = store::parse(found);
    let registered: Vec<Incarnation> = rows
        .iter()
        .filter(|row| row.key.starts_with(registration::PREFIX))
        .filter_map(|row| store::parse::<Registered>(Some(row)))
        .map(|registered| registered.incarnation)
        .collect();
    // a registration is removed only by its own daemon or once that daemon is known to be gone
    let gone = |other: Incarnation| !registered.contains(&other);
    let number = previous.as_ref().map_or(0, |previous| previous.number);
    let no_copy_in_flight = !process.is_lost_order(&request.id, number);
    let next = order::next_step(
        previous.as_ref(),
        &request.wanted,
        process.incarnation,
        held.epoch,
        fences,
        no_copy_in_flight,
        gone,
    );
    match next {
        Step::Nothing if request.operator_row.is_some() => Some(Task::Fulfilled(request)),
        Step::Nothing => None,
        Step::Wait(sender) => {
            log::info!(
                "{}: waiting until daemon {sender}, which may still send an earlier order, is known to be gone",
                request.id
            );
            None
        }
        Step::Close(row) => Some(Task::CloseAndOrder(request, row, store::version_of(found))),
        Step::Reopen(row) => Some(Task::Reopen(request.id, row, store::version_of(found))),
        Step::Resend(row) => Some(Task::Resend(request, row, store::version_of(found))),
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
