//! Claims of idempotency keys: written to the table in groups, before dispatch.
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
    store::{self, rows},
};

/// Prefix of the rows.
pub const PREFIX: &str = "claim/";
/// The most claims in one transaction.
const GROUP: usize = 64;
/// The most outcomes that wait for the table; beyond, the oldest are dropped, and their claims then
/// read as "unknown", which is never false.
const OUTCOMES: usize = 8_192;
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// A claim to be written over a row of this version.
#[derive(Debug)]
struct Job {
    key: String,
    row: Row,
    over: u64,
    done: oneshot::Sender<(WriteOutcome, u64)>,
}

/// What is to be written of a claim that this daemon made.
#[derive(Clone, Debug)]
struct Ending {
    key: String,
    row: Row,
    /// The row's version where it is known; after a lost answer it isn't.
    over: Option<u64>,
}

/// The claims of a daemon.
#[derive(Debug, Default)]
pub struct Claims {
    jobs: Mutex<Vec<Job>>,
    wake: Notify,
    /// Claims of this daemon whose end the table does not show yet, sorted by key.
    endings: Mutex<Vec<Ending>>,
    wake_endings: Notify,
}

/// What was found when a key was looked up.
#[derive(Debug)]
pub struct Found {
    /// The row, if there is one.
    pub row: Option<Row>,
    /// Its version, 0 when there is none.
    pub version: u64,
}

impl Claims {
    /// Looks a key up; what this daemon knows itself goes before what the table shows.
    pub async fn find(&self, process: &Process, key: &str) -> Result<Found, table::Error> {
        let read = process.store.read(rows(&[key])).await;
        let own = lock(&self.endings)
            .iter()
            .find(|ending| ending.key == key)
            .map(|ending| ending.row.clone());
        if let Some(row) = own {
            // its end is on its way to the table; claimed again it can be only after that
            let row = match row.stage {
                Stage::NotRun => Row {
                    stage: Stage::Claimed,
                    ..row
                },
                _ => row,
            };
            return Ok(Found {
                row: Some(row),
                version: 0,
            });
        }
        let rows = read?;
        let found = store::find(&rows, key);
        Ok(Found {
            row: store::value(found),
            version: store::version(found),
        })
    }

    /// Writes a claim; the row's version comes with what is known of the write.
    pub async fn write(&self, key: String, row: Row, over: u64) -> (WriteOutcome, u64) {
        let (done, written) = oneshot::channel();
        lock(&self.jobs).push(Job {
            key,
            row,
            over,
            done,
        });
        self.wake.notify_one();
        written.await.unwrap_or((WriteOutcome::Unclear, 0))
    }

    /// Notes how a claim of this daemon ended; the table is told as soon as it can be.
    pub fn end(&self, key: String, row: Row, over: Option<u64>) {
        let mut endings = lock(&self.endings);
        if endings.len() == OUTCOMES {
            endings.remove(0);
        }
        endings.push(Ending { key, row, over });
        drop(endings);
        self.wake_endings.notify_one();
    }
}

/// Writes claims and their ends as long as the process lives.
pub async fn keep(process: Arc<Process>) {
    tokio::join!(
        write_jobs(&process),
        write_endings(&process),
        expire(&process)
    );
}

async fn write_jobs(process: &Process) {
    loop {
        let jobs: Vec<Job> = {
            let mut waiting = lock(&process.claims.jobs);
            let most = waiting.len().min(GROUP);
            waiting.drain(..most).collect()
        };
        if jobs.is_empty() {
            process.claims.wake.notified().await;
        } else {
            write_group(process, jobs).await;
        }
    }
}

/// Writes a group; whoever loses its key to another claim leaves the group, and the rest go again.
async fn write_group(process: &Process, mut jobs: Vec<Job>) {
    // one request of a group for a key; a second one has lost to the first
    jobs.sort_by(|a, b| a.key.cmp(&b.key));
    jobs.dedup_by(|later, first| later.key == first.key);
    while !jobs.is_empty() {
        let transaction = jobs.iter().fold(Transaction::default(), |all, job| {
            all.check(&job.key, job.over)
                .write(&job.key, store::text(&job.row))
        });
        match process.store.commit(transaction).await {
            Ok(Outcome::Committed(version)) => {
                return answer(jobs, |_| (WriteOutcome::Written, version));
            }
            Ok(Outcome::Conflict(lost)) => {
                let has_lost = |job: &Job| lost.iter().any(|row| row.key == job.key);
                let (out, left) = jobs.into_iter().partition(has_lost);
                answer(out, |_| (WriteOutcome::Taken, 0));
                jobs = left;
            }
            Err(table::Error::NotApplied) => return answer(jobs, |_| (WriteOutcome::Refused, 0)),
            Err(table::Error::OutcomeUnknown) => return read_back(process, jobs).await,
        }
    }
}

fn answer(jobs: Vec<Job>, outcome: impl Fn(&Job) -> (WriteOutcome, u64)) {
    for job in jobs {
        let outcome = outcome(&job);
        // a caller that hung up needs no answer; its claim is ended by the guard that made it
        let _ = job.done.send(outcome);
    }
}

