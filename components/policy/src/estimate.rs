//! Rates of an engine, learnt from what it did.

use crate::{Micros, to_f64, to_u64};

/// What is known of an engine's speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchLatency {
    /// Time to read one prompt token.
    pub prefill_token_us: f64,
    /// Time of a step in which one request writes.
    pub decode_step_us: f64,
    /// What each further request adds to a step.
    pub added_request_us: f64,
}

impl Default for BatchLatency {
    /// A guess that is corrected within a few requests.
    fn default() -> Self {
        Self {
            prefill_token_us: 80.0,
            decode_step_us: 9_000.0,
            added_request_us: 150.0,
        }
    }
}

/// Weight of a new sample in the averages. A fifth of the way each: a wrong guess is gone after some
/// twenty requests, and one odd request moves the choice little.
const BATCH_SAMPLE_WEIGHT: f64 = 0.2;
/// A sample counts as at most this many times the present rate, so that one stall is not learnt.
const MAX_SAMPLE_RATIO: f64 = 4.0;

impl BatchLatency {
    /// Learns from a first token that came after so long, with so many prompt tokens read before it.
    pub fn observe_first_token(&mut self, tokens_read: u64, took: Micros) {
        if tokens_read >= MIN_SAMPLE_TOKENS {
            let sample = (to_f64(took) - self.decode_step_us).max(0.0) / to_f64(tokens_read);
            update_average(&mut self.prefill_token_us, sample);
        }
    }

    /// Learns from a time between tokens, while so many requests wrote and nothing was read.
    pub fn observe_step(&mut self, writing: u64, took: Micros) {
        let expected = self.inter_token_us(writing);
        let ratio = (to_f64(took) / expected).clamp(1.0 / MAX_SAMPLE_RATIO, MAX_SAMPLE_RATIO);
        let scale = 1.0 + BATCH_SAMPLE_WEIGHT * (ratio - 1.0);
        // a lone writer tells of the step, a crowd of what each one adds
        if writing <= SMALL_BATCH_REQUESTS {
            self.decode_step_us *= scale;
        } else {
            self.added_request_us *= scale;
        }
    }

    /// The time between tokens while so many requests write.
    #[must_use]
    pub fn inter_token_us(&self, writing: u64) -> f64 {
        self.decode_step_us + self.added_request_us * to_f64(writing.saturating_sub(1))
    }
}

const MIN_SAMPLE_TOKENS: u64 = 64;
const SMALL_BATCH_REQUESTS: u64 = 4;

fn update_average(rate: &mut f64, sample: f64) {
    update_average_by(BATCH_SAMPLE_WEIGHT, rate, sample);
}

fn update_average_by(weight: f64, rate: &mut f64, sample: f64) {
    let sample = sample.clamp(*rate / MAX_SAMPLE_RATIO, *rate * MAX_SAMPLE_RATIO);
    *rate += weight * (sample - *rate);
}

/// How fast an engine is in its present stage, where nobody has told: learnt from what it does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Latency {
    /// Time to the first token, or to the handle of a read prompt, besides reading.
    pub overhead_us: f64,
    /// Time to read one prompt token at the beginning of a prompt.
    pub prefill_token_us: f64,
    /// Time between two tokens of an answer while no prompt is read.
    pub decode_token_us: f64,
    /// The longest that this lately was while prompts were read all the time, see [`SLOWED_UP`]. None before that
    /// was seen.
    pub contended_token_us: Option<f64>,
    /// How many samples each of the first three was learnt from.
    pub samples: Samples,
}

/// Numbers of samples; what has few of them is still a guess.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Samples {
    /// Of the time besides reading.
    pub overhead: u32,
    /// Of the time to read a token.
    pub prefill: u32,
    /// Of the time between tokens.
    pub decode: u32,
}

impl Latency {
    /// A guess for an engine that only reads, until the first prompt has been read somewhere: faster than
    /// any engine known. One that looks fast is tried, and one that looks too slow for every request would
    /// never be.
    #[must_use]
    pub fn initial_prefill() -> Self {
        Self {
            overhead_us: 3_000.0,
            prefill_token_us: MIN_PREFILL_TOKEN_US,
            decode_token_us: 500.0,
            contended_token_us: None,
            samples: Samples::default(),
        }
    }

    /// A guess for an engine that writes: it reads at half the speed, and between its tokens.
    #[must_use]
    pub fn initial_decode() -> Self {
        Self {
            prefill_token_us: 5.0,
            ..Self::initial_prefill()
        }
    }
}

