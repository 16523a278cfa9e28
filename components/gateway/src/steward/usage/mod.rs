//! Reports the usage of workspaces to the platform, once for each window.
//!
//! The platform accepts only one report for a window, so the counts are first committed to the store, under the
//! condition that this process still holds the lease; a successor sends the same counts again. Counts of open windows
//! are saved at intervals, so that they survive if all gateways are killed. See `docs/DESIGN.md#usage-reports`.

mod row;

use std::{sync::Arc, time::Duration};

use clock::Instant;
use cloud::table::{Error, Outcome, Read, Transaction};

use super::lease::{Authority, LEASE_KEY};
use crate::{
    adapters::{DutyError, UsageReport},
    process::{
        Gateway,
        usage::{Counts, Window},
    },
};

/// Interval between checks for something to save or to report.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between saves of the counts of open windows.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the end of a window before which it is not reported: gateways close it later than they count.
const MIN_REPORT_DELAY: Duration = Duration::from_millis(1_200);
/// Time after the end of a window, as a fraction of the deadline, at which it is reported even if some gateways have
/// not closed it. The rest of the time is for calls that fail.
const MAX_REPORT_DELAY_RATIO: f64 = 0.6;
/// Multiple of the deadline after which nothing is known or reported of a window any more.
const FORGET_RATIO: u32 = 3;
/// Maximum number of rows in a transaction.
const MAX_ROWS: usize = 16;

/// Reports usage as long as this process is the steward, for the lifetime of the process.
pub async fn run(gateway: Arc<Gateway>) {
    let mut reporter = Reporter::default();
    loop {
        clock::sleep(POLL_INTERVAL).await;
        match gateway.steward.authority() {
            Some(authority) if gateway.adapters.duties.is_some() => {
                reporter.step(&gateway, authority).await;
            }
            _ => reporter = Reporter::default(),
        }
    }
}

/// What the steward knows of the windows.
#[derive(Debug, Default)]
struct Reporter {
    /// The epoch in which the rows were read; `None` if they must be read.
    epoch: Option<u64>,
    last_save: Option<Instant>,
    /// Sorted by number.
    windows: Vec<Entry>,
}

/// A window, with what has been saved and reported of it.
#[derive(Clone, Debug, Default)]
struct Entry {
    window: Window,
    /// Version of its row; zero if it has none.
    row_version: u64,
    /// The row's content.
    saved: Window,
    /// The counts to report; `None` while they may still change.
    final_counts: Option<Counts>,
    reported: bool,
}

/// Timing of a window relative to now.
#[derive(Clone, Copy, Debug)]
struct Age {
    /// Time since the end of the window; zero if it has not ended.
    since_end: Duration,
    deadline: Duration,
}

impl Reporter {
    async fn step(&mut self, gateway: &Gateway, authority: Authority) {
        if self.epoch != Some(authority.epoch) && !self.load(gateway, authority).await {
            return;
        }
        self.collect(gateway);
        if self.save(gateway, authority).await {
            self.report(gateway, authority).await;
        }
    }

    /// Reads what previous stewards have saved.
    async fn load(&mut self, gateway: &Gateway, authority: Authority) -> bool {
        let read = Read {
            keys: Vec::new(),
            prefixes: vec![row::PREFIX.to_owned()],
        };
        let rows = gateway.adapters.table.read(read).await;
        gateway.count_store_call("usage", rows.is_ok());
        let rows = match rows {
            Ok(rows) => rows,
            Err(error) => {
                log::warn!(error:%; "failed to read the saved usage");
                return false;
            }
        };
        let previous = std::mem::take(&mut self.windows);
        self.windows = rows
            .iter()
            .filter_map(row::parse)
            .map(Entry::from)
            .collect();
        self.windows.sort_by_key(|entry| entry.window.number);
        for entry in previous.iter().filter(|entry| entry.reported) {
            let number = entry.window.number;
            if let Ok(index) = self
                .windows
                .binary_search_by_key(&number, |e| e.window.number)
            {
                self.windows[index].reported = true;
            }
        }
        self.epoch = Some(authority.epoch);
        log::info!(windows = self.windows.len(), epoch = authority.epoch; "read the saved usage");
        true
    }

    /// Merges what this process has counted and received, and forgets windows long past.
    fn collect(&mut self, gateway: &Gateway) {
        for window in gateway.usage.windows() {
            let Some(age) = age(gateway, window.number) else {
                return;
            };
            let index = match self
                .windows
                .binary_search_by_key(&window.number, |e| e.window.number)
            {
                Ok(index) => index,
                // reported by this process or a previous steward, or too late to report
                Err(_) if age.since_end > age.deadline => continue,
                Err(index) => {
                    let entry = Entry {
                        window: Window::new(window.number),
                        ..Entry::default()
                    };
                    self.windows.insert(index, entry);
                    index
                }
            };
            let entry = &mut self.windows[index];
            if entry.final_counts.is_none() {
                window
                    .sources
                    .iter()
                    .for_each(|source| entry.window.merge(source));
            }
        }
    }

