//! Reads the rows of gateways that are gone. Those that start read all rows; one that runs on knows only the streams of
//! which it holds copies, and those killed together may have held the others.

use std::time::Duration;

use cloud::table::Read;

use super::{Gateway, ROW_PREFIX, store};
use crate::peer::Lost;

/// How often to check whether a gateway is gone.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Number of gateways that read the row of one that is gone. More than one, since another one may be gone too.
const READERS: usize = 2;
/// Maximum number of rows that are read at once.
const MAX_ROWS: usize = 8;

/// Reads the row of each gateway that is gone, once, while several builds serve.
pub(super) async fn run(gateway: &Gateway) {
    let mut have_read: Vec<u64> = Vec::new();
    loop {
        clock::sleep(CHECK_INTERVAL).await;
        let lost = gateway.peers.lost();
        have_read.retain(|read| lost.iter().any(|lost| lost.incarnation == *read));
        if lost.is_empty() || !gateway.registry.builds().is_mixed() || !gateway.store_available() {
            continue;
        }
        let own = gateway.settings.gateway.peers;
        let is_due = |lost: &&Lost| {
            !have_read.contains(&lost.incarnation)
                && gateway.peers.is_among_first(own, lost.incarnation, READERS)
        };
        let due: Vec<&Lost> = lost.iter().filter(is_due).take(MAX_ROWS).collect();
        if due.is_empty() {
            continue;
        }
        if read(gateway, &due).await {
            have_read.extend(due.iter().map(|lost| lost.incarnation));
        } else {
            clock::sleep(RETRY_DELAY).await;
        }
    }
}

/// Reads the rows of these gateways, whose streams this process goes on with as its own. Returns whether it could.
async fn read(gateway: &Gateway, lost: &[&Lost]) -> bool {
    let read = Read {
        keys: lost
            .iter()
            .map(|lost| format!("{ROW_PREFIX}{}", lost.name))
            .collect(),
        prefixes: Vec::new(),
    };
    let read = gateway.adapters.table.read(read).await;
    gateway.count_store_call("streams", read.is_ok());
    let rows = match read {
        Ok(rows) => rows,
        Err(error) => {
            log::warn!(error:%; "failed to read the rows of gateways that are gone; retrying");
            return false;
        }
    };
    for row in &rows {
        let Some(entries) = store::decode(&row.value) else {
            log::warn!(key = row.key; "could not parse the row of a gateway's streams");
            continue;
        };
        gateway.restore_streams(&entries, true);
        log::info!(key = row.key, streams = entries.len(); "the streams of a gateway that is gone were read from the store");
    }
    gateway.maintain_streams();
    true
}
