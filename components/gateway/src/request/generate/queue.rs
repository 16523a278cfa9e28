//! Queue of requests that wait for an engine with a free slot to decode their answers.
//!
//! Decode engines are full only briefly, as answers end all the time. So a request waits here
//! instead of being refused, or instead of wasting the prefill of its prompt. Only the first
//! request in the queue checks for a slot, ordered by priority and then by deadline, so that a long
//! queue costs no more than a short one. See `docs/DESIGN.md#waiting-for-room`.

use std::time::Duration;

use clock::Instant;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::request::job::Job;

/// Delay before each check for a free slot. Reports of answers of other gateways are about ten
/// milliseconds old (`docs/DESIGN.md#between-our-processes`).
const RECHECK_DELAY: Duration = Duration::from_millis(10);
/// A request waits for this fraction (1/n) of its remaining time at most. One that has waited
/// longer would hardly finish before its deadline, and its caller could have gone elsewhere in the
/// meantime.
const WAIT_DIVISOR: u32 = 4;
/// The longest wait as a multiple of the latency objective: a caller whose answer is several times
/// too late has likely left.
const MAX_WAIT_OBJECTIVES: u32 = 4;

/// A position in the queue. Those of higher priorities come first, then those of earlier deadlines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    priority: u32,
    deadline: Instant,
    /// The number of requests that had joined before, which tells positions apart.
    sequence: u64,
    joined: Instant,
}

/// What decides between the first requests of two queues: the higher priority, then the longer wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The priority class; lower classes are served first.
    pub priority: u32,
    /// Since when the request has waited; `None` if it has just arrived, in which case it yields to higher priorities only.
    pub joined: Option<Instant>,
}

/// The requests of a service that wait for a slot, in the order in which they are served.
#[derive(Debug, Default)]
pub struct Queue {
    state: Mutex<State>,
    /// Notified when a request leaves the queue.
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    positions: Vec<Position>,
    /// Number of requests that have joined so far.
    joined: u64,
    /// Since when the first request finds room at each look.
    room_since: Option<Instant>,
    /// When a first request last found no room.
    no_room_at: Option<Instant>,
    /// The request that last took the room that it had found, and when.
    taken: Option<(Rank, Instant)>,
    /// When a request last found all engines full at the end of its wait, and whether it was for a long answer, which
    /// needs more free slots.
    left_at: Option<(Instant, bool)>,
}

/// A request in the queue; it leaves the queue when this is dropped.
#[derive(Debug)]
pub struct Ticket<'a> {
    queue: &'a Queue,
    position: Position,
    until: Instant,
}

/// Returns how long a request may wait.
pub fn max_wait(job: &Job) -> Duration {
    (job.time_left() / WAIT_DIVISOR).min(job.route.objective * MAX_WAIT_OBJECTIVES)
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.state.lock().positions.len()
    }

    /// Whether a request that comes before one of this rank waits here, and has not looked for room after `since`.
    pub fn outranks(&self, rank: Rank, since: Instant) -> bool {
        let state = self.state.lock();
        let first = state.positions.first().map(Position::rank);
        first.is_some_and(|first| first < rank) && state.no_room_at.is_none_or(|at| at < since)
    }

    /// Returns when the last request to take room took it, if it came before one of this rank.
    pub fn taken_at(&self, rank: Rank) -> Option<Instant> {
        let taken = self.state.lock().taken;
        taken.and_then(|(taker, at)| (taker < rank).then_some(at))
    }

    /// Adds a request to the queue.
    pub fn join(&self, job: &Job) -> Ticket<'_> {
        let joined = Instant::now();
        let mut state = self.state.lock();
        let position = Position {
            priority: job.priority,
            deadline: job.deadline,
            sequence: state.joined,
            joined,
        };
        state.joined += 1;
        let index = state.positions.partition_point(|other| *other < position);
        state.positions.insert(index, position);
        Ticket {
            queue: self,
            position,
            until: joined + max_wait(job),
        }
    }
}

impl Position {
    fn rank(&self) -> Rank {
        Rank {
            priority: self.priority,
            joined: Some(self.joined),
        }
    }
}

impl Ticket<'_> {
    /// Returns what decides between this request and the first ones of other queues.
    pub fn rank(&self) -> Rank {
        self.position.rank()
    }

    /// Waits until it is this request's turn to check for a free slot. Returns false if it has
    /// waited for too long, or is withheld from all engines.
    pub async fn wait_turn(&self, job: &Job) -> bool {
        tokio::select! {
            is_turn = self.wait_until_first() => is_turn,
            () = job.until_withheld() => false,
        }
    }

    async fn wait_until_first(&self) -> bool {
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
            // may also time out; the loop checks for that
            let _ = clock::timeout_at(self.until, changed).await;
        }
    }

    /// Records whether the first request has found room. Returns since when there is room for it, which begins anew once
    /// another request has taken room at `taken_at`.
    pub fn record_look(&self, has_room: bool, taken_at: Option<Instant>) -> Option<Instant> {
        let now = Instant::now();
        let mut state = self.queue.state.lock();
        if has_room {
            let since = state.room_since.filter(|since| taken_at < Some(*since));
            state.room_since = Some(since.unwrap_or(now));
        } else {
            state.room_since = None;
            state.no_room_at = Some(now);
        }
        state.room_since
    }

    /// Records that the request takes the room that it has found.
    pub fn record_taken(&self) {
        self.queue.state.lock().taken = Some((self.rank(), Instant::now()));
    }

    /// Whether the request may look for room at the end of its wait. Requests that joined together also leave together, and
    /// need not all find that the engines are full.
    pub fn may_look_last(&self, is_long: bool) -> bool {
        let left_at = self.queue.state.lock().left_at;
        left_at.is_none_or(|(at, was_long)| at.elapsed() >= RECHECK_DELAY || (was_long && !is_long))
    }

    /// Records that the request has found all engines full at the end of its wait.
    pub fn record_left(&self, is_long: bool) {
        self.queue.state.lock().left_at = Some((Instant::now(), is_long));
    }

    fn is_first(&self) -> bool {
        self.queue.state.lock().positions.first() == Some(&self.position)
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let mut state = self.queue.state.lock();
        if let Ok(index) = state.positions.binary_search(&self.position) {
            state.positions.remove(index);
        }
        if state.positions.is_empty() {
            state.room_since = None;
        }
        drop(state);
        self.queue.changed.notify_waiters();
    }
}