    /// Saves windows that have changed or that are final now, and removes the rows of windows long past. Returns
    /// whether the store is as this process knows it.
    async fn save(&mut self, gateway: &Gateway, authority: Authority) -> bool {
        let active = gateway
            .peers
            .incarnations_active_within(gateway.bounds.read().usage_deadline_s);
        let save_due = self
            .last_save
            .is_none_or(|last| last.elapsed() >= SAVE_INTERVAL);
        let mut changed = Vec::new();
        let mut forgotten = Vec::new();
        for (index, entry) in self.windows.iter().enumerate() {
            let Some(age) = age(gateway, entry.window.number) else {
                return false;
            };
            let counted = entry
                .window
                .sources
                .iter()
                .any(|source| !source.counts.0.is_empty());
            match () {
                () if age.since_end > age.deadline * FORGET_RATIO => forgotten.push(index),
                () if entry.final_counts.is_some() || !counted => {}
                () if is_final(&entry.window, age, &active) => changed.push((index, true)),
                () if save_due && entry.window != entry.saved => changed.push((index, false)),
                () => {}
            }
        }
        changed.truncate(MAX_ROWS);
        if changed.is_empty() && forgotten.is_empty() {
            return true;
        }
        self.last_save = Some(Instant::now());
        let mut transaction = Transaction::default().check(LEASE_KEY, authority.lease_version);
        for (index, is_final) in &changed {
            let entry = &self.windows[*index];
            let key = row::key(entry.window.number);
            transaction = transaction
                .check(&key, entry.row_version)
                .write(&key, row::encode(&entry.window, *is_final));
        }
        for index in &forgotten {
            transaction = transaction.remove(&row::key(self.windows[*index].window.number));
        }
        let outcome = gateway.adapters.table.commit(transaction).await;
        gateway.count_store_call("usage", outcome.is_ok());
        match outcome {
            Ok(Outcome::Committed(version)) => {
                for (index, is_final) in changed {
                    self.windows[index].record_saved(version, is_final);
                }
                for index in forgotten.into_iter().rev() {
                    self.windows.remove(index);
                }
                true
            }
            Ok(Outcome::Conflict(rows)) => {
                log::info!(rows = rows.len(), epoch = authority.epoch; "the saved usage has changed");
                self.epoch = None;
                false
            }
            Err(error) => {
                log::warn!(error:%; "failed to save the usage");
                // the transaction may have taken effect, or may still do so
                if error == Error::OutcomeUnknown {
                    self.epoch = None;
                }
                false
            }
        }
    }

    /// Reports the windows whose counts are final.
    async fn report(&mut self, gateway: &Gateway, authority: Authority) {
        let Some(duties) = &gateway.adapters.duties else {
            return;
        };
        let holder = super::holder(gateway, authority);
        for entry in self.windows.iter_mut().filter(|entry| !entry.reported) {
            let Some(counts) = &entry.final_counts else {
                continue;
            };
            let report = UsageReport {
                window: entry.window.number,
                counts: counts.0.clone(),
            };
            // no await may come between this check of the lease and the call
            if !gateway.steward.may_order(authority.epoch) {
                return;
            }
            let outcome = duties.report_usage(&holder, &report).await;
            gateway.count_duty("usage", outcome);
            let requests: u64 = counts.0.iter().map(|(_, requests)| requests).sum();
            let since_end = age(gateway, report.window).map(|age| protocol::millis(age.since_end));
            match outcome {
                Ok(()) => {
                    entry.reported = true;
                    log::info!(
                        window = report.window, workspaces = counts.0.len(), requests, epoch = authority.epoch,
                        since_end_ms = since_end; "reported usage"
                    );
                }
                Err(error) => {
                    // another try cannot change a final refusal
                    entry.reported = matches!(error, DutyError::Refused(_));
                    log::warn!(
                        window = report.window, requests, epoch = authority.epoch, since_end_ms = since_end, error:%;
                        "failed to report usage"
                    );
                    return;
                }
            }
        }
    }
}

impl From<row::Saved> for Entry {
    fn from(saved: row::Saved) -> Self {
        Self {
            row_version: saved.version,
            saved: saved.window.clone(),
            final_counts: saved.is_final.then(|| saved.window.totals()),
            reported: false,
            window: saved.window,
        }
    }
}

impl Entry {
    fn record_saved(&mut self, version: u64, is_final: bool) {
        self.row_version = version;
        self.saved = self.window.clone();
        if is_final {
            self.final_counts = Some(self.window.totals());
        }
    }
}

/// Returns how long ago a window ended; `None` while the time is unknown.
fn age(gateway: &Gateway, number: u64) -> Option<Age> {
    let (current, since_start) = gateway.usage_window(Instant::now())?;
    let bounds = gateway.bounds.read();
    let windows =
        u32::try_from(current.saturating_sub(number.saturating_add(1))).unwrap_or(u32::MAX);
    let since_end = if number < current {
        bounds.usage_window_s.saturating_mul(windows) + since_start
    } else {
        Duration::ZERO
    };
    Some(Age {
        since_end,
        deadline: bounds.usage_deadline_s,
    })
}

/// Whether the counts of a window are to be reported as they are: all gateways with a recent digest have closed it, or
/// the report can't wait any longer.
fn is_final(window: &Window, age: Age, active: &[u64]) -> bool {
    let closed = || {
        active
            .iter()
            .all(|incarnation| window.is_closed_by(*incarnation))
    };
    match age.since_end {
        since_end if since_end < MIN_REPORT_DELAY => false,
        since_end if since_end >= age.deadline.mul_f64(MAX_REPORT_DELAY_RATIO) => true,
        _ => closed(),
    }
}
