//! The work that was ahead of a prompt at the engine that prefilled it, from the log lines of all gateways.
//!
//! A gateway estimates the time of a prefill from the work that it knows to be ahead. Here the placements of all
//! gateways are combined, which shows the work that the gateway of a slow prompt did not take into account.

use std::{collections::BTreeMap, io};

use derive_more::Display;

/// A placement by another gateway that is more recent than this was probably unknown: digests are sent at most
/// once per 10 ms and take 2 ms to arrive.
const RECENT_MS: u64 = 30;
/// A prefill whose end is not in the log is assumed to have been cancelled after this time: callers of streams
/// disconnect after two seconds of silence or slightly more.
const ASSUMED_CANCEL_MS: u64 = 2_400;
/// Work counts as the cause of a delay only if it exceeds this ratio of the prompt's own work.
const MIN_WORK_RATIO: f64 = 0.5;
/// A prefill is slow if it took longer than this ratio of the expected time plus [`SLOW_MARGIN_MS`].
const SLOW_RATIO: f64 = 1.5;
/// Time in addition to [`SLOW_RATIO`] by which a slow prefill exceeds the expected time.
const SLOW_MARGIN_MS: f64 = 50.0;

/// A prompt that one engine prefills and another one decodes.
#[derive(Clone, Debug)]
pub struct Prefill {
    /// The gateway that placed it.
    pub gateway: String,
    /// When it was placed, in milliseconds of the gateways' clocks.
    pub placed_ms: u64,
    /// When its prefill ended; `None` if that is not in the log.
    pub done_ms: Option<u64>,
    /// Prompt tokens that, as far as the gateway knew, the engine did not have cached.
    pub uncached_tokens: u64,
    /// Whether it was placed late; such prompts yield to others.
    pub placed_late: bool,
    /// Expected time to first token, in microseconds.
    pub expected_us: u64,
    /// Work ahead of it that its gateway knew of.
    pub known_work_ahead: u64,
}

/// The work that probably delayed a prefill.
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

/// The prefills of all engines, by engine.
#[derive(Debug, Default)]
pub struct Prefills {
    by_engine: BTreeMap<String, Vec<Prefill>>,
    /// Engine and index there of each request's prefill.
    positions: BTreeMap<String, (String, usize)>,
}

impl Prefills {
    /// Records a prompt that was placed.
    pub fn record_placement(&mut self, request: &str, engine: &str, prefill: Prefill) {
        let prefills = self.by_engine.entry(engine.to_owned()).or_default();
        self.positions
            .insert(request.to_owned(), (engine.to_owned(), prefills.len()));
        prefills.push(prefill);
    }

    /// Records the end of a prefill.
    pub fn record_prefill_end(&mut self, request: &str, done_ms: u64) {
        if let Some((engine, index)) = self.positions.get(request)
            && let Some(prefills) = self.by_engine.get_mut(engine)
        {
            prefills[*index].done_ms = Some(done_ms);
        }
    }

    /// Writes the number of prefills by probable cause of delay, and the ratio of slow ones.
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

/// Returns the most likely cause of a delay: the first that applies.
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
