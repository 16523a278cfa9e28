//! Latency estimates of engines, learnt from measured times.

use crate::{Micros, to_f64, to_u64};

/// Latencies of an engine whose decode step takes longer with each request in its batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchLatency {
    /// Time to prefill one prompt token.
    pub prefill_token_us: f64,
    /// Time of a decode step with one request.
    pub decode_step_us: f64,
    /// Increase of the step time per further request.
    pub added_request_us: f64,
}

impl Default for BatchLatency {
    /// Initial estimates, which are corrected within a few requests.
    fn default() -> Self {
        Self {
            prefill_token_us: 80.0,
            decode_step_us: 9_000.0,
            added_request_us: 150.0,
        }
    }
}

/// Weight of a new sample in the averages of [`BatchLatency`]. A wrong initial estimate is corrected
/// within about twenty samples, while a single outlier hardly changes a placement.
const BATCH_SAMPLE_WEIGHT: f64 = 0.2;
/// Samples are limited to between 1/n and n times the current estimate, so that one stall has little
/// effect.
const MAX_SAMPLE_RATIO: f64 = 4.0;

impl BatchLatency {
    /// Learns from the time to the first token of a request that needed `prefilled_tokens` prompt tokens
    /// prefilled.
    pub fn observe_first_token(&mut self, prefilled_tokens: u64, took: Micros) {
        if prefilled_tokens >= MIN_SAMPLE_TOKENS {
            let sample = (to_f64(took) - self.decode_step_us).max(0.0) / to_f64(prefilled_tokens);
            update_average(&mut self.prefill_token_us, sample);
        }
    }

    /// Learns from an inter-token latency with `requests` requests in the batch and no prefill.
    pub fn observe_step(&mut self, requests: u64, took: Micros) {
        let expected = self.inter_token_us(requests);
        let ratio = (to_f64(took) / expected).clamp(1.0 / MAX_SAMPLE_RATIO, MAX_SAMPLE_RATIO);
        let scale = 1.0 + BATCH_SAMPLE_WEIGHT * (ratio - 1.0);
        // A small batch shows the time of the step itself, a large one the increase per request.
        if requests <= SMALL_BATCH_REQUESTS {
            self.decode_step_us *= scale;
        } else {
            self.added_request_us *= scale;
        }
    }

    /// Returns the inter-token latency with `requests` requests in the batch.
    #[must_use]
    pub fn inter_token_us(&self, requests: u64) -> f64 {
        self.decode_step_us + self.added_request_us * to_f64(requests.saturating_sub(1))
    }
}

/// Minimum number of prefilled tokens for a sample of the prefill time per token.
const MIN_SAMPLE_TOKENS: u64 = 64;
/// Largest batch whose step time is attributed to [`BatchLatency::decode_step_us`].
const SMALL_BATCH_REQUESTS: u64 = 4;

fn update_average(estimate: &mut f64, sample: f64) {
    update_average_by(BATCH_SAMPLE_WEIGHT, estimate, sample);
}

fn update_average_by(weight: f64, estimate: &mut f64, sample: f64) {
    let sample = sample.clamp(*estimate / MAX_SAMPLE_RATIO, *estimate * MAX_SAMPLE_RATIO);
    *estimate += weight * (sample - *estimate);
}

/// Latencies of an engine in its current stage, learnt because the engine does not report them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Latency {
    /// Time to the first token, or to the handle of a prefilled prompt, besides the prefill itself.
    pub overhead_us: f64,
    /// Time to prefill one token at the beginning of a prompt.
    pub prefill_token_us: f64,
    /// Inter-token latency of an answer while no prompt is prefilled.
    pub decode_token_us: f64,
    /// Recent peak of the inter-token latency while prompts are prefilled without a break, see
    /// `CONTENDED_RISE_WEIGHT`. `None` until it has been observed.
    pub contended_token_us: Option<f64>,
    /// Number of samples behind each of the first three estimates.
    pub samples: Samples,
}

