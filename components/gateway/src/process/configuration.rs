//! Keeps the operators' configuration: never an older one than was in force before.

use std::sync::Arc;

use super::{Backoff, Gateway, next};
use crate::edge::{Failure, From};

/// Follows the configuration as long as the process lives.
pub async fn keep(gateway: Arc<Gateway>) {
    let mut from = From::Start;
    let mut backoff = Backoff::default();
    let mut reachable = true;
    loop {
        match gateway.edges.directory.configuration(from).await {
            Ok(update) => {
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
                from = next(update.revision, true);
            }
            Err(failure) => {
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
                    backoff.wait().await;
                }
            }
        }
    }
}