/// The shortest time to read a token, in microseconds, below that of any engine known. What seems to be read
/// faster was held by the engine already: a pace of nothing would make every line look short, and never grow.
const MIN_PREFILL_TOKEN_US: f64 = 2.0;
/// Least weight of a new sample of a pace. Samples are noisy, as the work ahead is known only roughly.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// Samples from which on one that is far off is not believed whole.
const SETTLED_SAMPLES: u32 = 4;
/// The part of the way that [`Pace::slowed_us`] goes up to an event that took longer, and down with one that did not.
/// Most events beside which a prompt is thought to be read are not held up, as the prompt is held already or has not
/// come yet. As the time that nine of ten stay below it was 1 to 6 ms a token where reading makes it 36.
const CONTENDED_RISE_WEIGHT: f64 = 0.5;
const CONTENDED_FALL_WEIGHT: f64 = 0.005;
/// Samples from which on others are not told unless they are new: a rate has then moved by all that a wrong guess
/// was off, see [`PACE_WEIGHT`].
const CONVERGED_SAMPLES: u32 = 32;
/// Prompts up to this many tokens tell of the time besides reading, longer ones of reading.
const SHORT_PROMPT_WORK: u64 = 512;

impl Latency {
    /// Learns from a prompt that was read, with so much work in all since it was sent.
    pub fn observe_prefill(&mut self, work: u64, took: Micros) {
        let reading = to_f64(work) * self.prefill_token_us;
        if work <= SHORT_PROMPT_WORK {
            let sample = (to_f64(took) - reading).max(0.0);
            update_mean(&mut self.samples.overhead, &mut self.overhead_us, sample);
        } else {
            let sample = (to_f64(took) - self.overhead_us).max(0.0) / to_f64(work);
            if sample >= MIN_PREFILL_TOKEN_US {
                update_median(
                    &mut self.samples.prefill,
                    &mut self.prefill_token_us,
                    sample,
                );
            }
        }
    }

    /// Takes what another decider has learnt, as far as it has seen more and this one little. Says whether anything
    /// was taken.
    ///
    /// What is taken counts as a few samples, so that own ones soon show whether it holds here.
    pub fn adopt(&mut self, told: &Self) -> bool {
        let before = *self;
        adopt_sample(
            (&mut self.samples.overhead, &mut self.overhead_us),
            (told.samples.overhead, told.overhead_us),
        );
        adopt_sample(
            (&mut self.samples.prefill, &mut self.prefill_token_us),
            (
                told.samples.prefill,
                told.prefill_token_us.max(MIN_PREFILL_TOKEN_US),
            ),
        );
        adopt_sample(
            (&mut self.samples.decode, &mut self.decode_token_us),
            (told.samples.decode, told.decode_token_us),
        );
        *self != before
    }

    /// Whether it is still being learnt, so that what one decider sees is news to others. The rate with the most samples
    /// tells: engines that read give no answers to learn from.
    #[must_use]
    pub fn is_converging(&self) -> bool {
        let Samples {
            overhead: start,
            prefill: read,
            decode: step,
        } = self.samples;
        (1..CONVERGED_SAMPLES).contains(&start.max(read).max(step))
    }

    /// Learns from an answer that began after so long, its prompt having been read elsewhere.
    pub fn observe_first_token(&mut self, took: Micros) {
        update_mean(
            &mut self.samples.overhead,
            &mut self.overhead_us,
            to_f64(took),
        );
    }

    /// Learns from an event of so many tokens that came so long after the one before it. `before` and `after` are
    /// the times that the prompts under way at the two would still take; none where no prompt was.
    ///
    /// What reading does to answers shows only where there was enough to read for the whole time, or for as long as
    /// such an event is thought to take. A time in which a short prompt was read for a moment made engines look as
    /// if their answers bore any reading: with such samples 55 % of the answers beside 10,000 tokens or more paused
    /// for over 200 ms. Where only what filled the whole time counted, the events that reading held up most were
    /// left out, and engines with 15 answers were sent prompts of 5,000 to 20,000 tokens one after the other.
    pub fn observe_event(
        &mut self,
        tokens: u64,
        gap: Micros,
        before: Option<Micros>,
        after: Option<Micros>,
    ) {
        if tokens == 0 {
            return;
        }
        let sample = to_f64(gap) / to_f64(tokens);
        match (before, after) {
            (None, None) => {
                update_mean(&mut self.samples.decode, &mut self.decode_token_us, sample);
            }
            (Some(left), _) if left >= gap.min(self.contended_event(tokens)) => {
                self.observe_contended(sample);
            }
            _ => {}
        }
    }

    /// The time that an event of so many tokens is thought to take while prompts are read.
    fn contended_event(&self, tokens: u64) -> Micros {
        self.contended_token_us
            .map_or(Micros::MAX, |slowed| to_u64(slowed * to_f64(tokens)))
    }

