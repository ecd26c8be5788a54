//! Capacity of a pool's typical model engine, learned from the streams of this entry.
//!
//! Made for pools where one entry sees from some requests a second to some a minute: the values are
//! medians over the latest samples, and nominal values are used until there are enough.

use std::collections::VecDeque;

use crate::clock::Millis;

/// Capacity of a pool's typical model engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolCapacity {
    /// Prompt tokens that it prefills per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time of one step, in ms. Each step generates one token for every running request.
    pub step_ms: f64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: f64,
}

impl Default for PoolCapacity {
    /// Nominal values, used while there are too few samples.
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 50.0,
            step_ms: 4.0,
            tokens_per_event: 1.0,
        }
    }
}

/// Samples of each kind that are kept, the latest ones.
const MAX_SAMPLES: usize = 96;
/// Samples from which on they are used.
const MIN_SAMPLES: usize = 24;
/// Bounds of the prefill rate, in tokens per ms.
const PREFILL_BOUNDS: (f64, f64) = (5.0, 1_000.0);
/// Bounds of the step time, in ms.
const STEP_BOUNDS_MS: (f64, f64) = (0.5, 100.0);
/// Bounds of the tokens in an event.
const EVENT_BOUNDS: (f64, f64) = (1.0, 64.0);
/// Prompt tokens by which the longer samples must exceed the shorter ones: prefilling them takes
/// longer than the time to the first event varies for other reasons.
const MIN_TOKEN_SPREAD: f64 = 1_000.0;

/// Fraction by which a value must change to be logged.
const NOTICEABLE_CHANGE: f64 = 0.25;

/// The time to the first event of a prompt that found no other prompt left to prefill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillSample {
    /// Prompt tokens that were prefilled.
    pub tokens: u32,
    /// Time from sending the request to the first event.
    pub time: Millis,
    /// Time that work took at the endpoint then, relative to the typical endpoint at its usual
    /// speed.
    pub relative_time: f64,
}

/// Times of a complete stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamSample {
    /// Time between two events, in ms, without momentary slowdowns.
    pub event_ms: f64,
    /// Number of events.
    pub events: u32,
    /// Expected tokens of the whole answer.
    pub tokens: u64,
    /// Time that work takes at the endpoint, relative to the typical endpoint.
    pub relative_time: f64,
}

/// Fraction of the samples that are taken as undisturbed by other work at their endpoint.
const FAST_FRACTION: f64 = 0.2;

/// What an entry learned of the capacity of one pool.
#[derive(Debug, Default)]
pub struct LearnedCapacity {
    /// Prefilled tokens and time in ms, of the typical endpoint.
    prefills: VecDeque<(f64, f64)>,
    /// Times between two events in ms, of the typical endpoint.
    event_times: VecDeque<f64>,
    /// Tokens in an event.
    event_tokens: VecDeque<f64>,
    capacity: PoolCapacity,
    /// The capacity when its last change was taken.
    taken: PoolCapacity,
}

impl LearnedCapacity {
    /// The capacity; nominal values while there are too few samples.
    pub fn capacity(&self) -> PoolCapacity {
        self.capacity
    }

    /// Whether the capacity has changed by more than [`NOTICEABLE_CHANGE`] since this last returned
    /// true.
    pub fn take_change(&mut self) -> bool {
        let (new, old) = (self.capacity, self.taken);
        let has_changed = is_noticeable(new.prefill_tokens_per_ms, old.prefill_tokens_per_ms)
            || is_noticeable(new.step_ms, old.step_ms)
            || is_noticeable(new.tokens_per_event, old.tokens_per_event);
        if has_changed {
            self.taken = new;
        }
        has_changed
    }

    /// Records the time to the first event of a prompt.
    pub fn record_prefill(&mut self, sample: PrefillSample) {
        let ms = sample.time.0 as f64 / sample.relative_time;
        push(&mut self.prefills, (f64::from(sample.tokens), ms));
        if let Some(rate) = prefill_rate(&self.prefills) {
            self.capacity.prefill_tokens_per_ms = rate;
        }
    }

    /// Records a complete stream.
    pub fn record_stream(&mut self, sample: StreamSample) {
        push(
            &mut self.event_times,
            sample.event_ms / sample.relative_time,
        );
        let tokens = sample.tokens as f64 / f64::from(sample.events.max(1));
        push(&mut self.event_tokens, tokens);
        if self.event_times.len() < MIN_SAMPLES {
            return;
        }
        let event_tokens = self.event_tokens.iter().copied().collect();
        let tokens_per_event = bounded(median(event_tokens).round(), EVENT_BOUNDS);
        let event_ms = quantile(self.event_times.iter().copied().collect(), FAST_FRACTION);
        self.capacity.tokens_per_event = tokens_per_event;
        self.capacity.step_ms = bounded(event_ms / tokens_per_event, STEP_BOUNDS_MS);
    }
}

/// Prompt tokens prefilled per millisecond, by the longest third of the prompts: the rate that one
/// in five exceeds, without the constant part of the time, which the shortest third shows. Most
/// prompts are delayed by others that this entry does not know of. `None` where there are too few
/// samples or they are too similar.
fn prefill_rate(prefills: &VecDeque<(f64, f64)>) -> Option<f64> {
    if prefills.len() < MIN_SAMPLES {
        return None;
    }
    let mut sorted: Vec<(f64, f64)> = prefills.iter().copied().collect();
    sorted.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let third = sorted.len() / 3;
    let (short, long) = (&sorted[..third], &sorted[sorted.len() - third..]);
    let short_tokens = median(short.iter().map(|(tokens, _)| *tokens).collect());
    let constant_ms = quantile(short.iter().map(|(_, ms)| *ms).collect(), FAST_FRACTION);
    let rates = long.iter().filter_map(|(tokens, ms)| {
        let more_tokens = tokens - short_tokens;
        let more_ms = ms - constant_ms;
        let is_usable = more_tokens >= MIN_TOKEN_SPREAD && more_ms > 0.0;
        is_usable.then(|| more_tokens / more_ms)
    });
    let rates: Vec<f64> = rates.collect();
    let is_enough = rates.len() * 2 >= third;
    is_enough.then(|| bounded(quantile(rates, 1.0 - FAST_FRACTION), PREFILL_BOUNDS))
}

fn is_noticeable(new: f64, old: f64) -> bool {
    (new - old).abs() > old * NOTICEABLE_CHANGE
}

fn push<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() >= MAX_SAMPLES {
        samples.pop_front();
    }
    samples.push_back(sample);
}

fn bounded(value: f64, (least, most): (f64, f64)) -> f64 {
    value.clamp(least, most)
}

/// Median of samples; 0 without any.
fn median(samples: Vec<f64>) -> f64 {
    quantile(samples, 0.5)
}

/// The sample that a fraction of the samples lies below; 0 without any.
fn quantile(mut samples: Vec<f64>, fraction: f64) -> f64 {
    samples.sort_unstable_by(f64::total_cmp);
    let at = (samples.len() as f64 * fraction) as usize;
    samples.get(at).copied().unwrap_or_default()
}