/// After a lost answer: a claim stands if the row shows its token.
async fn read_back(process: &Process, jobs: Vec<Job>) {
    let read = Read {
        keys: jobs.iter().map(|job| job.key.clone()).collect(),
        prefixes: Vec::new(),
    };
    let rows = process.store.read(read).await.unwrap_or_default();
    answer(jobs, |job| {
        let found = store::find(&rows, &job.key);
        match store::value::<Row>(found) {
            Some(row) if row.token == job.row.token => {
                (WriteOutcome::Written, store::version(found))
            }
            // absent now, it may come yet; another's row means that ours never will
            Some(_) if store::version(found) != job.over => (WriteOutcome::Taken, 0),
            _ => (WriteOutcome::Unclear, 0),
        }
    });
}

async fn write_endings(process: &Process) {
    let mut pause = FIRST_PAUSE;
    loop {
        let group: Vec<Ending> = lock(&process.claims.endings)
            .iter()
            .take(GROUP)
            .cloned()
            .collect();
        if group.is_empty() {
            process.claims.wake_endings.notified().await;
            continue;
        }
        if write_ends(process, &group).await {
            pause = FIRST_PAUSE;
        } else {
            let jitter = rand::random_range(0.5..1.5);
            tokio::time::sleep(pause.mul_f64(jitter)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }
}

/// Writes how claims ended; says whether the table answered.
async fn write_ends(process: &Process, group: &[Ending]) -> bool {
    let read = Read {
        keys: group.iter().map(|ending| ending.key.clone()).collect(),
        prefixes: Vec::new(),
    };
    let Ok(rows) = process.store.read(read).await else {
        return false;
    };
    let mut transaction = Transaction::default();
    for ending in group {
        let found = store::find(&rows, &ending.key);
        let now: Option<Row> = store::value(found);
        // a row that isn't this claim's is another's business. Where there is none, one is written,
        // so that a write still on its way fails its check
        let ours = now.as_ref().is_none_or(|row| row.token == ending.row.token);
        let over = store::version(found);
        let old = now.is_some() && now.as_ref() == Some(&ending.row);
        if ours && !old && ending.over.is_none_or(|known| known == over) {
            transaction = transaction
                .check(&ending.key, over)
                .write(&ending.key, store::text(&ending.row));
        }
    }
    let written = transaction.writes.is_empty()
        || matches!(
            process.store.commit(transaction).await,
            Ok(Outcome::Committed(_))
        );
    if written {
        lock(&process.claims.endings)
            .retain(|ending| group.iter().all(|one| one.row.token != ending.row.token));
    }
    written
}

/// Between two looks for claims that are past their retention.
const EXPIRY_PAUSE: Duration = Duration::from_secs(600);

/// Takes away claims past their service's retention. Wall clocks may differ by seconds; retention is
/// counted in hours.
async fn expire(process: &Process) {
    loop {
        let jitter = rand::random_range(0.5..1.5);
        tokio::time::sleep(EXPIRY_PAUSE.mul_f64(jitter)).await;
        let Some(current) = process.current.get() else {
            continue;
        };
        if super::sync::is_poller(process) {
            for service in &current.resolved.services {
                expire_service(process, &service.name, service.retention).await;
            }
        }
    }
}

async fn expire_service(process: &Process, service: &str, retention: Duration) {
    let prefix = format!("{PREFIX}{service}/");
    let Ok(rows) = process.store.read(store::under(&prefix)).await else {
        return;
    };
    let retention = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
    let now = telemetry::logs::wall_ms();
    let old: Vec<&table::Row> = rows
        .iter()
        .filter(|row| {
            let claim: Option<Row> = store::value(Some(row));
            claim.is_some_and(|claim| claim.at_ms.saturating_add(retention) < now)
        })
        .collect();
    for group in old.chunks(GROUP) {
        let transaction = group.iter().fold(Transaction::default(), |all, row| {
            all.check(&row.key, row.version).remove(&row.key)
        });
        // one that changed meanwhile keeps its group for the next look
        let _ = process.store.commit(transaction).await;
    }
}

/// A claim that stands; when it is dropped without an end, its request may have run.
pub struct Claim {
    process: Arc<Process>,
    key: String,
    row: Row,
    over: Option<u64>,
    ended: bool,
}

impl Claim {
    /// Guards a claim that was written, or may have been.
    pub fn new(process: Arc<Process>, key: String, row: Row, over: Option<u64>) -> Self {
        Self {
            process,
            key,
            row,
            over,
            ended: false,
        }
    }

    /// The request ran and this was its answer.
    pub fn done(self, recorded: Option<Recorded>) {
        self.finish(Stage::Done(recorded));
    }

    /// The request certainly did not run, and this daemon won't run it.
    pub fn not_run(self) {
        self.finish(Stage::NotRun);
    }

    fn finish(mut self, stage: Stage) {
        self.end(stage);
    }

    fn end(&mut self, stage: Stage) {
        self.ended = true;
        let row = Row {
            stage,
            ..self.row.clone()
        };
        self.process.claims.end(self.key.clone(), row, self.over);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.ended {
            self.end(Stage::Unknown);
        }
    }
}

/// What to do with a request by its key.
pub fn decide(process: &Process, found: &Found, digest: u64) -> claim::Decision {
    claim::decide(found.row.as_ref(), digest, |other| {
        process.members.lives(other)
    })
}
