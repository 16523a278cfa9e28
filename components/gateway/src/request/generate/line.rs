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
const LOOK: Duration = Duration::from_millis(10);
/// The part of the time left for which a request waits: what has waited longer would hardly be whole before its
/// time is over, and its caller could have gone elsewhere meanwhile.
const WAITS: u32 = 4;
/// The same in objectives: a caller whose answer is several times late has likely left.
const OBJECTIVES: u32 = 4;

/// A place in line: by rank, then by the end of its time, then by number.
type Place = (u32, Instant, u64);

/// The requests of a service that wait for room, the first to go first.
#[derive(Debug, Default)]
pub struct Line {
    waiting: Mutex<Waiting>,
    /// Told when the first one has left.
    moved: Notify,
}

#[derive(Debug, Default)]
struct Waiting {
    places: Vec<Place>,
    /// Requests that have waited so far.
    count: u64,
}

/// A request in line; it leaves when this is dropped.
#[derive(Debug)]
pub struct Ticket<'a> {
    line: &'a Line,
    place: Place,
    until: Instant,
}

/// How long a request waits at most.
pub fn longest_wait(job: &Job) -> Duration {
    (job.time_left() / WAITS).min(job.route.objective * OBJECTIVES)
}

impl Line {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.lock().places.len()
    }

    /// Joins a request.
    pub fn join(&self, job: &Job) -> Ticket<'_> {
        let mut waiting = self.waiting.lock();
        waiting.count += 1;
        let place = (job.route.rank, job.deadline, waiting.count);
        let at = waiting.places.partition_point(|other| *other < place);
        waiting.places.insert(at, place);
        Ticket {
            line: self,
            place,
            until: Instant::now() + longest_wait(job),
        }
    }
}

impl Ticket<'_> {
    /// Waits until it is this request's turn to look for room. Says whether it may; otherwise it has waited for
    /// too long.
    pub async fn turn(&self) -> bool {
        let look = Instant::now() + LOOK;
        clock::sleep_until(look.min(self.until)).await;
        loop {
            let moved = self.line.moved.notified();
            if Instant::now() >= self.until {
                return false;
            }
            if self.is_first() {
                return true;
            }
            // the time may be over first
            let _ = clock::timeout_at(self.until, moved).await;
        }
    }

    fn is_first(&self) -> bool {
        self.line.waiting.lock().places.first() == Some(&self.place)
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let mut waiting = self.line.waiting.lock();
        if let Ok(at) = waiting.places.binary_search(&self.place) {
            waiting.places.remove(at);
        }
        drop(waiting);
        self.line.moved.notify_waiters();
    }
}
