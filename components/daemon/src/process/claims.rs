//! Claims of idempotency keys, written to the table in batches before dispatch.
//!
//! See `docs/DESIGN.md#requests-that-may-not-be-repeated`.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use cloud::table::{self, Outcome, Read, Transaction};
use protocol::claim::{self, Recorded, Row, Stage, WriteOutcome};
use tokio::sync::{Notify, oneshot};

use super::{
    Process, lock,
    store::{self, by_keys},
};

/// Prefix of the claims' row keys.
pub const PREFIX: &str = "claim/";
const MAX_CLAIMS_PER_TRANSACTION: usize = 64;
/// Maximum number of outcomes that wait to be written. Beyond it the oldest is dropped; its claim then
/// counts as "unknown", which is always safe.
const MAX_PENDING_OUTCOMES: usize = 8_192;
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// A claim to be written, if the row still has the expected version.
#[derive(Debug)]
struct PendingClaim {
    key: String,
    row: Row,
    expected_version: u64,
    result: oneshot::Sender<(WriteOutcome, u64)>,
}

/// The outcome of a claim of this daemon, to be written.
#[derive(Clone, Debug)]
struct PendingOutcome {
    key: String,
    row: Row,
    /// The version of the claim's row; `None` if the response to its write was lost.
    version: Option<u64>,
}

#[derive(Debug, Default)]
pub struct Claims {
    queue: Mutex<Vec<PendingClaim>>,
    queued: Notify,
    /// Outcomes of this daemon's claims that are not in the table yet, the oldest first.
    pending_outcomes: Mutex<Vec<PendingOutcome>>,
    outcomes_added: Notify,
}

/// The result of looking up a key.
#[derive(Debug)]
pub struct Lookup {
    /// The row, if there is one.
    pub row: Option<Row>,
    /// The row's version; 0 if there is none.
    pub version: u64,
}

impl Claims {
    /// Looks up a key. An outcome that this daemon has not written yet takes precedence over the table.
    pub async fn look_up(&self, process: &Process, key: &str) -> Result<Lookup, table::Error> {
        let read = process.store.read(by_keys(&[key])).await;
        let own = lock(&self.pending_outcomes)
            .iter()
            .find(|outcome| outcome.key == key)
            .map(|outcome| outcome.row.clone());
        if let Some(row) = own {
            // the key can only be claimed again once this outcome is in the table
            let row = match row.stage {
                Stage::NotRun => Row {
                    stage: Stage::Claimed,
                    ..row
                },
                _ => row,
            };
            return Ok(Lookup {
                row: Some(row),
                version: 0,
            });
        }
        let rows = read?;
        let found = store::find(&rows, key);
        Ok(Lookup {
            row: store::parse(found),
            version: store::version_of(found),
        })
    }

    /// Writes a claim. Returns what is known of the write, and the version of the row.
    pub async fn write(&self, key: String, row: Row, expected_version: u64) -> (WriteOutcome, u64) {
        let (result, written) = oneshot::channel();
        lock(&self.queue).push(PendingClaim {
            key,
            row,
            expected_version,
            result,
        });
        self.queued.notify_one();
        written.await.unwrap_or((WriteOutcome::Unclear, 0))
    }

    /// Records the outcome of a claim of this daemon, to be written as soon as the table is available.
    pub fn queue_outcome(&self, key: String, row: Row, version: Option<u64>) {
        let mut pending = lock(&self.pending_outcomes);
        if pending.len() == MAX_PENDING_OUTCOMES {
            pending.remove(0);
        }
        pending.push(PendingOutcome { key, row, version });
        drop(pending);
        self.outcomes_added.notify_one();
    }
}

/// Writes claims and their outcomes and removes expired claims.
pub async fn run(process: Arc<Process>) {
    tokio::join!(
        write_claims(&process),
        write_outcomes(&process),
        expire(&process)
    );
}