/// Numbers of samples; an estimate with few samples is unreliable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Samples {
    /// Samples of [`Latency::overhead_us`].
    pub overhead: u32,
    /// Samples of [`Latency::prefill_token_us`].
    pub prefill: u32,
    /// Samples of [`Latency::decode_token_us`].
    pub decode: u32,
}

impl Samples {
    /// Whether there are enough samples of the inter-token latency for it to be evidence against an engine.
    #[must_use]
    pub fn has_known_pace(&self) -> bool {
        self.decode >= SETTLED_SAMPLES
    }
}

impl Latency {
    /// Returns the initial estimate for a prefill engine, used until the first prompt has been prefilled
    /// on any prefill engine. It is faster than any known engine: an engine that is estimated too fast
    /// gets a prompt, which corrects the estimate, while one that is estimated too slow for every
    /// request would never get any.
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

    /// Returns the initial estimate for a decode engine, which prefills between its decode steps and
    /// takes 2.5 times as long per token as a prefill engine.
    #[must_use]
    pub fn initial_decode() -> Self {
        Self {
            prefill_token_us: 5.0,
            ..Self::initial_prefill()
        }
    }
}

/// Lower bound of the prefill time per token, below that of any known engine. A prompt that seems to be
/// prefilled faster was already cached. An estimate near zero would make every queue look short, and
/// would never grow again.
const MIN_PREFILL_TOKEN_US: f64 = 2.0;
/// Minimum weight of a new sample in a mean of [`Latency`]; the relative step of a median is limited to
/// half of it in the long run. Samples are noisy, as the work ahead of a prompt is known only roughly.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// Number of samples after which an outlier is limited by [`MAX_SAMPLE_RATIO`], and maximum number of
/// samples that an estimate adopted from a peer counts for.
const SETTLED_SAMPLES: u32 = 4;
/// Weights of a sample in [`Latency::contended_token_us`]: of one above the estimate, and of one below.
/// Most events that are assumed to coincide with a prefill are not delayed by it, because the prompt is
/// cached or has not arrived yet. So a percentile would underestimate the effect: the 90th is 1 to 6 ms
/// per token on engines where prefill in fact raises it to 36 ms.
const CONTENDED_RISE_WEIGHT: f64 = 0.5;
const CONTENDED_FALL_WEIGHT: f64 = 0.005;
/// Number of samples after which an estimate is only advertised to new peers: the first samples, which
/// may be far off, hardly count by then, see [`MIN_SAMPLE_WEIGHT`].
const CONVERGED_SAMPLES: u32 = 32;
/// Largest prompt, in work, that is a sample of the overhead. Larger ones are samples of the prefill
/// time per token.
const SHORT_PROMPT_WORK: u64 = 512;

impl Latency {
    /// Returns it as a first estimate of another engine: its pace is no evidence of that one's.
    #[must_use]
    pub fn without_known_pace(self) -> Self {
        let samples = Samples {
            decode: 0,
            ..self.samples
        };
        Self { samples, ..self }
    }

