//! Requests of each workspace that began to run, in windows of time.
//!
//! Each gateway counts the requests of its own callers and reports them to the gateways that may have to report the
//! sums to the platform. Counts only grow, and are merged by the maximum, so a lost or repeated digest does no harm.
//! See `docs/DESIGN.md#usage-reports`.

#[cfg(test)]
mod tests;

use std::{sync::Arc, time::Duration};

use clock::Instant;
use parking_lot::Mutex;
use wire::{UsageWindow, WorkspaceUsage};

use super::Gateway;

/// Time after the end of a window at which a gateway closes it. A plain request is counted only when its response
/// arrives, which usually takes less.
const CLOSE_DELAY: Duration = Duration::from_secs(1);
/// Number of windows before the current one for which counts are sent.
const SENT_WINDOWS: u64 = 2;
/// Number of windows before the current one for which counts are kept.
const KEPT_WINDOWS: u64 = 8;

/// Requests by workspace, sorted by workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts(pub Vec<(Arc<str>, u64)>);

impl Counts {
    /// Adds requests of a workspace.
    pub fn add(&mut self, workspace: &Arc<str>, requests: u64) {
        let count = self.entry(workspace);
        *count = count.saturating_add(requests);
    }

    /// Raises the count of a workspace to at least `requests`.
    pub fn raise(&mut self, workspace: &Arc<str>, requests: u64) {
        let count = self.entry(workspace);
        *count = requests.max(*count);
    }

    fn entry(&mut self, workspace: &Arc<str>) -> &mut u64 {
        let index = match self.0.binary_search_by(|(name, _)| name.cmp(workspace)) {
            Ok(index) => index,
            Err(index) => {
                self.0.insert(index, (Arc::clone(workspace), 0));
                index
            }
        };
        &mut self.0[index].1
    }
}

/// What one gateway counted in a window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Source {
    /// Incarnation of the gateway.
    pub incarnation: u64,
    /// Whether the counts are final.
    pub closed: bool,
    /// The counts.
    pub counts: Counts,
}

/// The usage in a window, by the gateway that counted it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// Number of the window.
    pub number: u64,
    /// Sorted by incarnation.
    pub sources: Vec<Source>,
}

impl Window {
    /// Creates a window without usage.
    #[must_use]
    pub fn new(number: u64) -> Self {
        Self {
            number,
            sources: Vec::new(),
        }
    }

    /// Merges what a gateway has counted.
    pub fn merge(&mut self, source: &Source) {
        let known = self.source(source.incarnation);
        known.closed |= source.closed;
        for (workspace, requests) in &source.counts.0 {
            known.counts.raise(workspace, *requests);
        }
    }

    /// Returns the sums over all gateways.
    #[must_use]
    pub fn totals(&self) -> Counts {
        let mut totals = Counts::default();
        for (workspace, requests) in self.sources.iter().flat_map(|source| &source.counts.0) {
            totals.add(workspace, *requests);
        }
        totals
    }

    /// Whether the counts of a gateway are final.
    #[must_use]
    pub fn is_closed_by(&self, incarnation: u64) -> bool {
        let index = self
            .sources
            .binary_search_by_key(&incarnation, |source| source.incarnation);
        index.is_ok_and(|index| self.sources[index].closed)
    }

    fn source(&mut self, incarnation: u64) -> &mut Source {
        let index = match self
            .sources
            .binary_search_by_key(&incarnation, |source| source.incarnation)
        {
            Ok(index) => index,
            Err(index) => {
                let source = Source {
                    incarnation,
                    ..Source::default()
                };
                self.sources.insert(index, source);
                index
            }
        };
        &mut self.sources[index]
    }
}

/// Usage that this process counted itself or received from peers, by window in ascending order.
#[derive(Debug, Default)]
pub struct Usage(Mutex<Vec<Window>>);

impl Usage {
    /// Merges counts of a gateway. Those of windows long past are dropped.
    fn merge(&self, number: u64, source: &Source, current: u64) {
        if number.saturating_add(KEPT_WINDOWS) < current || number > current + 1 {
            return;
        }
        let mut windows = self.0.lock();
        drop_old(&mut windows, current);
        find(&mut windows, number).merge(source);
    }

