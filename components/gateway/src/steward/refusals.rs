//! Engines that refuse requests because they carry out an order that this process does not know of: the steward that gave
//! it is gone, or this process has just started.

use std::{sync::Arc, time::Duration};

use clock::Instant;

use super::change::{fetch_report, switch_duration};
use crate::{
    endpoint::{Stage, Target},
    process::Gateway,
};

/// How long an engine that has refused a request gets no others while its report is awaited.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);

/// An engine that has reported that it carries out an order.
#[derive(Debug)]
pub(super) struct Found {
    target: Arc<Target>,
    /// Its stage when it reported that.
    stage: Option<Stage>,
    until: Instant,
}

impl Found {
    pub(super) fn short_id(&self) -> u32 {
        self.target.short_id
    }

    /// Whether the order may still be in progress.
    pub(super) fn lasts(&self) -> bool {
        Instant::now() < self.until && self.target.remains_in(self.stage)
    }
}

/// Asks an engine that refused a request although it seems to have room whether it carries out an order. If so, this
/// process and its peers send it no requests until it has likely changed its stage.
pub fn check(gateway: &Arc<Gateway>, target: &Arc<Target>) {
    if !target.begin_refusal_check() {
        return;
    }
    let (gateway, target) = (Arc::clone(gateway), Arc::clone(target));
    tokio::spawn(async move {
        let report = clock::timeout(REPORT_TIMEOUT, fetch_report(&gateway, &target)).await;
        let report = report.ok().flatten();
        if report.is_some_and(|report| report.order_in_progress) {
            record(&gateway, &target);
        }
        target.end_refusal_check();
        log::info!(
            endpoint = &*target.id.0, order_in_progress = report.map(|report| report.order_in_progress);
            "checked why an engine with room refused a request"
        );
    });
}

fn record(gateway: &Gateway, target: &Arc<Target>) {
    let until = Instant::now() + switch_duration(gateway, target);
    target.mark_changing(until);
    let mut state = gateway.steward.state.lock();
    state
        .found
        .retain(|found| !Arc::ptr_eq(&found.target, target));
    state.found.push(Found {
        target: Arc::clone(target),
        stage: target.stage(),
        until,
    });
}