    /// Learns from a prompt that was prefilled; `work` includes the work ahead of it when it was sent.
    pub fn observe_prefill(&mut self, work: u64, took: Micros) {
        let expected = to_f64(work) * self.prefill_token_us;
        if work <= SHORT_PROMPT_WORK {
            let sample = (to_f64(took) - expected).max(0.0);
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

    /// Adopts those estimates of another process that rest on more samples than this process's, as long
    /// as this process has fewer than `SETTLED_SAMPLES`. Returns whether anything changed.
    ///
    /// An adopted estimate counts as a few samples only, so that this process's own samples soon correct
    /// it if it is wrong for its engines.
    pub fn adopt(&mut self, other: &Self) -> bool {
        let previous = *self;
        adopt_estimate(
            (&mut self.samples.overhead, &mut self.overhead_us),
            (other.samples.overhead, other.overhead_us),
        );
        adopt_estimate(
            (&mut self.samples.prefill, &mut self.prefill_token_us),
            (
                other.samples.prefill,
                other.prefill_token_us.max(MIN_PREFILL_TOKEN_US),
            ),
        );
        adopt_estimate(
            (&mut self.samples.decode, &mut self.decode_token_us),
            (other.samples.decode, other.decode_token_us),
        );
        *self != previous
    }

    /// Whether there are estimates and they are still converging, so that each change is worth
    /// advertising to peers. The estimate with the most samples decides, because prefill engines give no
    /// answers from which the inter-token latency could be learnt.
    #[must_use]
    pub fn is_converging(&self) -> bool {
        let Samples {
            overhead,
            prefill,
            decode,
        } = self.samples;
        (1..CONVERGED_SAMPLES).contains(&overhead.max(prefill).max(decode))
    }

    /// Learns from the time to the first token of an answer whose prompt was prefilled elsewhere.
    pub fn observe_first_token(&mut self, took: Micros) {
        update_mean(
            &mut self.samples.overhead,
            &mut self.overhead_us,
            to_f64(took),
        );
    }

    /// Learns from an event of `tokens` tokens that came `gap` after the previous one. `before` and
    /// `after` are the remaining times of the prefills in flight at the previous event and at this one;
    /// `None` if there were none.
    ///
    /// The effect of prefill on answers shows only if there was enough to prefill for the whole gap, or
    /// for as long as such an event is expected to take. Gaps with a short prefill make it look as if
    /// prefill did not delay answers: with such samples, 55 % of the answers beside prompts of 10,000
    /// tokens or more stall for over 200 ms. Counting only gaps filled entirely leaves out the events
    /// that are delayed most, and engines with 15 answers are sent prompts of 5,000 to 20,000 tokens one
    /// after the other.
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
            (Some(remaining), _) if remaining >= gap.min(self.contended_event_time(tokens)) => {
                self.observe_contended(sample);
            }
            _ => {}
        }
    }

    /// Returns the expected time for an event of `tokens` tokens while prompts are prefilled.
    fn contended_event_time(&self, tokens: u64) -> Micros {
        self.contended_token_us
            .map_or(Micros::MAX, |token_us| to_u64(token_us * to_f64(tokens)))
    }

    /// Learns from an event that prefill may have delayed. One that came faster than without prefill, such as one that
    /// arrived together with the event before, can't be the first sample: it would hide the delay from the samples after it.
    fn observe_contended(&mut self, sample: f64) {
        let has_pace = self.samples.decode > 0;
        if self.contended_token_us.is_none() && has_pace && sample < self.decode_token_us {
            return;
        }
        let estimate = self.contended_token_us.get_or_insert(sample);
        let sample = sample.min(*estimate * MAX_SAMPLE_RATIO);
        let weight = if sample > *estimate {
            CONTENDED_RISE_WEIGHT
        } else {
            CONTENDED_FALL_WEIGHT
        };
        *estimate += weight * (sample - *estimate);
    }
}

/// Replaces an estimate by another process's if that one rests on more samples, of which at most
/// [`SETTLED_SAMPLES`] count.
fn adopt_estimate((samples, estimate): (&mut u32, &mut f64), (other_samples, other): (u32, f64)) {
    let other_samples = other_samples.min(SETTLED_SAMPLES);
    if other_samples > *samples && other.is_finite() && other > 0.0 {
        *samples = other_samples;
        *estimate = other;
    }
}

