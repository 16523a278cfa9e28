//! Rates of an engine, learnt from what it did.

use crate::{Micros, count, real};

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
    blend_by(WEIGHT, rate, sample);
}

fn blend_by(weight: f64, rate: &mut f64, sample: f64) {
    let sample = sample.clamp(*rate / OUTLIER, *rate * OUTLIER);
    *rate += weight * (sample - *rate);
}

/// How fast an engine is in its present stage, where nobody has told: learnt from what it does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Time to the first token, or to the handle of a read prompt, besides reading.
    pub start_us: f64,
    /// Time to read one prompt token at the beginning of a prompt.
    pub read_us: f64,
    /// Time between two tokens of an answer while no prompt is read.
    pub step_us: f64,
    /// The longest that this lately was while prompts were read all the time, see [`SLOWED_UP`]. None before that
    /// was seen.
    pub slowed_us: Option<f64>,
    /// How many samples each of the first three was learnt from.
    pub samples: Samples,
}

/// Numbers of samples; what has few of them is still a guess.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Samples {
    /// Of the time besides reading.
    pub start: u32,
    /// Of the time to read a token.
    pub read: u32,
    /// Of the time between tokens.
    pub step: u32,
}

impl Pace {
    /// A guess for an engine that only reads, until the first prompt has been read somewhere: faster than
    /// any engine known. One that looks fast is tried, and one that looks too slow for every request would
    /// never be.
    #[must_use]
    pub fn of_reader() -> Self {
        Self {
            start_us: 3_000.0,
            read_us: FASTEST_US,
            step_us: 500.0,
            slowed_us: None,
            samples: Samples::default(),
        }
    }

    /// A guess for an engine that writes: it reads at half the speed, and between its tokens.
    #[must_use]
    pub fn of_writer() -> Self {
        Self {
            read_us: 5.0,
            ..Self::of_reader()
        }
    }
}

/// The shortest time to read a token, in microseconds, below that of any engine known. What seems to be read
/// faster was held by the engine already: a pace of nothing would make every line look short, and never grow.
const FASTEST_US: f64 = 2.0;
/// Least weight of a new sample of a pace. Samples are noisy, as the work ahead is known only roughly.
const PACE_WEIGHT: f64 = 0.1;
/// Samples from which on one that is far off is not believed whole.
const SETTLED: u32 = 4;
/// The part of the way that [`Pace::slowed_us`] goes up to an event that took longer, and down with one that did not.
/// Most events beside which a prompt is thought to be read are not held up, as the prompt is held already or has not
/// come yet. As the time that nine of ten stay below it was 1 to 6 ms a token where reading makes it 36.
const SLOWED_UP: f64 = 0.5;
const SLOWED_DOWN: f64 = 0.005;
/// Samples from which on others are not told unless they are new: a rate has then moved by all that a wrong guess
/// was off, see [`PACE_WEIGHT`].
const LEARNT: u32 = 32;
/// Prompts up to this many tokens tell of the time besides reading, longer ones of reading.
const SHORT: u64 = 512;

impl Pace {
    /// Learns from a prompt that was read, with so much work in all since it was sent.
    pub fn read(&mut self, work: u64, took: Micros) {
        let reading = real(work) * self.read_us;
        if work <= SHORT {
            let sample = (real(took) - reading).max(0.0);
            average(&mut self.samples.start, &mut self.start_us, sample);
        } else {
            let sample = (real(took) - self.start_us).max(0.0) / real(work);
            if sample >= FASTEST_US {
                median(&mut self.samples.read, &mut self.read_us, sample);
            }
        }
    }

    /// Takes what another decider has learnt, as far as it has seen more and this one little. Says whether anything
    /// was taken.
    ///
    /// What is taken counts as a few samples, so that own ones soon show whether it holds here.
    pub fn adopt(&mut self, told: &Self) -> bool {
        let before = *self;
        take(
            (&mut self.samples.start, &mut self.start_us),
            (told.samples.start, told.start_us),
        );
        take(
            (&mut self.samples.read, &mut self.read_us),
            (told.samples.read, told.read_us.max(FASTEST_US)),
        );
        take(
            (&mut self.samples.step, &mut self.step_us),
            (told.samples.step, told.step_us),
        );
        *self != before
    }

    /// Whether it is still being learnt, so that what one decider sees is news to others. The rate with the most samples
    /// tells: engines that read give no answers to learn from.
    #[must_use]
    pub fn is_new(&self) -> bool {
        let Samples { start, read, step } = self.samples;
        (1..LEARNT).contains(&start.max(read).max(step))
    }

    /// Learns from an answer that began after so long, its prompt having been read elsewhere.
    pub fn began(&mut self, took: Micros) {
        average(&mut self.samples.start, &mut self.start_us, real(took));
    }

