//! Capacity of a pool's engines as an entry learns it from its own answers.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use violetline::clock::Millis;
use violetline::direct::known::capacity::{
    LearnedCapacity, PoolCapacity, PrefillSample, StreamSample,
};
use violetline::direct::placement::price::PREFILL_TOKENS_PER_MS;

fn stream(event_ms: f64, tokens: u64, relative_time: f64) -> StreamSample {
    StreamSample {
        event_ms,
        events: 50,
        tokens,
        relative_time,
    }
}

/// Guards against prices that change before anything was learned.
#[test]
fn nominal_at_first() {
    let mut learned = LearnedCapacity::default();
    assert_eq!(learned.capacity(), PoolCapacity::default());
    let nominal = PoolCapacity::default().prefill_tokens_per_ms;
    assert_eq!(nominal, PREFILL_TOKENS_PER_MS);
    for _ in 0..10 {
        learned.record_stream(stream(30.0, 300, 1.0));
        learned.record_prefill(PrefillSample {
            tokens: 6_610,
            time: Millis(120),
            relative_time: 1.0,
        });
    }
    assert_eq!(learned.capacity(), PoolCapacity::default());
}

/// Guards against a prefill rate that includes the constant time to the first event, or the
/// differences between engines.
#[test]
fn prefill_rate_learned() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut learned = LearnedCapacity::default();
    for i in 0..300 {
        let tokens = [628, 1_800, 6_610, 11_992][i % 4];
        let relative_time = [0.7, 0.7, 1.7][i % 3];
        let alone = f64::from(tokens) / 68.0 + 25.0;
        // A prompt that was not known here was ahead in a fifth of the cases.
        let ahead = if rng.gen_bool(0.2) { 97.0 } else { 0.0 };
        let ms = (alone + ahead) * relative_time * rng.gen_range(0.9..1.1);
        learned.record_prefill(PrefillSample {
            tokens,
            time: Millis(ms as u64),
            relative_time,
        });
    }
    let rate = learned.capacity().prefill_tokens_per_ms;
    assert!((58.0..=78.0).contains(&rate), "{rate}");
}

/// Guards against a rate derived from prompts of one length.
#[test]
fn similar_prompts_ignored() {
    let mut learned = LearnedCapacity::default();
    for i in 0..60 {
        learned.record_prefill(PrefillSample {
            tokens: 600 + i,
            time: Millis(30),
            relative_time: 1.0,
        });
    }
    assert_eq!(learned.capacity(), PoolCapacity::default());
}

/// Guards against a step time that counts an event of several tokens as one step, and against
/// callers whose estimates of the answer's length are far off.
#[test]
fn step_time_learned() {
    let mut learned = LearnedCapacity::default();
    for i in 0..60 {
        let tokens = if i % 5 == 0 { 4_096 } else { 300 };
        let relative_time = [0.75, 1.0, 1.5][i % 3];
        learned.record_stream(stream(30.0 * relative_time, tokens, relative_time));
    }
    let capacity = learned.capacity();
    assert_eq!(capacity.tokens_per_event, 6.0);
    assert!((capacity.step_ms - 5.0).abs() < 0.01, "{capacity:?}");
}

/// Guards against values beyond the bounds.
#[test]
fn learned_values_bounded() {
    let mut slow = LearnedCapacity::default();
    let mut fast = LearnedCapacity::default();
    for i in 0..60 {
        slow.record_stream(stream(9_000.0, 0, 1.0));
        fast.record_stream(stream(0.05, 1 << 24, 1.0));
        let tokens = 1_000 + i * 200;
        for (learned, per_token) in [(&mut slow, 2.0), (&mut fast, 0.0002)] {
            learned.record_prefill(PrefillSample {
                tokens,
                time: Millis((f64::from(tokens) * per_token) as u64),
                relative_time: 1.0,
            });
        }
    }
    let (slow, fast) = (slow.capacity(), fast.capacity());
    assert_eq!((slow.step_ms, fast.step_ms), (100.0, 0.5));
    assert_eq!((slow.tokens_per_event, fast.tokens_per_event), (1.0, 64.0));
    assert_eq!(
        (slow.prefill_tokens_per_ms, fast.prefill_tokens_per_ms),
        (5.0, 1_000.0)
    );
}