async fn write_claims(process: &Process) {
    loop {
        let claims: Vec<PendingClaim> = {
            let mut pending = lock(&process.claims.queue);
            let count = pending.len().min(MAX_CLAIMS_PER_TRANSACTION);
            pending.drain(..count).collect()
        };
        if claims.is_empty() {
            process.claims.queued.notified().await;
        } else {
            write_claim_batch(process, claims).await;
        }
    }
}

/// Writes a batch of claims. A claim that conflicts with another one is taken out, and the rest is written
/// again.
async fn write_claim_batch(process: &Process, mut claims: Vec<PendingClaim>) {
    // of several claims of a key only the first is written; the others are dropped, which their requests
    // see as `WriteOutcome::Unclear`
    claims.sort_by(|a, b| a.key.cmp(&b.key));
    claims.dedup_by(|later, first| later.key == first.key);
    while !claims.is_empty() {
        let transaction = claims.iter().fold(Transaction::default(), |all, claim| {
            all.check(&claim.key, claim.expected_version)
                .write(&claim.key, store::to_json(&claim.row))
        });
        match process.store.commit(transaction).await {
            Ok(Outcome::Committed(version)) => {
                return send_results(claims, |_| (WriteOutcome::Written, version));
            }
            Ok(Outcome::Conflict(conflicts)) => {
                let lost_race =
                    |claim: &PendingClaim| conflicts.iter().any(|row| row.key == claim.key);
                let (lost, remaining) = claims.into_iter().partition(lost_race);
                send_results(lost, |_| (WriteOutcome::Taken, 0));
                claims = remaining;
            }
            Err(table::Error::NotApplied) => {
                return send_results(claims, |_| (WriteOutcome::Refused, 0));
            }
            Err(table::Error::OutcomeUnknown) => return read_results(process, claims).await,
        }
    }
}

fn send_results(claims: Vec<PendingClaim>, outcome: impl Fn(&PendingClaim) -> (WriteOutcome, u64)) {
    for claim in claims {
        let outcome = outcome(&claim);
        // if the request was cancelled there is no receiver; the claim's outcome is recorded by its guard
        let _ = claim.result.send(outcome);
    }
}

/// Determines, after a lost response, which claims were written: those whose rows have their tokens.
async fn read_results(process: &Process, claims: Vec<PendingClaim>) {
    let read = Read {
        keys: claims.iter().map(|claim| claim.key.clone()).collect(),
        prefixes: Vec::new(),
    };
    let rows = process.store.read(read).await.unwrap_or_default();
    send_results(claims, |claim| {
        let found = store::find(&rows, &claim.key);
        match store::parse::<Row>(found) {
            Some(row) if row.token == claim.row.token => {
                (WriteOutcome::Written, store::version_of(found))
            }
            // without a row the write may still take effect; another claim's row means that it never will
            Some(_) if store::version_of(found) != claim.expected_version => {
                (WriteOutcome::Taken, 0)
            }
            _ => (WriteOutcome::Unclear, 0),
        }
    });
}

