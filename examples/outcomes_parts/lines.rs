//! What stood before a prompt at the engine that read it, from the lines of all gateways.
//!
//! A gateway expects of a prompt what it believes to be ahead of it. Here all gateways' placements are put together, so that
//! a prompt that took much longer than expected shows what its gateway did not count.

use std::{collections::BTreeMap, io};

use derive_more::Display;

/// A placement of another gateway that is no older than this could hardly be known: digests go out every ten
/// milliseconds or more seldom, and take two on their way.
const RECENT_MS: u64 = 30;
/// A prompt whose end is not in the lines is taken to have been given up after so long: callers of streams leave
/// after two seconds of silence or somewhat more.
const GIVEN_UP_MS: u64 = 2_400;
/// What stands before a prompt is printed of if it is at least so many times as much work as the prompt itself.
const MUCH: f64 = 0.5;
/// A prompt was slow if it took so many times as long as expected, and this much longer in milliseconds.
const SLOW_TIMES: f64 = 1.5;
const SLOW_MS: f64 = 50.0;

/// A prompt that an engine read for another one to answer.
#[derive(Clone, Debug)]
pub struct Read {
    /// The gateway that placed it.
    pub gateway: String,
    /// When it was placed, in milliseconds of the gateways' clocks.
    pub placed_ms: u64,
    /// When it had been read; none if that is not in the lines.
    pub done_ms: Option<u64>,
    /// Its tokens that the engine was believed to lack.
    pub unread: u64,
    /// Whether it gave way to others.
    pub late: bool,
    /// The time that was expected, in microseconds.
    pub expected_us: u64,
    /// Work that was believed to be ahead.
    pub believed: u64,
}

/// What stood before a prompt, or beside it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    #[display("nothing")]
    Nothing,
    #[display("a prompt that gives way")]
    Late,
    #[display("placed by others in the last {RECENT_MS} ms")]
    Recent,
    #[display("more than was believed")]
    More,
    #[display("placed after it")]
    After,
}

/// The prompts that engines read, by engine.
#[derive(Debug, Default)]
pub struct Lines {
    reads: BTreeMap<String, Vec<Read>>,
    /// Where a prompt stands: its engine, and its place there.
    places: BTreeMap<String, (String, usize)>,
}

impl Lines {
    /// Notes a prompt that was placed.
    pub fn place(&mut self, request: &str, engine: &str, read: Read) {
        let reads = self.reads.entry(engine.to_owned()).or_default();
        self.places
            .insert(request.to_owned(), (engine.to_owned(), reads.len()));
        reads.push(read);
    }

    /// Notes that a prompt has been read.
    pub fn read(&mut self, request: &str, done_ms: u64) {
        if let Some((engine, at)) = self.places.get(request)
            && let Some(reads) = self.reads.get_mut(engine)
        {
            reads[*at].done_ms = Some(done_ms);
        }
    }

    /// Writes how many prompts had what before them, and which part of those was slow.
    pub fn print(&self, to: &mut impl io::Write) -> io::Result<()> {
        let mut counts: BTreeMap<Cause, (u64, u64)> = BTreeMap::new();
        for reads in self.reads.values() {
            for read in reads.iter().filter(|read| !read.late) {
                let Some(done_ms) = read.done_ms else {
                    continue;
                };
                let took_ms = policy::to_f64(done_ms.saturating_sub(read.placed_ms));
                let expected_ms = policy::to_f64(read.expected_us) / 1_000.0;
                let count = counts.entry(cause(reads, read, done_ms)).or_default();
                count.0 += 1;
                count.1 += u64::from(took_ms > expected_ms * SLOW_TIMES + SLOW_MS);
            }
        }
        writeln!(
            to,
            "{:<44} {:>8} {:>6}",
            "before a prompt", "prompts", "slow"
        )?;
        for (cause, (all, slow)) in counts {
            let part = policy::to_f64(slow) / policy::to_f64(all);
            writeln!(to, "{:<44} {all:>8} {part:>6.2}", cause.to_string())?;
        }
        Ok(())
    }
}

/// What held a prompt up most likely, the first that applies.
fn cause(reads: &[Read], read: &Read, done_ms: u64) -> Cause {
    let much = policy::to_f64(read.unread) * MUCH;
    let work = |counts: &dyn Fn(&Read) -> bool| -> f64 {
        let others = reads.iter().filter(|other| !std::ptr::eq(*other, read));
        policy::to_f64(others.filter(|o| counts(o)).map(|o| o.unread).sum())
    };
    let ahead = |other: &Read| {
        let end_ms = other.done_ms.unwrap_or(other.placed_ms + GIVEN_UP_MS);
        other.placed_ms <= read.placed_ms && end_ms > read.placed_ms
    };
    let recent = |other: &Read| {
        other.gateway != read.gateway && read.placed_ms - other.placed_ms < RECENT_MS
    };
    let late = work(&|other| ahead(other) && other.late);
    let new = work(&|other| ahead(other) && !other.late && recent(other));
    let old = work(&|other| ahead(other) && !other.late && !recent(other));
    let after = work(&|other| other.placed_ms > read.placed_ms && other.placed_ms < done_ms);
    match () {
        () if late > much => Cause::Late,
        () if new > much => Cause::Recent,
        () if old > policy::to_f64(read.believed) + much => Cause::More,
        () if after > much => Cause::After,
        () => Cause::Nothing,
    }
}
