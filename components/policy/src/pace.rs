//! The inter-token latency that the long answers of a service need.
//!
//! An engine that decodes long answers prefills a long prompt beside them only if they still meet their deadlines. What
//! few of them need must not decide that for all others, nor what no engine achieves: such an answer is late anyway. See
//! `docs/DESIGN.md#what-remains-of-a-stream`.

use crate::Micros;

/// Number of answers that count.
const MAX_SAMPLES: usize = 64;
/// How long an answer counts, in microseconds.
const RETENTION: Micros = 60_000_000;
/// One in this many answers, but at least one, may need a lower latency than the limit.
const EXCLUDED_ONE_IN: usize = 8;

/// The latencies that recent long answers of a service need.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    /// When each answer was requested, and the latency that it needs in microseconds; oldest first.
    samples: Vec<(Micros, f64)>,
}

impl Pace {
    /// Records an answer that meets its deadline at inter-token latencies up to `needed_us`. It counts only if engines,
    /// which take `typical_us` for a token, achieve that.
    pub fn observe(&mut self, now: Micros, needed_us: f64, typical_us: f64) {
        if needed_us < typical_us {
            return;
        }
        let expired = self.samples.partition_point(|(at, _)| !counts(*at, now));
        let excess = (self.samples.len() + 1).saturating_sub(MAX_SAMPLES);
        self.samples.drain(..expired.max(excess));
        self.samples.push((now, needed_us));
    }

    /// Returns the highest inter-token latency, in microseconds, with which nearly all recent answers meet their
    /// deadlines.
    #[must_use]
    pub fn limit_us(&self, now: Micros) -> f64 {
        let recent = self.samples.iter().filter(|(at, _)| counts(*at, now));
        let mut needed: Vec<f64> = recent.map(|(_, needed_us)| *needed_us).collect();
        let excluded = (needed.len() / EXCLUDED_ONE_IN).max(1);
        if excluded >= needed.len() {
            return f64::MAX;
        }
        *needed.select_nth_unstable_by(excluded, f64::total_cmp).1
    }
}

/// Whether an answer that was requested at a time still counts.
fn counts(at: Micros, now: Micros) -> bool {
    now.saturating_sub(at) < RETENTION
}
