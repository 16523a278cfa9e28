//! Withheld requests in the store. What gateways know of them lives in their memory and is lost when all are killed at
//! once; without these rows each request would end three endpoints more.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clock::Instant;
use cloud::table::{Read, Transaction};
use policy::suspect::{Crash, Moment, Record};
use serde::{Deserialize, Serialize};

use super::{Gateway, Source};
use crate::request::Content;

/// Rows of withheld requests begin so.
const PREFIX: &str = "withheld/";
/// Between two looks whether the store answers: the process is not ready before it has.
const AGAIN: Duration = Duration::from_millis(10);
/// Between two tries of a write that the store refused or did not answer.
const RETRY: Duration = Duration::from_millis(400);
/// The most rows; requests beyond them are known to the gateways alone.
const MOST: usize = 200;
/// Between two looks for rows that are no longer needed.
const TIDY: Duration = Duration::from_secs(60);
/// Microseconds in a millisecond.
const MILLI: Moment = 1_000;

/// A withheld request's row.
#[derive(Debug, Serialize, Deserialize)]
struct Row {
    ends: Vec<Ended>,
}

/// An endpoint that ended.
#[derive(Debug, Serialize, Deserialize)]
struct Ended {
    endpoint: u32,
    /// The time of day, in Unix milliseconds: no steady clock goes on when all processes start anew, and a step of some
    /// seconds matters little beside the minutes for which a request is withheld.
    at_ms: i64,
}

/// Keeps the rows as long as the process lives.
pub async fn keep(gateway: &Gateway) {
    let mut rows = loop {
        match read(gateway).await {
            Some(rows) => break rows,
            None => clock::sleep(AGAIN).await,
        }
    };
    gateway.suspects.note_read();
    loop {
        let tidy = Instant::now() + TIDY;
        while let Ok(content) = clock::timeout_at(tidy, gateway.suspects.newly_withheld()).await {
            if rows.contains(&content) || rows.len() < MOST {
                write(gateway, content).await;
                rows.push(content);
                rows.sort_unstable();
                rows.dedup();
            } else {
                log::warn!(content:%; "a withheld request is not kept in the store, which has as many as may be");
            }
        }
        gateway.forget_old_suspects();
        let (kept, old) = rows
            .into_iter()
            .partition(|content| gateway.suspect(*content).is_some());
        rows = kept;
        remove(gateway, &old).await;
    }
}

/// Reads all rows, and takes what they say. Gives their requests; none if the store did not answer. A store that fails
/// other calls is not asked: in an outage all gateways would.
async fn read(gateway: &Gateway) -> Option<Vec<Content>> {
    if !gateway.peers.are_registered() || !gateway.store_answers() {
        return None;
    }
    let read = Read {
        keys: Vec::new(),
        prefixes: vec![PREFIX.to_owned()],
    };
    let read = gateway.edges.table.read(read).await;
    gateway.count_call("withheld", read.is_ok());
    let rows = match read {
        Ok(rows) => rows,
        Err(error) => {
            log::warn!(error:%; "the withheld requests were not read");
            clock::sleep(RETRY).await;
            return None;
        }
    };
    let mut contents = Vec::new();
    for row in rows {
        match (content(&row.key), serde_json::from_str::<Row>(&row.value)) {
            (Some(content), Ok(row)) => {
                gateway.add_suspect(content, &row.record(gateway.moment()), Source::Store);
                contents.push(content);
            }
            (_, Err(error)) => {
                log::warn!(key = row.key, error:%; "a withheld request's row can't be read");
            }
            (None, Ok(_)) => log::warn!(key = row.key; "a withheld request's row has no valid key"),
        }
    }
    contents.sort_unstable();
    Some(contents)
}

/// Writes a request's row, as soon as the store answers.
async fn write(gateway: &Gateway, content: Content) {
    while let Some(record) = gateway.suspect(content) {
        if !gateway.store_answers() {
            clock::sleep(AGAIN).await;
            continue;
        }
        // a row of plain fields always has a JSON form
        let value = serde_json::to_string(&Row::new(&record, gateway.moment())).unwrap_or_default();
        let transaction = Transaction::default().write(&key(content), value);
        let outcome = gateway.edges.table.commit(transaction).await;
        gateway.count_call("withhold", outcome.is_ok());
        match outcome {
            Ok(_) => return,
            Err(error) => {
                log::warn!(content:%, error:%; "a withheld request is not in the store yet");
                clock::sleep(RETRY).await;
            }
        }
    }
}

/// Removes rows; those that stay are removed by a process that starts later.
async fn remove(gateway: &Gateway, contents: &[Content]) {
    for content in contents {
        let transaction = Transaction::default().remove(&key(*content));
        let outcome = gateway.edges.table.commit(transaction).await;
        gateway.count_call("withhold", outcome.is_ok());
        if let Err(error) = outcome {
            log::warn!(content:%, error:%; "a withheld request's row was not removed");
        }
    }
}

impl Row {
    fn new(record: &Record, now: Moment) -> Self {
        let today = time_of_day();
        let ends = record.crashes.iter().map(|end| Ended {
            endpoint: end.endpoint,
            at_ms: today - (now - end.at) / MILLI,
        });
        Self {
            ends: ends.collect(),
        }
    }

    fn record(&self, now: Moment) -> Record {
        let today = time_of_day();
        let mut ends: Vec<Crash> = self
            .ends
            .iter()
            .map(|end| Crash {
                endpoint: end.endpoint,
                // one that a clock puts into the future has just ended
                at: now - (today - end.at_ms).max(0) * MILLI,
            })
            .collect();
        ends.sort_unstable_by_key(|end| end.at);
        Record {
            crashes: ends,
            last_served: None,
        }
    }
}

/// The time of day in Unix milliseconds.
fn time_of_day() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        i64::try_from(since.as_millis()).unwrap_or(i64::MAX)
    })
}

fn key(content: Content) -> String {
    format!("{PREFIX}{content}")
}

fn content(key: &str) -> Option<Content> {
    let number = key.strip_prefix(PREFIX)?;
    u64::from_str_radix(number, 16).ok().map(Content::from)
}
