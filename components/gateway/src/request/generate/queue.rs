//! Requests that wait for an engine with room to write their answers.
//!
//! Engines that write are full for moments only: answers end all the time. A request that would be refused in such
//! a moment, or whose prompt has been read for nothing, waits instead. Only the first in line looks for room,
//! the more urgent ones and those whose time is over sooner first, so that a long line costs no more than a
//! short one. See `docs/DESIGN.md#waiting-for-room`.

use std::time::Duration;

use clock::Instant;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::request::job::Job;

/// Between two looks for room: news of other gateways' answers is some ten milliseconds old
/// (`docs/DESIGN.md#between-our-processes`).
const RECHECK_DELAY: Duration = Duration::from_millis(10);
/// The part of the time left for which a request waits: what has waited longer would hardly be whole before its
/// time is over, and its caller could have gone elsewhere meanwhile.
const WAIT_DIVISOR: u32 = 4;
/// The same in objectives: a caller whose answer is several times late has likely left.
const MAX_WAIT_OBJECTIVES: u32 = 4;

/// A place in line: by rank, then by the end of its time, then by number.
type Position = (u32, Instant, u64);

/// The requests of a service that wait for room, the first to go first.
#[derive(Debug, Default)]
pub struct Queue {
    state: Mutex<State>,
    /// Told when the first one has left.
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    positions: Vec<Position>,
    /// Requests that have waited so far.
    joined: u64,
}

/// A request in line; it leaves when this is dropped.
#[derive(Debug)]
pub struct Ticket<'a> {
    queue: &'a Queue,
    position: Position,
    until: Instant,
}

/// How long a request waits at most.
pub fn max_wait(job: &Job) -> Duration {
    (job.time_left() / WAIT_DIVISOR).min(job.route.objective * MAX_WAIT_OBJECTIVES)
}

impl Queue {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.state.lock().positions.len()
    }

    /// Joins a request.
    pub fn join(&self, job: &Job) -> Ticket<'_> {
        let mut state = self.state.lock();
        state.joined += 1;
        let position = (job.route.priority, job.deadline, state.joined);
        let at = state.positions.partition_point(|other| *other < position);
        state.positions.insert(at, position);
        Ticket {
            queue: self,
            position,
            until: Instant::now() + max_wait(job),
        }
    }
}

impl Ticket<'_> {
    /// Waits until it is this request's turn to look for room. Says whether it may; otherwise it has waited for
    /// too long.
    pub async fn wait_turn(&self) -> bool {
        let recheck_at = Instant::now() + RECHECK_DELAY;
        clock::sleep_until(recheck_at.min(self.until)).await;
        loop {
            let changed = self.queue.changed.notified();
            if Instant::now() >= self.until {
                return false;
            }
            if self.is_first() {
                return true;
            }
            // the time may be over first
            let _ = clock::timeout_at(self.until, changed).await;
        }
    }

    fn is_first(&self) -> bool {
        self.queue.state.lock().positions.first() == Some(&self.position)
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let mut state = self.queue.state.lock();
        if let Ok(at) = state.positions.binary_search(&self.position) {
            state.positions.remove(at);
        }
        drop(state);
        self.queue.changed.notify_waiters();
    }
}
