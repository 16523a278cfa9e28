//! Rates of an engine, learnt from what it did.

use crate::{Micros, real};

/// What is known of an engine's speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Time to read one prompt token.
    pub read_us: f64,
    /// Time of a step in which one request writes.
    pub step_us: f64,
    /// What each further request adds to a step.
    pub write_us: f64,
}

impl Default for Rates {
    /// A guess that is corrected within a few requests.
    fn default() -> Self {
        Self {
            read_us: 80.0,
            step_us: 9_000.0,
            write_us: 150.0,
        }
    }
}

/// Weight of a new sample in the averages. A fifth of the way each: a wrong guess is gone after some
/// twenty requests, and one odd request moves the choice little.
const WEIGHT: f64 = 0.2;
/// A sample counts as at most this many times the present rate, so that one stall is not learnt.
const OUTLIER: f64 = 4.0;

impl Rates {
    /// A guess that is faster than any engine known so far, for fleets whose speed nobody has told:
    /// an engine that looks fast is tried, and what it does corrects the guess; one that looks too
    /// slow for every request would never be tried.
    #[must_use]
    pub fn hopeful() -> Self {
        Self {
            read_us: 2.0,
            step_us: 500.0,
            write_us: 1.0,
        }
    }

    /// Learns from a first token that came after so long, with so many prompt tokens read before it.
    pub fn first(&mut self, tokens_read: u64, took: Micros) {
        if tokens_read >= LEAST_TOKENS {
            let sample = (real(took) - self.step_us).max(0.0) / real(tokens_read);
            blend(&mut self.read_us, sample);
        }
    }

    /// Learns from a time between tokens, while so many requests wrote and nothing was read.
    pub fn between(&mut self, writing: u64, took: Micros) {
        let expected = self.between_tokens(writing);
        let ratio = (real(took) / expected).clamp(1.0 / OUTLIER, OUTLIER);
        let scale = 1.0 + WEIGHT * (ratio - 1.0);
        // a lone writer tells of the step, a crowd of what each one adds
        if writing <= FEW {
            self.step_us *= scale;
        } else {
            self.write_us *= scale;
        }
    }

    /// The time between tokens while so many requests write.
    #[must_use]
    pub fn between_tokens(&self, writing: u64) -> f64 {
        self.step_us + self.write_us * real(writing.saturating_sub(1))
    }
}

const LEAST_TOKENS: u64 = 64;
const FEW: u64 = 4;

fn blend(rate: &mut f64, sample: f64) {
    let sample = sample.clamp(*rate / OUTLIER, *rate * OUTLIER);
    *rate += WEIGHT * (sample - *rate);
}
