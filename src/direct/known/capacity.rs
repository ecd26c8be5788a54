//! Capacity of a pool's typical model engine.

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