/// Updates a running median. The first sample replaces the initial estimate, and each later one moves it
/// by at most a fraction of its value. A mean would follow prompts that took several times as long
/// because they waited for work unknown to this process, which says nothing about the engine's speed.
fn update_median(samples: &mut u32, estimate: &mut f64, sample: f64) {
    let weight = (MIN_SAMPLE_WEIGHT / 2.0).max(1.0 / (f64::from(*samples) + 2.0));
    *estimate = match *samples {
        0 => sample,
        _ if sample > *estimate => sample.min(*estimate * (1.0 + weight)),
        _ => sample.max(*estimate / (1.0 + weight)),
    };
    *samples = samples.saturating_add(1);
}

/// Updates a running mean. The first sample replaces the initial estimate, the next ones count alike, and
/// later ones with at least [`MIN_SAMPLE_WEIGHT`], so that the mean follows changes.
fn update_mean(samples: &mut u32, estimate: &mut f64, sample: f64) {
    let weight = MIN_SAMPLE_WEIGHT.max(1.0 / (f64::from(*samples) + 1.0));
    if *samples < SETTLED_SAMPLES {
        *estimate += weight * (sample - *estimate);
    } else {
        update_average_by(weight, estimate, sample);
    }
    *samples = samples.saturating_add(1);
}

/// Safety margin on an expected time: the delay beyond it that only one in `MARGIN_EXCEEDED_ONE_IN`
/// events exceeds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Margin {
    us: f64,
}

/// On average, one in this many events may be later than the margin.
const MARGIN_EXCEEDED_ONE_IN: f64 = 7.0;
/// Increase of the margin per event that exceeds it, in microseconds. About ten such events raise it
/// from zero to 30 ms, a typical value in overload.
const MARGIN_STEP_US: f64 = 3_000.0;
/// Upper bound of the margin, in microseconds. A larger one would refuse requests that an idle fleet can
/// serve.
const MAX_MARGIN_US: f64 = 80_000.0;

impl Margin {
    /// Learns from an event that was expected after `expected_us` and happened after `took`.
    pub fn observe(&mut self, expected_us: f64, took: Micros) {
        let exceeded = to_f64(took) - expected_us > self.us;
        let step = if exceeded {
            MARGIN_STEP_US
        } else {
            -MARGIN_STEP_US / (MARGIN_EXCEEDED_ONE_IN - 1.0)
        };
        self.us = (self.us + step).clamp(0.0, MAX_MARGIN_US);
    }

    /// Returns the margin in microseconds.
    #[must_use]
    pub fn us(&self) -> f64 {
        self.us
    }
}

/// Safety factor on an expected waiting time. The estimate for a long queue is off by a factor rather
/// than by a constant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitFactor {
    factor: f64,
}

/// On average, one in this many waits may exceed the expected time by more than the factor.
const FACTOR_EXCEEDED_ONE_IN: f64 = 4.0;
/// Relative increase of the factor per wait that exceeds it: seven such waits double it.
const FACTOR_STEP_RATIO: f64 = 0.1;
/// Upper bound of the factor. With a larger one, no request would be admitted whose wait could show that
/// the factor is too large.
const MAX_FACTOR: f64 = 4.0;

impl Default for WaitFactor {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl WaitFactor {
    /// Learns from a wait that was expected to take `expected_us` and took `took`.
    pub fn observe(&mut self, expected_us: f64, took: Micros) {
        if to_f64(took) > expected_us * self.factor {
            self.increase();
        } else {
            self.factor =
                (self.factor * (1.0 - FACTOR_STEP_RATIO / (FACTOR_EXCEEDED_ONE_IN - 1.0))).max(1.0);
        }
    }

    /// Learns from a wait that was cancelled after `after`, before it ended.
    pub fn observe_cancelled(&mut self, expected_us: f64, after: Micros) {
        if to_f64(after) > expected_us * self.factor {
            self.increase();
        }
    }

    fn increase(&mut self) {
        self.factor = (self.factor * (1.0 + FACTOR_STEP_RATIO)).min(MAX_FACTOR);
    }

    /// Returns the factor, which is at least 1.
    #[must_use]
    pub fn factor(&self) -> f64 {
        self.factor
    }
}
