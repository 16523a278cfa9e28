//! Plans orders: operators' wishes first, then what is left open by others, then the mix.

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

use super::Held;
use crate::process::{
    Process,
    gates::Id,
    orders::{self, Task, Wish},
    pool::Entry,
    registration::{self, Registered},
    store,
};

/// How long an engine is away for a change, its drain included, until it is learnt.
const AWAY: Duration = Duration::from_secs(10);
/// How many write together when demand is counted.
const USUAL_BATCH: u64 = 16;
const HOUR: u64 = 3_600_000_000;

/// What a steward remembers between two decisions. It starts anew with each stewardship: a new
/// steward first watches, since it has no history to forecast from.
#[derive(Debug)]
pub struct Planner {
    demand: Demand,
    started: Instant,
    totals: Option<(u64, u64)>,
    decided: Instant,
    changed: Option<Instant>,
}

impl Default for Planner {
    fn default() -> Self {
        let now = Instant::now();
        Self {
            demand: Demand::default(),
            started: now,
            totals: None,
            decided: now,
            changed: None,
        }
    }
}

impl Planner {
    /// The next order, if there is something to do.
    pub fn plan(&mut self, process: &Process, held: &Held, rows: &[Row]) -> Option<Task> {
        self.observe(process, held);
        let wishes = wishes(rows, held);
        let repair = repair(process, held, rows);
        wishes
            .into_iter()
            .find_map(|wish| step(process, held, rows, wish))
            .or(repair)
            .or_else(|| self.mix(process, held, rows))
    }

    fn observe(&mut self, process: &Process, held: &Held) {
        let Some(pool) = process.pool(&held.service) else {
            return;
        };
        let entries = pool.snapshot();
        let own = entries.iter().map(Entry::load);
        let live = process.members.live();
        let peers = live.iter().flat_map(|member| member.loads.iter().cloned());
        let here = |load: &wire::Load| {
            *load.data_centre == held.data_centre
                && entries.iter().any(|entry| entry.id.number == load.endpoint)
        };
        let totals = own.chain(peers).filter(here).fold((0, 0), |sum, load| {
            (sum.0 + load.sent_prompt_tokens, sum.1 + load.written_tokens)
        });
        let rates = entries
            .first()
            .map_or_else(BatchLatency::default, |entry| entry.rates);
        let each = rates.inter_token_us(USUAL_BATCH) / to_f64(USUAL_BATCH);
        if let Some(old) = self.totals.replace(totals) {
            // a peer that came or went makes the sums jump; a fall is no demand
            let read = to_f64(totals.0.saturating_sub(old.0)) * rates.prefill_token_us;
            let write = to_f64(totals.1.saturating_sub(old.1)) * each;
            let now = micros(self.started.elapsed());
            self.demand.observe(now, to_u64(read), to_u64(write));
        }
    }

    /// A change of role that pays, if there is one.
    fn mix(&mut self, process: &Process, held: &Held, rows: &[Row]) -> Option<Task> {
        let fleet = process.current.get()?.resolved.fleet;
        let period: Duration = process.settings.control.role_period.into();
        if !fleet.adaptive || self.decided.elapsed() < period {
            return None;
        }
        self.decided = Instant::now();
        let pool = process.pool(&held.service)?;
        let mut entries = pool.snapshot();
        entries.retain(|entry| *entry.id.data_centre == *held.data_centre && entry.takes());
        let now = micros(self.started.elapsed());
        let change = role::choose_change(
            split(&entries),
            self.demand.forecast(),
            &bounds(&fleet),
            now,
            self.changed
                .map(|at| micros(at.saturating_duration_since(self.started))),
        )?;
        let (from, to) = match change {
            Change::ToPrefill => (Role::Decode, Role::Prefill),
            Change::ToDecode => (Role::Prefill, Role::Decode),
        };
        let entry = entries
            .iter()
            .filter(|entry| entry.role() == from)
            .min_by_key(|entry| entry.bare(0).decode_requests + entry.bare(0).prefill_tokens)?;
        let holds = entry.report.as_ref().map(|(report, _)| &report.holds)?;
        let wish = Wish {
            id: entry.id.clone(),
            wanted: Wanted {
                role: to,
                ..holds.clone()
            },
            row: None,
        };
        let task = step(process, held, rows, wish)?;
        self.changed = Some(Instant::now());
        Some(task)
    }
}

