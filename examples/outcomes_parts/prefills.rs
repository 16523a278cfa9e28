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
const ASSUMED_CANCEL_MS: u64 = 2_400;
/// What stands before a prompt is printed of if it is at least so many times as much work as the prompt itself.
const MIN_WORK_RATIO: f64 = 0.5;
/// A prompt was slow if it took so many times as long as expected, and this much longer in milliseconds.
const SLOW_RATIO: f64 = 1.5;
const SLOW_MARGIN_MS: f64 = 50.0;

/// A prompt that an engine read for another one to answer.
#[derive(Clone, Debug)]
pub struct Prefill {
    /// The gateway that placed it.
    pub gateway: String,
    /// When it was placed, in milliseconds of the gateways' clocks.
    pub placed_ms: u64,
    /// When it had been read; none if that is not in the lines.
    pub done_ms: Option<u64>,
    /// Its tokens that the engine was believed to lack.
    pub uncached_tokens: u64,
    /// Whether it gave way to others.
    pub placed_late: bool,
    /// The time that was expected, in microseconds.
    pub expected_us: u64,
    /// Work that was believed to be ahead.
    pub known_work_ahead: u64,
}

/// What stood before a prompt, or beside it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    #[display("nothing")]
    Nothing,
    #[display("a prompt that gives way")]
    PlacedLate,
    #[display("placed by others in the last {RECENT_MS} ms")]
    Recent,
    #[display("more than was believed")]
    Underestimated,
    #[display("placed after it")]
    PlacedLater,
}

/// The prompts that engines read, by engine.
#[derive(Debug, Default)]
pub struct Prefills {
    by_engine: BTreeMap<String, Vec<Prefill>>,
    /// Where a prompt stands: its engine, and its place there.
    positions: BTreeMap<String, (String, usize)>,
}

impl Prefills {
    /// Notes a prompt that was placed.
    pub fn record_placement(&mut self, request: &str, engine: &str, prefill: Prefill) {
        let prefills = self.by_engine.entry(engine.to_owned()).or_default();
        self.positions
            .insert(request.to_owned(), (engine.to_owned(), prefills.len()));
        prefills.push(prefill);
    }

    /// Notes that a prompt has been read.
    pub fn record_prefill_end(&mut self, request: &str, done_ms: u64) {
        if let Some((engine, index)) = self.positions.get(request)
            && let Some(prefills) = self.by_engine.get_mut(engine)
        {
            prefills[*index].done_ms = Some(done_ms);
        }
    }

    /// Writes how many prompts had what before them, and which part of those was slow.
    pub fn print(&self, to: &mut impl io::Write) -> io::Result<()> {
        let mut counts: BTreeMap<Cause, (u64, u64)> = BTreeMap::new();
        for prefills in self.by_engine.values() {
            for prefill in prefills.iter().filter(|prefill| !prefill.placed_late) {
                let Some(done_ms) = prefill.done_ms else {
                    continue;
                };
                let took_ms = policy::to_f64(done_ms.saturating_sub(prefill.placed_ms));
                let expected_ms = policy::to_f64(prefill.expected_us) / 1_000.0;
                let count = counts
                    .entry(likely_cause(prefills, prefill, done_ms))
                    .or_default();
                count.0 += 1;
                count.1 += u64::from(took_ms > expected_ms * SLOW_RATIO + SLOW_MARGIN_MS);
            }
        }
        writeln!(
            to,
            "{:<44} {:>8} {:>6}",
            "before a prompt", "prompts", "slow"
        )?;
        for (cause, (all, slow)) in counts {
            let ratio = policy::to_f64(slow) / policy::to_f64(all);
            writeln!(to, "{:<44} {all:>8} {ratio:>6.2}", cause.to_string())?;
        }
        Ok(())
    }
}

/// What held a prompt up most likely, the first that applies.
fn likely_cause(prefills: &[Prefill], prefill: &Prefill, done_ms: u64) -> Cause {
    let min_work = policy::to_f64(prefill.uncached_tokens) * MIN_WORK_RATIO;
    let work = |counts: &dyn Fn(&Prefill) -> bool| -> f64 {
        let others = prefills
            .iter()
            .filter(|other| !std::ptr::eq(*other, prefill));
        policy::to_f64(
            others
                .filter(|o| counts(o))
                .map(|o| o.uncached_tokens)
                .sum(),
        )
    };
    let ahead = |other: &Prefill| {
        let end_ms = other.done_ms.unwrap_or(other.placed_ms + ASSUMED_CANCEL_MS);
        other.placed_ms <= prefill.placed_ms && end_ms > prefill.placed_ms
    };
    let recent = |other: &Prefill| {
        other.gateway != prefill.gateway && prefill.placed_ms - other.placed_ms < RECENT_MS
    };
    let placed_late_work = work(&|other| ahead(other) && other.placed_late);
    let recent_work = work(&|other| ahead(other) && !other.placed_late && recent(other));
    let older_work = work(&|other| ahead(other) && !other.placed_late && !recent(other));
    let later_work =
        work(&|other| other.placed_ms > prefill.placed_ms && other.placed_ms < done_ms);
    match () {
        () if placed_late_work > min_work => Cause::PlacedLate,
        () if recent_work > min_work => Cause::Recent,
        () if older_work > policy::to_f64(prefill.known_work_ahead) + min_work => {
            Cause::Underestimated
        }
        () if later_work > min_work => Cause::PlacedLater,
        () => Cause::Nothing,
    }
}
