//! Removes the rows of builds that no longer count, at the gateway that reads the lists first.

use std::time::Duration;

use cloud::table::{Read, Row, Transaction};

use super::{Gateway, List, ROW_PREFIX, StoredBuild, Unparsed};
use crate::endpoint::Build;

/// How often to check whether a row no longer counts.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a removal that has failed or was not possible is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(30);
/// Maximum number of rows that are removed in one transaction.
const MAX_REMOVALS: usize = 50;

/// Removes rows for the lifetime of the process.
pub(super) async fn run(gateway: &Gateway) {
    loop {
        clock::sleep(CHECK_INTERVAL).await;
        let own = gateway.settings.gateway.peers;
        let is_remover = gateway.reads_lists() && !gateway.peers.has_preceding_reader(own);
        let may_remove = is_remover && gateway.store_available();
        expire_unparsed(gateway, may_remove).await;
        if may_remove && has_expired(gateway) {
            remove_expired(gateway).await;
            clock::sleep(RETRY_DELAY).await;
        }
    }
}

/// Takes the builds to be known once those of rows that can't be parsed no longer count, and removes the rows if it may.
async fn expire_unparsed(gateway: &Gateway, may_remove: bool) {
    let unparsed = gateway.stored_builds.unparsed.lock().clone();
    let Some(unparsed) = unparsed.filter(Unparsed::is_expired) else {
        return;
    };
    if !gateway.knows_earlier_builds() {
        log::info!("the builds of rows that could not be parsed no longer count");
        gateway.record_earlier_builds_known();
    }
    if may_remove {
        remove_unchanged(gateway, &unparsed.rows).await;
        *gateway.stored_builds.unparsed.lock() = None;
    }
}

/// Whether a row that this process knows names a build that no longer counts.
fn has_expired(gateway: &Gateway) -> bool {
    let counting = gateway.registry.builds().all();
    let is_counting = |(service, build): &(String, Build)| {
        let mut counting = counting.iter();
        counting.any(|(other, known)| **other == **service && known == build)
    };
    let rows = gateway.stored_builds.rows.lock();
    !rows.iter().all(is_counting)
}

/// Reads the rows and removes those of builds that no longer count, unless their writer knew a later list of endpoints.
async fn remove_expired(gateway: &Gateway) {
    // read before the builds, so that they hold all that this revision added
    let revision = gateway.last_changes.revision(List::Endpoints);
    let counting = gateway.registry.builds().all();
    let read = Read {
        keys: Vec::new(),
        prefixes: vec![ROW_PREFIX.to_owned()],
    };
    let rows = gateway.adapters.table.read(read).await;
    gateway.count_store_call("builds", rows.is_ok());
    let rows = match rows {
        Ok(rows) => rows,
        Err(error) => {
            log::warn!(error:%; "failed to read the rows of builds; none is removed");
            return;
        }
    };
    let is_expired = |row: &&Row| {
        let stored = serde_json::from_str::<StoredBuild>(&row.value);
        stored.is_ok_and(|row| {
            let mut counting = counting.iter();
            let counts = counting
                .any(|(service, build)| **service == *row.service && *build.0 == *row.build);
            !counts && row.endpoints_changed <= revision
        })
    };
    let expired = rows.iter().filter(is_expired);
    let expired: Vec<(String, u64)> = expired.map(|row| (row.key.clone(), row.version)).collect();
    remove_unchanged(gateway, &expired).await;
    let is_left = |(service, build): &(String, Build)| {
        let mut counting = counting.iter();
        counting.any(|(other, known)| **other == **service && known == build)
    };
    gateway.stored_builds.rows.lock().retain(is_left);
}

/// Removes rows that have not changed since they were read. One whose removal fails is left to a process that starts later.
async fn remove_unchanged(gateway: &Gateway, rows: &[(String, u64)]) {
    for (key, version) in rows.iter().take(MAX_REMOVALS) {
        let removal = Transaction::default().check(key, *version).remove(key);
        let outcome = gateway.adapters.table.commit(removal).await;
        gateway.count_store_call("builds", outcome.is_ok());
        match outcome {
            Ok(outcome) => {
                log::info!(key, outcome:?; "removed the row of a build unless it has changed");
            }
            Err(error) => log::warn!(key, error:%; "failed to remove the row of a build"),
        }
    }
}