    fn observe_contended(&mut self, sample: f64) {
        let slowed = self.contended_token_us.get_or_insert(sample);
        let sample = sample.min(*slowed * MAX_SAMPLE_RATIO);
        let part = if sample > *slowed {
            CONTENDED_RISE_WEIGHT
        } else {
            CONTENDED_FALL_WEIGHT
        };
        *slowed += part * (sample - *slowed);
    }
}

/// Takes a rate that is told with the number of its samples, if it has more of them and the own one few.
fn adopt_sample((seen, rate): (&mut u32, &mut f64), (told, other): (u32, f64)) {
    let told = told.min(SETTLED_SAMPLES);
    if told > *seen && other.is_finite() && other > 0.0 {
        *seen = told;
        *rate = other;
    }
}

/// Moves a median that starts at a guess: the first sample replaces it, and each further one moves it by a
/// part of itself. A prompt that waited behind work that nobody here knew of took several times its time,
/// which says nothing of the pace; an average would follow it.
fn update_median(seen: &mut u32, rate: &mut f64, sample: f64) {
    let weight = (MIN_SAMPLE_WEIGHT / 2.0).max(1.0 / (f64::from(*seen) + 2.0));
    *rate = match *seen {
        0 => sample,
        _ if sample > *rate => sample.min(*rate * (1.0 + weight)),
        _ => sample.max(*rate / (1.0 + weight)),
    };
    *seen = seen.saturating_add(1);
}

/// Takes a sample into an average that starts at a guess: the first sample replaces it, the next ones count
/// alike, and later ones at least [`PACE_WEIGHT`], so that it follows what changes.
fn update_mean(seen: &mut u32, rate: &mut f64, sample: f64) {
    let weight = MIN_SAMPLE_WEIGHT.max(1.0 / (f64::from(*seen) + 1.0));
    if *seen < SETTLED_SAMPLES {
        *rate += weight * (sample - *rate);
    } else {
        update_average_by(weight, rate, sample);
    }
    *seen = seen.saturating_add(1);
}

/// The time by which most things happen that were expected at another time: how far beyond the
/// expectation all but one in [`ONE_IN`] are there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Margin {
    us: f64,
}

/// One in so many may be later than the margin says.
const MARGIN_EXCEEDED_ONE_IN: f64 = 7.0;
/// How far the margin moves with a sample that is beyond it, in microseconds: some ten such samples
/// take it from nothing to where it was found to lie in overload, some 30 ms.
const MARGIN_STEP_US: f64 = 3_000.0;
/// The largest margin, in microseconds. A larger one would refuse what an idle fleet can serve.
const MAX_MARGIN_US: f64 = 80_000.0;

impl Margin {
    /// Learns from something that was expected after one time and happened after another.
    pub fn observe(&mut self, expected: f64, took: Micros) {
        let beyond = to_f64(took) - expected > self.us;
        let step = if beyond {
            MARGIN_STEP_US
        } else {
            -MARGIN_STEP_US / (MARGIN_EXCEEDED_ONE_IN - 1.0)
        };
        self.us = (self.us + step).clamp(0.0, MAX_MARGIN_US);
    }

    /// The margin in microseconds.
    #[must_use]
    pub fn us(&self) -> f64 {
        self.us
    }
}

/// How many times as long as expected most things take that wait behind others: what is expected of a long line
/// is off by a factor rather than by a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitFactor {
    factor: f64,
}

/// One in so many may take longer than the stretch says.
const FACTOR_EXCEEDED_ONE_IN: f64 = 4.0;
/// How far the stretch moves, as a part of itself, with a sample that is beyond it: it doubles with seven.
const FACTOR_STEP_RATIO: f64 = 0.1;
/// The largest stretch. With a larger one nothing would be let in that could show that it is too large.
const MAX_FACTOR: f64 = 4.0;

impl Default for WaitFactor {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl WaitFactor {
    /// Learns from something that was expected to take one time and took another.
    pub fn observe(&mut self, expected: f64, took: Micros) {
        if to_f64(took) > expected * self.factor {
            self.increase();
        } else {
            self.factor =
                (self.factor * (1.0 - FACTOR_STEP_RATIO / (FACTOR_EXCEEDED_ONE_IN - 1.0))).max(1.0);
        }
    }

    /// Learns from something that was given up after a time, and would have taken longer.
    pub fn observe_cancelled(&mut self, expected: f64, after: Micros) {
        if to_f64(after) > expected * self.factor {
            self.increase();
        }
    }

    fn increase(&mut self) {
        self.factor = (self.factor * (1.0 + FACTOR_STEP_RATIO)).min(MAX_FACTOR);
    }

    /// How many times as long.
    #[must_use]
    pub fn factor(&self) -> f64 {
        self.factor
    }
}
