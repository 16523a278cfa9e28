//! Follows the operators' configuration; an older version never replaces a newer one.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use protocol::millis;

use super::{
    Backoff, Gateway,
    backoff::long_poll_timeout,
    follow::{Action, Cause, Follower, List},
    next_read,
};
use crate::{
    adapters::{Cursor, Failure, Update},
    version::Configuration,
};

/// Follows the list of configurations for the lifetime of the process.
pub async fn run(gateway: Arc<Gateway>) {
    let mut cursor = Cursor::Start;
    let mut backoff = Backoff::default();
    let mut outage = Outage::default();
    let mut follower = Follower::new(List::Configuration);
    loop {
        let cause = match follower.next_action(&gateway, cursor) {
            Action::Read => None,
            Action::CatchUp(cause) => {
                cursor = cursor.without_wait();
                Some(cause)
            }
            Action::Wait => {
                clock::sleep(Follower::poll_interval()).await;
                continue;
            }
        };
        let started = Instant::now();
        let result = gateway.adapters.directory.configuration(cursor).await;
        gateway.count_store_call("configuration", result.is_ok());
        match result {
            Ok(update) => {
                backoff = Backoff::default();
                outage.end(update.revision);
                follower.record_read(started);
                let wait = long_poll_timeout(&gateway, List::Configuration);
                cursor = next_read(update.revision, wait);
                apply(&gateway, update, started, cause);
            }
            Err(Failure::HistoryGone) => {
                log::warn!(table = "configuration"; "the store no longer has the history; reading the full list");
                cursor = Cursor::Start;
            }
            Err(failure) => {
                outage.record_failure(&gateway, failure, started.elapsed());
                cursor = retry_cursor(&gateway, cursor);
                let pause = backoff.pause(&gateway);
                while let Some(remaining) = pause.remaining(&gateway) {
                    clock::sleep(remaining).await;
                }
            }
        }
    }
}

/// Returns what to read after a call failed. Changes that were missed may be so many that the store takes longer to collect
/// them than a call may wait. If a peer knows of one, the newest version is read instead, which is never larger.
fn retry_cursor(gateway: &Gateway, cursor: Cursor) -> Cursor {
    match cursor {
        Cursor::Start => Cursor::Start,
        Cursor::After { .. } if gateway.is_behind() => Cursor::Start,
        Cursor::After { revision, .. } => next_read(revision, Duration::ZERO),
    }
}

/// Puts the newest configuration of an update into force. `started` is when it was asked for, and `cause` is why, unless
/// this process reads the list anyway.
fn apply(
    gateway: &Gateway,
    update: Update<Arc<Configuration>>,
    started: Instant,
    cause: Option<Cause>,
) {
    let versions = update.changes.len();
    let newest = update
        .changes
        .into_iter()
        .max_by_key(|change| change.version);
    if let Some(newest) = newest {
        let (version, routes) = (newest.version, newest.routes().len());
        let age = gateway.configuration_age(Instant::now());
        let adopted = gateway.adopt_configuration(newest);
        if let Some(age) = age.filter(|_| adopted) {
            let outdated = &gateway.metrics.configuration_outdated;
            outdated.observe(age.as_secs_f64());
        }
        let cause_text = cause.map(|cause| cause.to_string());
        let behind_ms = cause.and_then(Cause::behind_for).map(millis);
        log::info!(
            version, routes, versions, adopted, revision = update.revision, cause = cause_text, behind_ms,
            outdated_ms = age.map(millis), took_ms = millis(started.elapsed()); "read a configuration"
        );
    }
    if let Some(as_of) = update.as_of {
        gateway.confirm_list(List::Configuration, as_of, started);
    }
    gateway
        .last_changes
        .record(List::Configuration, update.last_change);
}

/// Failed calls since the store last answered.
#[derive(Debug, Default)]
struct Outage {
    failed: u32,
    since: Option<Instant>,
}

impl Outage {
    /// Records a failed call. Failures 1, 2, 4, 8 and so on are logged, so that a gateway that stays behind
    /// keeps reporting it with few lines.
    fn record_failure(&mut self, gateway: &Gateway, failure: Failure, took: Duration) {
        self.failed = self.failed.saturating_add(1);
        let since = *self.since.get_or_insert_with(Instant::now);
        if self.failed.is_power_of_two() {
            log::warn!(
                table = "configuration", failure:%, failed = self.failed, took_ms = millis(took),
                since_ms = millis(since.elapsed()), told = gateway.peers.latest_revision(List::Configuration),
                known = gateway.last_changes.revision(List::Configuration); "the store did not answer"
            );
        }
    }

    /// Records that the store answered.
    fn end(&mut self, revision: u64) {
        let Self { failed, since } = std::mem::take(self);
        if let Some(since) = since {
            log::info!(
                table = "configuration", revision, failed, since_ms = millis(since.elapsed());
                "the store has recovered"
            );
        }
    }
}
