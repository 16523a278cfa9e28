//! Keeps the operators' configuration: never an older one than was in force before.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use protocol::millis;

use super::{
    Backoff, Gateway,
    follow::{List, Turn, Wait},
    next,
};
use crate::{
    edge::{Cursor, Failure, Update},
    version::Configuration,
};

/// Follows the configuration as long as the process lives.
pub async fn keep(gateway: Arc<Gateway>) {
    let mut from = Cursor::Start;
    let mut backoff = Backoff::default();
    let mut tries = Tries::default();
    let mut wait = Wait::new(List::Configuration);
    loop {
        match wait.look(&gateway, from) {
            Turn::Read => {}
            Turn::CatchUp => from = from.without_wait(),
            Turn::Rest => {
                clock::sleep(Wait::pause()).await;
                continue;
            }
        }
        let begun = Instant::now();
        let answer = gateway.edges.directory.configuration(from).await;
        gateway.count_call("configuration", answer.is_ok());
        match answer {
            Ok(update) => {
                backoff = Backoff::default();
                tries.end(update.revision);
                from = next(update.revision, true);
                take(&gateway, update, begun.elapsed());
            }
            Err(Failure::HistoryGone) => {
                log::warn!(table = "configuration"; "the store no longer has the history; reading everything");
                from = Cursor::Start;
            }
            Err(failure) => {
                tries.fail(&gateway, failure, begun.elapsed());
                if let Cursor::After { revision, .. } = from {
                    from = next(revision, false);
                }
                let pause = backoff.pause(&gateway);
                while let Some(rest) = pause.rest(&gateway) {
                    clock::sleep(rest).await;
                }
            }
        }
    }
}

/// Puts what was read into force.
fn take(gateway: &Gateway, update: Update<Arc<Configuration>>, took: Duration) {
    let versions = update.changes.len();
    let newest = update
        .changes
        .into_iter()
        .max_by_key(|change| change.version);
    if let Some(newest) = newest {
        let (version, routes) = (newest.version, newest.routes().len());
        let adopted = gateway.adopt(newest);
        log::info!(
            version, routes, versions, adopted, revision = update.revision,
            took_ms = millis(took); "read a configuration"
        );
    }
    gateway
        .changed
        .note(List::Configuration, update.last_change);
}

/// Calls that failed since the store last answered.
#[derive(Debug, Default)]
struct Tries {
    failed: u32,
    since: Option<Instant>,
}

impl Tries {
    /// Takes that a call failed. Each line comes after twice as many failures as the one before it, so that a
    /// gateway that stays behind goes on saying so, and their number stays bounded.
    fn fail(&mut self, gateway: &Gateway, failure: Failure, took: Duration) {
        self.failed = self.failed.saturating_add(1);
        let since = *self.since.get_or_insert_with(Instant::now);
        if self.failed.is_power_of_two() {
            log::warn!(
                table = "configuration", failure:%, failed = self.failed, took_ms = millis(took),
                since_ms = millis(since.elapsed()), told = gateway.peers.latest_revision(List::Configuration),
                known = gateway.changed.get(List::Configuration); "the store did not answer"
            );
        }
    }

    /// Takes that the store answered.
    fn end(&mut self, revision: u64) {
        let Self { failed, since } = std::mem::take(self);
        if let Some(since) = since {
            log::info!(
                table = "configuration", revision, failed, since_ms = millis(since.elapsed());
                "the store answers again"
            );
        }
    }
}
