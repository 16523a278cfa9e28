//! Carries out one change of an engine's stage: gateways stop sending requests to the engine, the steward
//! gives the order, then waits for the engine to report the new stage.

use std::{sync::Arc, time::Duration};

use clock::Instant;

use super::plan::StageChange;
use crate::{
    adapters::{Order, OrderOutcome, Report},
    endpoint::Target,
    process::Gateway,
    request::call,
};

/// Time within which peers learn that an engine is changing, and requests that they sent before arrive there.
/// Also the interval between checks of the engine's load before the order.
const PROPAGATION_DELAY: Duration = Duration::from_millis(80);
/// How long to wait before the order for the engine's requests to finish. It completes the remaining ones
/// after the order, but accepts no others in that time.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// How often an engine's state is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of attempts to give an order.
const MAX_ORDERS: u32 = 6;
/// Time allowed for a change of stage in addition to the switch time: the engine completes its longest
/// answers first.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(20);

/// Marks an engine as changing; gateways send requests to it again when this is dropped.
struct ChangeGuard {
    gateway: Arc<Gateway>,
    short_id: u32,
}

impl ChangeGuard {
    fn new(gateway: &Arc<Gateway>, short_id: u32) -> Self {
        gateway.steward.begin_change(short_id);
        Self {
            gateway: Arc::clone(gateway),
            short_id,
        }
    }
}

impl Drop for ChangeGuard {
    fn drop(&mut self) {
        self.gateway.steward.end_change(self.short_id);
    }
}

/// Changes an engine's stage, as long as this process holds the lease.
pub async fn run(gateway: Arc<Gateway>, change: StageChange, epoch: u64) {
    let started_at = Instant::now();
    let target = &change.target;
    let _guard = ChangeGuard::new(&gateway, target.short_id);
    drain(target).await;
    let ordered = order_until_accepted(&gateway, &change, epoch).await;
    let done = ordered && wait_for_stage(&gateway, &change).await;
    log::info!(
        engine = &*target.id.0, to:% = change.stage, ordered, done, epoch,
        took_us = policy::micros(started_at.elapsed());
        "finished changing an engine's stage"
    );
}

/// Waits until the engine has nothing in flight, at most for [`DRAIN_TIMEOUT`].
async fn drain(target: &Target) {
    let started_at = Instant::now();
    clock::sleep(PROPAGATION_DELAY).await;
    while started_at.elapsed() < DRAIN_TIMEOUT {
        let load = target.with(|state| state.own_load.plus(state.peer_load));
        if load.decoding == 0 && load.prompts == 0 {
            return;
        }
        clock::sleep(PROPAGATION_DELAY).await;
    }
}

/// Gives the order until the engine has accepted it. Returns whether it has.
async fn order_until_accepted(gateway: &Arc<Gateway>, change: &StageChange, epoch: u64) -> bool {
    for _ in 0..MAX_ORDERS {
        let Some(report) = fetch_report(gateway, &change.target).await else {
            clock::sleep(POLL_INTERVAL).await;
            continue;
        };
        if has_restarted(&change.target, &report) {
            return false;
        }
        if report.stage == change.stage {
            return true;
        }
        if report.order_in_progress {
            clock::sleep(POLL_INTERVAL).await;
            continue;
        }
        // no await may come between this check of the lease and sending the order
        if !gateway.steward.may_order(epoch) {
            return false;
        }
        match send_order(gateway, change, epoch, &report).await {
            Some(OrderOutcome::Accepted | OrderOutcome::Holds) => return true,
            Some(OrderOutcome::Fenced) => return false,
            Some(OrderOutcome::Conflict | OrderOutcome::Refused | OrderOutcome::Unclear) | None => {
                clock::sleep(POLL_INTERVAL).await;
            }
        }
    }
    false
}

async fn send_order(
    gateway: &Arc<Gateway>,
    change: &StageChange,
    epoch: u64,
    report: &Report,
) -> Option<OrderOutcome> {
    let order = Order {
        engine: change.target.id.clone(),
        stage: change.stage,
        holder: gateway.settings.gateway.name.clone(),
        fencing_token: epoch,
        accepted_orders: report.accepted_orders,
    };
    let response = call(&change.target, gateway.adapters.dialect.order_call(&order)).await;
    let ordered = response.map(|(status, _)| gateway.adapters.dialect.parse_order_reply(status));
    let label = ordered.map_or_else(|| "unanswered".to_owned(), |ordered| ordered.to_string());
    gateway.metrics.orders.with_label_values(&[&label]).inc();
    let outcome = ordered.map_or("no answer".to_owned(), |ordered| ordered.to_string());
    log::info!(
        engine = &*change.target.id.0, to:% = change.stage, epoch, after = report.accepted_orders, outcome;
        "ordered an engine to change its stage"
    );
    ordered
}

/// Waits until the engine is in its new stage. Returns whether it is.
async fn wait_for_stage(gateway: &Arc<Gateway>, change: &StageChange) -> bool {
    let switch = switch_duration(gateway, &change.target);
    let deadline = Instant::now() + switch + MAX_ANSWER_TIME;
    // the engine cannot be available again earlier
    clock::sleep(switch.saturating_sub(POLL_INTERVAL)).await;
    while Instant::now() < deadline {
        if change.target.stage() == Some(change.stage) {
            return true;
        }
        let report = fetch_report(gateway, &change.target).await;
        if report.is_some_and(|report| has_restarted(&change.target, &report)) {
            return false;
        }
        if report.is_some_and(|report| report.stage == change.stage && !report.order_in_progress) {
            change.target.set_stage(change.stage);
            gateway
                .steward
                .announce(change.target.short_id, change.stage);
            return true;
        }
        clock::sleep(POLL_INTERVAL).await;
    }
    false
}

/// Whether a report comes from another incarnation of the engine than the one to be changed. Its order count
/// has started anew, so an order meant for the previous incarnation could be valid there.
fn has_restarted(target: &Target, report: &Report) -> bool {
    let started = target.with(|state| state.profile.started);
    let restarted = started.is_some() && report.started.is_some() && started != report.started;
    if restarted {
        log::info!(
            engine = &*target.id.0, started = report.started;
            "an engine restarted while its stage was being changed"
        );
    }
    restarted
}

/// Returns how long the engine is unavailable while it changes its stage, as configured by the operators.
pub(super) fn switch_duration(gateway: &Gateway, target: &Target) -> Duration {
    let service = target.with(|state| Arc::clone(&state.profile.service));
    gateway
        .configuration()
        .and_then(|configuration| {
            Some(
                configuration
                    .service(&service)?
                    .engines
                    .as_ref()?
                    .stage_switch,
            )
        })
        .unwrap_or_default()
}

pub(super) async fn fetch_report(gateway: &Arc<Gateway>, target: &Arc<Target>) -> Option<Report> {
    let (status, body) = call(target, gateway.adapters.dialect.report_call()).await?;
    status
        .is_success()
        .then(|| gateway.adapters.dialect.parse_report(&body))
        .flatten()
}