    /// Learns from an event of so many tokens that came so long after the one before it. `before` and `after` are
    /// the times that the prompts under way at the two would still take; none where no prompt was.
    ///
    /// What reading does to answers shows only where there was enough to read for the whole time, or for as long as
    /// such an event is thought to take. A time in which a short prompt was read for a moment made engines look as
    /// if their answers bore any reading: with such samples 55 % of the answers beside 10,000 tokens or more paused
    /// for over 200 ms. Where only what filled the whole time counted, the events that reading held up most were
    /// left out, and engines with 15 answers were sent prompts of 5,000 to 20,000 tokens one after the other.
    pub fn event(
        &mut self,
        tokens: u64,
        gap: Micros,
        before: Option<Micros>,
        after: Option<Micros>,
    ) {
        if tokens == 0 {
            return;
        }
        let sample = real(gap) / real(tokens);
        match (before, after) {
            (None, None) => average(&mut self.samples.step, &mut self.step_us, sample),
            (Some(left), _) if left >= gap.min(self.slowed_event(tokens)) => self.slowed(sample),
            _ => {}
        }
    }

    /// The time that an event of so many tokens is thought to take while prompts are read.
    fn slowed_event(&self, tokens: u64) -> Micros {
        self.slowed_us
            .map_or(Micros::MAX, |slowed| count(slowed * real(tokens)))
    }

    fn slowed(&mut self, sample: f64) {
        let slowed = self.slowed_us.get_or_insert(sample);
        let sample = sample.min(*slowed * OUTLIER);
        let part = if sample > *slowed {
            SLOWED_UP
        } else {
            SLOWED_DOWN
        };
        *slowed += part * (sample - *slowed);
    }
}

/// Takes a rate that is told with the number of its samples, if it has more of them and the own one few.
fn take((seen, rate): (&mut u32, &mut f64), (told, other): (u32, f64)) {
    let told = told.min(SETTLED);
    if told > *seen && other.is_finite() && other > 0.0 {
        *seen = told;
        *rate = other;
    }
}

/// Moves a median that starts at a guess: the first sample replaces it, and each further one moves it by a
/// part of itself. A prompt that waited behind work that nobody here knew of took several times its time,
/// which says nothing of the pace; an average would follow it.
fn median(seen: &mut u32, rate: &mut f64, sample: f64) {
    let weight = (PACE_WEIGHT / 2.0).max(1.0 / (f64::from(*seen) + 2.0));
    *rate = match *seen {
        0 => sample,
        _ if sample > *rate => sample.min(*rate * (1.0 + weight)),
        _ => sample.max(*rate / (1.0 + weight)),
    };
    *seen = seen.saturating_add(1);
}

/// Takes a sample into an average that starts at a guess: the first sample replaces it, the next ones count
/// alike, and later ones at least [`PACE_WEIGHT`], so that it follows what changes.
fn average(seen: &mut u32, rate: &mut f64, sample: f64) {
    let weight = PACE_WEIGHT.max(1.0 / (f64::from(*seen) + 1.0));
    if *seen < SETTLED {
        *rate += weight * (sample - *rate);
    } else {
        blend_by(weight, rate, sample);
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
const ONE_IN: f64 = 7.0;
/// How far the margin moves with a sample that is beyond it, in microseconds: some ten such samples
/// take it from nothing to where it was found to lie in overload, some 30 ms.
const STEP_US: f64 = 3_000.0;
/// The largest margin, in microseconds. A larger one would refuse what an idle fleet can serve.
const LARGEST_US: f64 = 80_000.0;

impl Margin {
    /// Learns from something that was expected after one time and happened after another.
    pub fn learn(&mut self, expected: f64, took: Micros) {
        let beyond = real(took) - expected > self.us;
        let step = if beyond {
            STEP_US
        } else {
            -STEP_US / (ONE_IN - 1.0)
        };
        self.us = (self.us + step).clamp(0.0, LARGEST_US);
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
pub struct Stretch {
    times: f64,
}

/// One in so many may take longer than the stretch says.
const LONGER_ONE_IN: f64 = 4.0;
/// How far the stretch moves, as a part of itself, with a sample that is beyond it: it doubles with seven.
const STRETCH_STEP: f64 = 0.1;
/// The largest stretch. With a larger one nothing would be let in that could show that it is too large.
const LARGEST: f64 = 4.0;

impl Default for Stretch {
    fn default() -> Self {
        Self { times: 1.0 }
    }
}

impl Stretch {
    /// Learns from something that was expected to take one time and took another.
    pub fn learn(&mut self, expected: f64, took: Micros) {
        if real(took) > expected * self.times {
            self.beyond();
        } else {
            self.times = (self.times * (1.0 - STRETCH_STEP / (LONGER_ONE_IN - 1.0))).max(1.0);
        }
    }

    /// Learns from something that was given up after a time, and would have taken longer.
    pub fn give_up(&mut self, expected: f64, after: Micros) {
        if real(after) > expected * self.times {
            self.beyond();
        }
    }

    fn beyond(&mut self) {
        self.times = (self.times * (1.0 + STRETCH_STEP)).min(LARGEST);
    }

    /// How many times as long.
    #[must_use]
    pub fn times(&self) -> f64 {
        self.times
    }
}