async fn write_outcomes(process: &Process) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let batch: Vec<PendingOutcome> = lock(&process.claims.pending_outcomes)
            .iter()
            .take(MAX_CLAIMS_PER_TRANSACTION)
            .cloned()
            .collect();
        if batch.is_empty() {
            process.claims.outcomes_added.notified().await;
            continue;
        }
        if write_outcome_batch(process, &batch).await {
            backoff = INITIAL_BACKOFF;
        } else {
            let jitter = rand::random_range(0.5..1.5);
            tokio::time::sleep(backoff.mul_f64(jitter)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Writes a batch of outcomes. Returns whether that succeeded.
async fn write_outcome_batch(process: &Process, batch: &[PendingOutcome]) -> bool {
    let read = Read {
        keys: batch.iter().map(|outcome| outcome.key.clone()).collect(),
        prefixes: Vec::new(),
    };
    let Ok(rows) = process.store.read(read).await else {
        return false;
    };
    let mut transaction = Transaction::default();
    for outcome in batch {
        let found = store::find(&rows, &outcome.key);
        let current: Option<Row> = store::parse(found);
        // A row with another token belongs to another claim. If there is no row, one is written, so that a
        // delayed write of the claim fails its version check.
        let ours = current
            .as_ref()
            .is_none_or(|row| row.token == outcome.row.token);
        let current_version = store::version_of(found);
        let already_written = current.is_some() && current.as_ref() == Some(&outcome.row);
        if ours && !already_written && outcome.version.is_none_or(|known| known == current_version)
        {
            transaction = transaction
                .check(&outcome.key, current_version)
                .write(&outcome.key, store::to_json(&outcome.row));
        }
    }
    let written = transaction.writes.is_empty()
        || matches!(
            process.store.commit(transaction).await,
            Ok(Outcome::Committed(_))
        );
    if written {
        lock(&process.claims.pending_outcomes)
            .retain(|outcome| batch.iter().all(|one| one.row.token != outcome.row.token));
    }
    written
}

/// Mean interval between two searches for expired claims.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(600);

/// Removes claims that are older than their service's retention. Wall clocks may differ by seconds, which
/// does not matter because retention is counted in hours.
async fn expire(process: &Process) {
    loop {
        let jitter = rand::random_range(0.5..1.5);
        tokio::time::sleep(EXPIRY_INTERVAL.mul_f64(jitter)).await;
        let Some(current) = process.current.get() else {
            continue;
        };
        if super::settings_sync::is_poller(process) {
            for service in &current.resolved.services {
                expire_service(process, &service.name, service.retention).await;
            }
        }
    }
}

async fn expire_service(process: &Process, service: &str, retention: Duration) {
    let prefix = format!("{PREFIX}{service}/");
    let Ok(rows) = process.store.read(store::by_prefix(&prefix)).await else {
        return;
    };
    let retention = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
    let now = telemetry::logs::wall_ms();
    let expired: Vec<&table::Row> = rows
        .iter()
        .filter(|row| {
            let claim: Option<Row> = store::parse(Some(row));
            claim.is_some_and(|claim| claim.at_ms.saturating_add(retention) < now)
        })
        .collect();
    for batch in expired.chunks(MAX_CLAIMS_PER_TRANSACTION) {
        let transaction = batch.iter().fold(Transaction::default(), |all, row| {
            all.check(&row.key, row.version).remove(&row.key)
        });
        // if a row has changed, its batch is not removed before the next search
        let _ = process.store.commit(transaction).await;
    }
}

/// A claim that was written, or may have been. If it is dropped without an outcome, its request may have
/// been executed.
pub struct ClaimGuard {
    process: Arc<Process>,
    key: String,
    row: Row,
    version: Option<u64>,
    finished: bool,
}

impl ClaimGuard {
    pub fn new(process: Arc<Process>, key: String, row: Row, version: Option<u64>) -> Self {
        Self {
            process,
            key,
            row,
            version,
            finished: false,
        }
    }

    /// Records that the request was executed, and its response.
    pub fn executed(self, recorded: Option<Recorded>) {
        self.finish(Stage::Done(recorded));
    }

    /// Records that the request was not executed and will not be executed by this daemon.
    pub fn not_executed(self) {
        self.finish(Stage::NotRun);
    }

    fn finish(mut self, stage: Stage) {
        self.set_outcome(stage);
    }

    fn set_outcome(&mut self, stage: Stage) {
        self.finished = true;
        let row = Row {
            stage,
            ..self.row.clone()
        };
        self.process
            .claims
            .queue_outcome(self.key.clone(), row, self.version);
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if !self.finished {
            self.set_outcome(Stage::Unknown);
        }
    }
}

/// Decides on a request by the row of its key.
pub fn decide(process: &Process, found: &Lookup, digest: u64) -> claim::Decision {
    claim::decide(found.row.as_ref(), digest, |other| {
        process.members.is_incarnation_reachable(other)
    })
}
