//! The steward: the one gateway that orders engines to change their stage.
//!
//! It holds a lease in the platform's store. Engines may not check who gives them an order, so a steward
//! stops well before its lease expires, and a successor waits before its first order. See
//! `docs/PLATFORM.md#orders`.

mod change;
mod lease;
mod plan;
mod refusals;
mod scaling;
mod usage;

use std::{sync::Arc, time::Duration};

use clock::Instant;
use parking_lot::Mutex;
use tokio::task::JoinSet;

use crate::{adapters::Holder, endpoint::Stage, process::Gateway};
use lease::{Authority, LeaseKeeper};
use plan::Planner;
use refusals::Found;

pub use refusals::check as check_refusal;
pub use scaling::run as order_endpoints;
pub use usage::run as report_usage;

/// The average interval between two checks of the lease and the plan.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a stage reported by an engine is advertised to peers, until the list of endpoints has it too.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(3);

/// State of this process as the steward, as reported to peers.
#[derive(Debug, Default)]
pub struct Steward {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Until when this process may give orders; `None` while it does not hold the lease.
    lease_until: Option<Instant>,
    /// What the lease allows; `None` while this process does not hold it.
    authority: Option<Authority>,
    /// The engines that this process is changing, by short id.
    changing: Vec<u32>,
    /// Engines that carry out orders which no steward has reported to this process.
    found: Vec<Found>,
    /// Stages reported by engines, by short id, with the time of the report.
    stages: Vec<(u32, Stage, Instant)>,
    /// When this process gave its last order.
    last_order: Option<Instant>,
    /// The last epoch that this process has given up; it gives no more orders in it.
    ceded: u64,
}

impl Steward {
    /// Whether this process holds the lease.
    pub fn holds_lease(&self) -> bool {
        let now = Instant::now();
        self.state
            .lock()
            .lease_until
            .is_some_and(|until| until > now)
    }

    /// Returns what this process may do as the steward; `None` if it may not give orders now.
    fn authority(&self) -> Option<Authority> {
        let now = Instant::now();
        let state = self.state.lock();
        let is_held = state.lease_until.is_some_and(|until| until > now);
        state.authority.filter(|authority| {
            is_held && authority.order_from <= now && state.ceded < authority.epoch
        })
    }

    /// Returns the engines that this process is changing.
    pub fn changing(&self) -> Vec<u32> {
        self.state.lock().changing.clone()
    }

    /// Returns the engines that are changing as far as this process knows by itself, for its peers.
    pub fn known_changes(&self) -> Vec<u32> {
        let mut state = self.state.lock();
        state.found.retain(Found::lasts);
        let found = state.found.iter().map(Found::short_id);
        state.changing.iter().copied().chain(found).collect()
    }

    /// Returns the stages that engines have reported recently.
    pub fn stages(&self) -> Vec<(u32, Stage)> {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.stages.retain(|(.., at)| now - *at < ANNOUNCEMENT_TTL);
        state
            .stages
            .iter()
            .map(|(short_id, stage, _)| (*short_id, *stage))
            .collect()
    }

    /// Returns the last epoch that this process has given up; it gives no more orders in it.
    pub fn ceded(&self) -> u64 {
        self.state.lock().ceded
    }

    /// Returns when this process gave its last order.
    pub fn last_order(&self) -> Option<Instant> {
        self.state.lock().last_order
    }

    /// Checks that an order may be given in an epoch, and if so records the time. The caller must give the
    /// order immediately afterwards.
    fn may_order(&self, epoch: u64) -> bool {
        let now = Instant::now();
        let mut state = self.state.lock();
        let may_order = state.ceded < epoch && state.lease_until.is_some_and(|until| until > now);
        if may_order {
            state.last_order = Some(now);
        }
        may_order
    }

    /// Gives up an epoch for good, and with it the lease.
    fn cede(&self, epoch: u64) {
        let mut state = self.state.lock();
        state.ceded = state.ceded.max(epoch);
        state.lease_until = None;
    }

    fn announce(&self, short_id: u32, stage: Stage) {
        let stages = &mut self.state.lock().stages;
        stages.retain(|(other, ..)| *other != short_id);
        stages.push((short_id, stage, Instant::now()));
    }

    fn begin_change(&self, short_id: u32) {
        self.state.lock().changing.push(short_id);
    }

    fn end_change(&self, short_id: u32) {
        self.state
            .lock()
            .changing
            .retain(|other| *other != short_id);
    }
}

/// Returns this process as the holder of a lease, for calls to the platform.
fn holder(gateway: &Gateway, authority: Authority) -> Holder {
    Holder {
        name: gateway.settings.gateway.name.clone(),
        fencing_token: authority.epoch,
    }
}

/// Number of gateways besides the steward, lowest addresses first, that keep the data that a steward needs.
/// The first of them takes over when the steward fails.
const SUCCESSORS: usize = 2;

/// Whether this process is the steward or among its next successors.
pub fn is_steward_or_successor(gateway: &Gateway) -> bool {
    gateway.steward.holds_lease()
        || gateway.peers.address_rank(gateway.settings.gateway.peers) < SUCCESSORS
}

/// Acquires, renews and uses the lease for the lifetime of the process.
pub async fn run(gateway: Arc<Gateway>) {
    let mut lease_keeper = LeaseKeeper::default();
    let mut planner = Planner::default();
    let mut tasks = JoinSet::new();
    loop {
        let jitter = rand::random_range(0.8..1.2);
        clock::sleep(POLL_INTERVAL.mul_f64(jitter)).await;
        while tasks.try_join_next().is_some() {}
        lease_keeper.update(&gateway).await;
        if is_steward_or_successor(&gateway) {
            planner.observe(&gateway);
        }
        {
            let mut state = gateway.steward.state.lock();
            state.lease_until = lease_keeper.lease_end();
            state.authority = lease_keeper.authority();
        }
        let Some(authority) = gateway.steward.authority() else {
            continue;
        };
        for change in planner.changes(&gateway) {
            tasks.spawn(change::run(Arc::clone(&gateway), change, authority.epoch));
        }
    }
}
