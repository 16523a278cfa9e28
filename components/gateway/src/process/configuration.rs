//! Keeps the operators' configuration: never an older one than was in force before.

use std::sync::Arc;

use super::{
    Backoff, Gateway,
    follow::{List, Turn, Wait},
    next,
};
use crate::edge::{Failure, From};

/// Follows the configuration as long as the process lives.
pub async fn keep(gateway: Arc<Gateway>) {
    let mut from = From::Start;
    let mut backoff = Backoff::default();
    let mut reachable = true;
    let mut wait = Wait::new(List::Configuration);
    loop {
        match wait.look(&gateway, from) {
            Turn::Read => {}
            Turn::CatchUp => from = from.at_once(),
            Turn::Rest => {
                tokio::time::sleep(Wait::pause()).await;
                continue;
            }
        }
        match gateway.edges.directory.configuration(from).await {
            Ok(update) => {
                gateway.count_call("configuration", true);
                if !reachable {
                    log::info!(table = "configuration", revision = update.revision; "the store answers again");
                }
                reachable = true;
                backoff = Backoff::default();
                let newest = update
                    .changes
                    .into_iter()
                    .max_by_key(|change| change.version);
                if let Some(newest) = newest {
                    let (version, routes) = (newest.version, newest.routes().len());
                    let adopted = gateway.adopt(newest);
                    log::info!(version, routes, adopted, revision = update.revision; "read a configuration");
                }
                gateway.changed.note(List::Configuration, update.changed);
                from = next(update.revision, true);
            }
            Err(failure) => {
                gateway.count_call("configuration", false);
                if reachable || failure == Failure::HistoryGone {
                    log::warn!(table = "configuration", failure:%; "the store did not answer");
                }
                reachable = failure == Failure::HistoryGone;
                match from {
                    _ if failure == Failure::HistoryGone => from = From::Start,
                    From::Start => {}
                    From::After { revision, .. } => from = next(revision, false),
                }
                if !reachable {
                    let pause = backoff.pause(&gateway);
                    while let Some(rest) = pause.rest(&gateway) {
                        tokio::time::sleep(rest).await;
                    }
                }
            }
        }
    }
}
