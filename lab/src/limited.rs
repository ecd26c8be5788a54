//! What engines that name a limit got from the entries that knew of it, against what they allow.

use std::time::Duration;

use tokio::time::Instant;

/// Span in which requests are counted.
pub const SPAN: Duration = Duration::from_secs(4);
/// Time after which an entry that passed on a limit is bound by it: the platform's.
pub const SLACK: Duration = Duration::from_millis(500);
/// What is allowed in a span by the limit.
const RATIO: f64 = 1.5;
/// What is allowed in a span besides.
const EXTRA: f64 = 5.0;

/// A request that an engine got.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// The entry that sent it.
    pub entry: usize,
    /// When it reached the engine.
    pub at: Instant,
    /// The limit that the engine named in its answer, in requests a second.
    pub limit: Option<f64>,
    /// When the entry passed that answer on.
    pub passed_on: Option<Instant>,
}

/// The requests of one span, and what was allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Count {
    /// Requests of entries that knew of the limit.
    pub requests: usize,
    /// What the limit allows them together.
    pub allowed: usize,
}

impl Count {
    /// Whether more came than allowed.
    pub fn is_over(&self) -> bool {
        self.requests > self.allowed
    }

    fn excess(&self) -> isize {
        self.requests as isize - self.allowed as isize
    }
}

/// Requests that a limit allows in a span.
pub fn allowed(limit: f64) -> usize {
    (limit * RATIO * SPAN.as_secs_f64() + EXTRA).floor() as usize
}

/// The worst span at one engine. An entry knows of the limit by answers that it passed on since its last trouble, of which
/// `last_trouble` tells before a time; spans that `is_excused` don't count.
pub fn worst(
    sent: &[Sent],
    last_trouble: impl Fn(usize, Instant) -> Option<Instant>,
    is_excused: impl Fn(Instant) -> bool,
) -> Option<Count> {
    let told: Vec<&Sent> = sent.iter().filter(|s| s.limit.is_some()).collect();
    let knew = |s: &Sent| {
        let since = last_trouble(s.entry, s.at);
        let earlier = told.iter().filter(|other| other.entry == s.entry);
        let mut passed_on = earlier.filter_map(|other| other.passed_on);
        passed_on.any(|at| at + SLACK <= s.at && since.is_none_or(|since| since < at))
    };
    let known: Vec<&Sent> = told.iter().copied().filter(|s| knew(s)).collect();
    let spans = known.iter().filter(|first| !is_excused(first.at));
    let counts = spans.map(|first| {
        let within = first.at..first.at + SPAN;
        let counted = known.iter().filter(|s| within.contains(&s.at));
        let limits = counted.clone().filter_map(|s| s.limit);
        Count {
            requests: counted.count(),
            allowed: allowed(limits.fold(0.0, f64::max)),
        }
    });
    counts.max_by_key(Count::excess)
}