/// Orders that a former steward left half done.
fn repair(process: &Process, held: &Held, rows: &[Row]) -> Option<Task> {
    rows.iter().find_map(|row| {
        let id = orders::id_of(&row.key)?;
        let old: order::Row = store::value(Some(row))?;
        let open = matches!(old.stage, order::Stage::Closing | order::Stage::Intent);
        let wish = Wish {
            id,
            wanted: old.wanted.clone(),
            row: None,
        };
        (open && serves(process, held, &wish.id))
            .then(|| step(process, held, rows, wish))
            .flatten()
    })
}

fn bounds(fleet: &settings::tree::resolve::Fleet) -> Bounds {
    Bounds {
        min_engines_per_role: fleet.min_engines_per_role,
        horizon: micros(fleet.horizon),
        change_duration: micros(AWAY),
        min_change_interval: HOUR
            .checked_div(u64::from(fleet.max_role_changes_per_hour))
            .unwrap_or(u64::MAX),
    }
}

fn split(entries: &[Entry]) -> RoleCounts {
    let of = |role: Role| {
        let matching = entries.iter().filter(|entry| entry.role() == role);
        u32::try_from(matching.count()).unwrap_or(u32::MAX)
    };
    RoleCounts {
        prefill: of(Role::Prefill),
        decode: of(Role::Decode),
        mixed: of(Role::Mixed),
    }
}

fn wishes(rows: &[Row], held: &Held) -> Vec<Wish> {
    rows.iter()
        .filter_map(|row| {
            let rest = row.key.strip_prefix(orders::REQUESTS)?;
            let (data_centre, number) = rest.split_once('/')?;
            let id = Id {
                data_centre: data_centre.into(),
                number: number.parse().ok()?,
            };
            (*id.data_centre == *held.data_centre).then_some(())?;
            Some(Wish {
                id,
                wanted: store::value(Some(row))?,
                row: Some((row.key.clone(), row.version)),
            })
        })
        .collect()
}

fn serves(process: &Process, held: &Held, id: &Id) -> bool {
    let pool = process.pool(&held.service);
    pool.is_some_and(|pool| pool.with(id, |_| ()).is_some())
}

/// The task that brings an endpoint nearer to a wish.
fn step(process: &Process, held: &Held, rows: &[Row], wish: Wish) -> Option<Task> {
    let pool = process.pool(&held.service)?;
    let fences = pool.with(&wish.id, |entry| entry.endpoint.fences)?;
    let key = orders::key_of(&wish.id);
    let found = store::find(rows, &key);
    let old: Option<order::Row> = store::value(found);
    let registered: Vec<Incarnation> = rows
        .iter()
        .filter(|row| row.key.starts_with(registration::PREFIX))
        .filter_map(|row| store::value::<Registered>(Some(row)))
        .map(|registered| registered.incarnation)
        .collect();
    // a registration is taken away only by its own daemon or when it is certainly gone
    let gone = |other: Incarnation| !registered.contains(&other);
    let number = old.as_ref().map_or(0, |old| old.number);
    let clean = !process.is_lost(&wish.id, number);
    let next = order::next_step(
        old.as_ref(),
        &wish.wanted,
        process.me,
        held.epoch,
        fences,
        clean,
        gone,
    );
    match next {
        Step::Nothing if wish.row.is_some() => Some(Task::Fulfilled(wish)),
        Step::Nothing => None,
        Step::Wait(sender) => {
            log::info!("{}: waiting until {sender} is certainly gone", wish.id);
            None
        }
        Step::Close(row) => Some(Task::Close(wish, row, store::version(found))),
        Step::Reopen(row) => Some(Task::Reopen(wish.id, row, store::version(found))),
        Step::Resend(row) => Some(Task::Resend(wish, row, store::version(found))),
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