    /// Counts a request that this process, as `incarnation`, knows to have begun to run.
    fn count(&self, number: u64, incarnation: u64, workspace: &Arc<str>) {
        let mut windows = self.0.lock();
        let own = find(&mut windows, number).source(incarnation);
        own.counts.add(workspace, 1);
    }

    /// Closes the windows of `incarnation` that ended long enough before `since_start` in the current one, and returns
    /// the last ones with its counts.
    fn close(&self, current: u64, since_start: Duration, incarnation: u64) -> Vec<UsageWindow> {
        let mut windows = self.0.lock();
        drop_old(&mut windows, current);
        let first = current.saturating_sub(SENT_WINDOWS);
        (first..=current)
            .map(|number| {
                let own = find(&mut windows, number).source(incarnation);
                let previous = number + 1 == current;
                own.closed = number < current && (!previous || since_start >= CLOSE_DELAY);
                encode(number, own)
            })
            .collect()
    }

    /// Returns the windows of which anything is known.
    pub fn windows(&self) -> Vec<Window> {
        self.0.lock().clone()
    }
}

/// Drops windows long past.
fn drop_old(windows: &mut Vec<Window>, current: u64) {
    windows.retain(|window| window.number + KEPT_WINDOWS >= current);
}

/// Returns the window with a number, which is added if it is missing.
fn find(windows: &mut Vec<Window>, number: u64) -> &mut Window {
    let index = match windows.binary_search_by_key(&number, |window| window.number) {
        Ok(index) => index,
        Err(index) => {
            windows.insert(index, Window::new(number));
            index
        }
    };
    &mut windows[index]
}

impl Gateway {
    /// Returns the number of the window in which `at` lies, and the time since its start; `None` while the time is
    /// unknown.
    pub fn usage_window(&self, at: Instant) -> Option<(u64, Duration)> {
        let unix_ms = self.unix_ms(at)?;
        let length_ms = protocol::millis(self.bounds.read().usage_window_s).max(1);
        let since_start = Duration::from_millis(unix_ms % length_ms);
        Some((unix_ms / length_ms, since_start))
    }

    /// Counts a request of a workspace that began to run at `at`.
    pub fn count_usage(&self, workspace: &Arc<str>, at: Instant) {
        let Some((number, _)) = self.usage_window(at) else {
            log::warn!(workspace = &**workspace; "usage is not counted, as the time is unknown");
            return;
        };
        self.usage.count(number, self.incarnation, workspace);
    }

    /// Merges counts that a peer reports.
    pub fn merge_usage(&self, incarnation: u64, received: &[UsageWindow]) {
        if received.is_empty() {
            return;
        }
        let Some((current, _)) = self.usage_window(Instant::now()) else {
            return;
        };
        for window in received {
            let mut counts = Counts::default();
            for count in &window.counts {
                counts.raise(&Arc::from(count.workspace.as_str()), count.requests);
            }
            let source = Source {
                incarnation,
                closed: window.closed,
                counts,
            };
            self.usage.merge(window.window, &source, current);
        }
    }

    /// Closes this process's windows that ended long enough ago, and returns the current one and the last ones with
    /// its counts. Empty if callers need no keys.
    pub fn own_usage(&self) -> Vec<UsageWindow> {
        let has_workspaces = self
            .configuration()
            .is_some_and(|known| known.keyring().is_some());
        let now = self.usage_window(Instant::now()).filter(|_| has_workspaces);
        let Some((current, since_start)) = now else {
            return Vec::new();
        };
        self.usage.close(current, since_start, self.incarnation)
    }
}

fn encode(number: u64, source: &Source) -> UsageWindow {
    let counts = source
        .counts
        .0
        .iter()
        .map(|(workspace, requests)| WorkspaceUsage {
            workspace: workspace.to_string(),
            requests: *requests,
        });
    UsageWindow {
        window: number,
        closed: source.closed,
        counts: counts.collect(),
    }
}
