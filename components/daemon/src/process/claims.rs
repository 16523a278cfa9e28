//! Claims of idempotency keys: written to the table in groups, before dispatch.
//!
//! See `docs/DESIGN.md#requests-that-may-not-be-repeated`.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use cloud::table::{self, Outcome, Read, Transaction};
use protocol::claim::{self, Recorded, Row, Stage, Write};
use tokio::sync::{Notify, oneshot};

use super::{
    Process, lock,
    store::{self, by_keys},
};

/// Prefix of the rows.
pub const PREFIX: &str = "claim/";
/// The most claims in one transaction.
const MAX_CLAIMS_PER_TRANSACTION: usize = 64;
/// The most outcomes that wait for the table; beyond, the oldest are dropped, and their claims then
/// read as "unknown", which is never false.
const MAX_PENDING_OUTCOMES: usize = 8_192;
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// A claim to be written over a row of this version.
#[derive(Debug)]
struct PendingClaim {
    key: String,
    row: Row,
    expected_version: u64,
    result: oneshot::Sender<(Write, u64)>,
}

/// What is to be written of a claim that this daemon made.
#[derive(Clone, Debug)]
struct PendingOutcome {
    key: String,
    row: Row,
    /// The row's version where it is known; after a lost answer it isn't.
    version: Option<u64>,
}

/// The claims of a daemon.
#[derive(Debug, Default)]
pub struct Claims {
    queue: Mutex<Vec<PendingClaim>>,
    queued: Notify,
    /// Claims of this daemon whose end the table does not show yet, sorted by key.
    pending_outcomes: Mutex<Vec<PendingOutcome>>,
    outcomes_added: Notify,
}

/// What was found when a key was looked up.
#[derive(Debug)]
pub struct Lookup {
    /// The row, if there is one.
    pub row: Option<Row>,
    /// Its version, 0 when there is none.
    pub version: u64,
}

impl Claims {
    /// Looks a key up; what this daemon knows itself goes before what the table shows.
    pub async fn look_up(&self, process: &Process, key: &str) -> Result<Lookup, table::Error> {
        let read = process.store.read(by_keys(&[key])).await;
        let own = lock(&self.pending_outcomes)
            .iter()
            .find(|outcome| outcome.key == key)
            .map(|outcome| outcome.row.clone());
        if let Some(row) = own {
            // its end is on its way to the table; claimed again it can be only after that
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

    /// Writes a claim; the row's version comes with what is known of the write.
    pub async fn write(&self, key: String, row: Row, expected_version: u64) -> (Write, u64) {
        let (result, written) = oneshot::channel();
        lock(&self.queue).push(PendingClaim {
            key,
            row,
            expected_version,
            result,
        });
        self.queued.notify_one();
        written.await.unwrap_or((Write::Unclear, 0))
    }

    /// Notes how a claim of this daemon ended; the table is told as soon as it can be.
    pub fn record_outcome(&self, key: String, row: Row, version: Option<u64>) {
        let mut pending = lock(&self.pending_outcomes);
        if pending.len() == MAX_PENDING_OUTCOMES {
            pending.remove(0);
        }
        pending.push(PendingOutcome { key, row, version });
        drop(pending);
        self.outcomes_added.notify_one();
    }
}

/// Writes claims and their ends as long as the process lives.
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

/// Writes a group; whoever loses its key to another claim leaves the group, and the rest go again.
async fn write_claim_batch(process: &Process, mut claims: Vec<PendingClaim>) {
    // one request of a group for a key; a second one has lost to the first
    claims.sort_by(|a, b| a.key.cmp(&b.key));
    claims.dedup_by(|later, first| later.key == first.key);
    while !claims.is_empty() {
        let transaction = claims.iter().fold(Transaction::default(), |all, claim| {
            all.check(&claim.key, claim.expected_version)
                .write(&claim.key, store::to_json(&claim.row))
        });
        match process.store.commit(transaction).await {
            Ok(Outcome::Committed(version)) => {
                return send_results(claims, |_| (Write::Written, version));
            }
            Ok(Outcome::Conflict(conflicts)) => {
                let lost_race =
                    |claim: &PendingClaim| conflicts.iter().any(|row| row.key == claim.key);
                let (lost, remaining) = claims.into_iter().partition(lost_race);
                send_results(lost, |_| (Write::Taken, 0));
                claims = remaining;
            }
            Err(table::Error::NotApplied) => return send_results(claims, |_| (Write::Refused, 0)),
            Err(table::Error::OutcomeUnknown) => return read_results(process, claims).await,
        }
    }
}

fn send_results(claims: Vec<PendingClaim>, outcome: impl Fn(&PendingClaim) -> (Write, u64)) {
    for claim in claims {
        let outcome = outcome(&claim);
        // a caller that hung up needs no answer; its claim is ended by the guard that made it
        let _ = claim.result.send(outcome);
    }
}

/// After a lost answer: a claim stands if the row shows its token.
async fn read_results(process: &Process, claims: Vec<PendingClaim>) {
    let read = Read {
        keys: claims.iter().map(|claim| claim.key.clone()).collect(),
        prefixes: Vec::new(),
    };
    let rows = process.store.read(read).await.unwrap_or_default();
    send_results(claims, |claim| {
        let found = store::find(&rows, &claim.key);
        match store::parse::<Row>(found) {
            Some(row) if row.token == claim.row.token => (Write::Written, store::version_of(found)),
            // absent now, it may come yet; another's row means that ours never will
            Some(_) if store::version_of(found) != claim.expected_version => (Write::Taken, 0),
            _ => (Write::Unclear, 0),
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

/// Writes how claims ended; says whether the table answered.
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
        // a row that isn't this claim's is another's business. Where there is none, one is written,
        // so that a write still on its way fails its check
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

/// Between two looks for claims that are past their retention.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(600);

/// Takes away claims past their service's retention. Wall clocks may differ by seconds; retention is
/// counted in hours.
async fn expire(process: &Process) {
    loop {
        let jitter = rand::random_range(0.5..1.5);
        tokio::time::sleep(EXPIRY_INTERVAL.mul_f64(jitter)).await;
        let Some(current) = process.current.get() else {
            continue;
        };
        if super::settings_sync::is_poller(process) {
            for service in &current.typed.services {
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
        // one that changed meanwhile keeps its group for the next look
        let _ = process.store.commit(transaction).await;
    }
}

/// A claim that stands; when it is dropped without an end, its request may have run.
pub struct ClaimGuard {
    process: Arc<Process>,
    key: String,
    row: Row,
    version: Option<u64>,
    finished: bool,
}

impl ClaimGuard {
    /// Guards a claim that was written, or may have been.
    pub fn new(process: Arc<Process>, key: String, row: Row, version: Option<u64>) -> Self {
        Self {
            process,
            key,
            row,
            version,
            finished: false,
        }
    }

    /// The request ran and this was its answer.
    pub fn executed(self, recorded: Option<Recorded>) {
        self.finish(Stage::Done(recorded));
    }

    /// The request certainly did not run, and this daemon won't run it.
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
            .record_outcome(self.key.clone(), row, self.version);
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if !self.finished {
            self.set_outcome(Stage::Unknown);
        }
    }
}

/// What to do with a request by its key.
pub fn decide(process: &Process, found: &Lookup, digest: u64) -> claim::Decision {
    claim::decide(found.row.as_ref(), digest, |other| {
        process.members.is_incarnation_reachable(other)
    })
}
