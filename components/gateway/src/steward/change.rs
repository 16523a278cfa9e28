//! Carries one change of an engine's stage out: gateways stop sending there, then the order goes out,
//! then the engine's word is awaited.

use std::{sync::Arc, time::Duration};

use clock::Instant;

use super::plan::Wish;
use crate::{
    edge::{Order, OrderOutcome, Report},
    endpoint::Target,
    process::Gateway,
    request::call,
};

/// Peers hear that an engine is changing within this time, and what they sent before has arrived.
const HEARD: Duration = Duration::from_millis(80);
/// How long an engine's answers may run out before it is ordered; it finishes the rest itself, but
/// takes nothing else meanwhile.
const RUN_OUT: Duration = Duration::from_secs(2);
/// Between two looks at an engine.
const LOOK: Duration = Duration::from_millis(300);
/// An order that had no effect is given this often.
const ORDERS: u32 = 6;
/// How much longer than its switch an engine may take: its longest answers run to their end first.
const LONGEST: Duration = Duration::from_secs(20);

/// An engine that is being changed; gateways send there again when this is dropped.
struct Changing {
    gateway: Arc<Gateway>,
    short: u32,
}

impl Changing {
    fn new(gateway: &Arc<Gateway>, short: u32) -> Self {
        gateway.steward.begin(short);
        Self {
            gateway: Arc::clone(gateway),
            short,
        }
    }
}

impl Drop for Changing {
    fn drop(&mut self) {
        self.gateway.steward.end(self.short);
    }
}

/// Changes an engine's stage, if the lease lasts.
pub async fn carry_out(gateway: Arc<Gateway>, wish: Wish, epoch: u64) {
    let begun = Instant::now();
    let target = &wish.target;
    let _changing = Changing::new(&gateway, target.short_id);
    run_out(target).await;
    let ordered = order(&gateway, &wish, epoch).await;
    let done = ordered && arrive(&gateway, &wish).await;
    log::info!(
        engine = &*target.id.0, to:% = wish.stage, ordered, done, epoch,
        took_us = policy::micros(begun.elapsed());
        "a change of stage ended"
    );
}

/// Waits until the engine has nothing under way, for a while.
async fn run_out(target: &Target) {
    let begun = Instant::now();
    clock::sleep(HEARD).await;
    while begun.elapsed() < RUN_OUT {
        let load = target.with(|state| state.own_load.plus(state.peer_load));
        if load.decoding == 0 && load.prompts == 0 {
            return;
        }
        clock::sleep(HEARD).await;
    }
}

/// Gives the order until the engine has accepted it. Says whether it has.
async fn order(gateway: &Arc<Gateway>, wish: &Wish, epoch: u64) -> bool {
    for _ in 0..ORDERS {
        let Some(report) = report(gateway, &wish.target).await else {
            clock::sleep(LOOK).await;
            continue;
        };
        if is_another(&wish.target, &report) {
            return false;
        }
        if report.stage == wish.stage {
            return true;
        }
        if report.order_in_progress {
            clock::sleep(LOOK).await;
            continue;
        }
        // nothing is awaited between this look at the lease and the order
        if !gateway.steward.may_order(epoch) {
            return false;
        }
        match give(gateway, wish, epoch, &report).await {
            Some(OrderOutcome::Accepted | OrderOutcome::Holds) => return true,
            Some(OrderOutcome::Fenced) => return false,
            Some(OrderOutcome::Conflict | OrderOutcome::Refused | OrderOutcome::Unclear) | None => {
                clock::sleep(LOOK).await;
            }
        }
    }
    false
}

async fn give(
    gateway: &Arc<Gateway>,
    wish: &Wish,
    epoch: u64,
    report: &Report,
) -> Option<OrderOutcome> {
    let order = Order {
        engine: wish.target.id.clone(),
        stage: wish.stage,
        holder: gateway.settings.gateway.name.clone(),
        fencing_token: epoch,
        accepted_orders: report.accepted_orders,
    };
    let answer = call(&wish.target, gateway.edges.dialect.order_call(&order)).await;
    let ordered = answer.map(|(status, _)| gateway.edges.dialect.parse_order_reply(status));
    let label = ordered.map_or_else(|| "unanswered".to_owned(), |ordered| ordered.to_string());
    gateway.metrics.orders.with_label_values(&[&label]).inc();
    let outcome = ordered.map_or("no answer".to_owned(), |ordered| ordered.to_string());
    log::info!(
        engine = &*wish.target.id.0, to:% = wish.stage, epoch, after = report.accepted_orders, outcome;
        "ordered a change of stage"
    );
    ordered
}

/// Waits until the engine is in its new stage. Says whether it is.
async fn arrive(gateway: &Arc<Gateway>, wish: &Wish) -> bool {
    let switch = switch(gateway, &wish.target);
    let latest = Instant::now() + switch + LONGEST;
    // not before the engine can be back
    clock::sleep(switch.saturating_sub(LOOK)).await;
    while Instant::now() < latest {
        if wish.target.stage() == Some(wish.stage) {
            return true;
        }
        let report = report(gateway, &wish.target).await;
        if report.is_some_and(|report| is_another(&wish.target, &report)) {
            return false;
        }
        if report.is_some_and(|report| report.stage == wish.stage && !report.order_in_progress) {
            wish.target.set_stage(wish.stage);
            gateway.steward.announce(wish.target.short_id, wish.stage);
            return true;
        }
        clock::sleep(LOOK).await;
    }
    false
}

/// Whether a report comes from another incarnation than the one that a change is meant for. What it counts has
/// begun anew, so an order made out for the former one could hold there.
fn is_another(target: &Target, report: &Report) -> bool {
    let started = target.with(|state| state.profile.started);
    let another = started.is_some() && report.started.is_some() && started != report.started;
    if another {
        log::info!(
            engine = &*target.id.0, started = report.started;
            "an engine has started again under a change of stage"
        );
    }
    another
}

/// How long the engine is away, as the operators say.
fn switch(gateway: &Gateway, target: &Target) -> Duration {
    let service = target.with(|state| Arc::clone(&state.profile.service));
    gateway
        .configuration()
        .and_then(|version| Some(version.service(&service)?.engines.as_ref()?.stage_switch))
        .unwrap_or_default()
}

async fn report(gateway: &Arc<Gateway>, target: &Arc<Target>) -> Option<Report> {
    let (status, body) = call(target, gateway.edges.dialect.report_call()).await?;
    status
        .is_success()
        .then(|| gateway.edges.dialect.parse_report(&body))
        .flatten()
}
