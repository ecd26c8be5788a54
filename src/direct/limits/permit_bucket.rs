//! What the coordinator of a limited endpoint gives out, and when those that get nothing are to ask again.

use crate::clock::Millis;
use crate::direct::load::BANDS;
use crate::rate::Rate;

/// Part of a limit that one coordinator gives out: two that don't know of each other, in two parts of a fleet or while one
/// takes over from another, stay within one and a half times the limit together.
const USED_PART: f64 = 0.7;
/// Permits a second that are given out below any limit, so that somebody hears when it ends.
const LEAST_PER_S: f64 = 0.2;
/// Permits that may be saved up while nobody asks.
const SAVED: f64 = 2.0;
/// Span whose permits may be saved up, where they are more.
const SAVED_MS: f64 = 100.0;
/// Those that ask for each permit by the times that they are told: some don't come back.
const ASKERS: f64 = 3.0;
/// Longest time until one asks again: with more, entries that have work would not learn of free permits.
const LONGEST_WAIT: Millis = Millis(10_000);
/// Shortest such time: at high limits some permits gather meanwhile, and are given out together.
const SHORTEST_WAIT: Millis = Millis(60);
/// Time after its turn in which an urgent asker may still come before less urgent ones are given its permit.
const LATE: Millis = Millis(100);
/// Of so many permits one is given out whatever the urgency, so that no band is left without.
const FOR_ALL: u32 = 8;

/// What one entry gives out for one endpoint.
#[derive(Debug, Clone, Copy)]
pub struct PermitBucket {
    /// Permits at hand.
    level: f64,
    /// Up to when they are counted.
    filled: Millis,
    /// The turn of the next asker that gets nothing, by band.
    next_turn: [Millis; BANDS],
    /// Until when one of each band is expected to come back.
    expected: [Millis; BANDS],
    /// Permits given out, the count of [`FOR_ALL`].
    given: u32,
}

impl PermitBucket {
    /// An allowance from which nothing is given out before `opens`; from then on it fills.
    pub fn empty_until(opens: Millis) -> Self {
        Self {
            level: 0.0,
            filled: opens,
            next_turn: [Millis(0); BANDS],
            expected: [Millis(0); BANDS],
            given: 0,
        }
    }

    /// The same with one permit at hand.
    pub fn with_one_permit(now: Millis) -> Self {
        Self {
            level: 1.0,
            ..Self::empty_until(now)
        }
    }

    /// Takes up to `wanted` permits for requests of a band of urgency, of `part` of the limit; where there is none, when to ask
    /// again.
    pub fn take(
        &mut self,
        limit: Rate,
        part: f64,
        band: usize,
        wanted: u32,
        now: Millis,
    ) -> Result<u32, Millis> {
        let per_ms = (limit.per_s() * USED_PART).max(LEAST_PER_S) * part / 1_000.0;
        let most = (per_ms * SAVED_MS).max(SAVED);
        let passed = (now - self.filled).0 as f64;
        self.level = (self.level + passed * per_ms).min(most);
        self.filled = self.filled.max(now);
        let is_free = self.given % FOR_ALL == FOR_ALL - 1;
        let kept = if is_free { 0 } else { self.kept_for(band, now) };
        // The cast leaves out what is not whole, and what is below 0.
        let given = ((self.level - kept as f64) as u32).min(wanted);
        if given > 0 {
            self.level -= f64::from(given);
            self.given = self.given.wrapping_add(given);
            return Ok(given);
        }
        Err(self.turn(per_ms, band, now))
    }

    /// Permits that are kept for askers of more urgent bands, at most one for each band.
    fn kept_for(&self, band: usize, now: Millis) -> usize {
        let more_urgent = self.expected[..band].iter();
        more_urgent.filter(|until| now < **until).count()
    }

    /// When one that got nothing is to ask again: turns of a band lie apart, so that not all come for the same permit.
    fn turn(&mut self, per_ms: f64, band: usize, now: Millis) -> Millis {
        let missing = (1.0 - self.level).max(0.0) / per_ms;
        let first = self.filled + Millis(missing.ceil() as u64);
        let turn = first.max(self.next_turn[band]);
        self.next_turn[band] =
            turn.min(now + LONGEST_WAIT) + Millis((1.0 / per_ms / ASKERS) as u64);
        let turn = turn.clamp(now + SHORTEST_WAIT, now + LONGEST_WAIT);
        self.expected[band] = self.expected[band].max(turn + LATE);
        turn
    }
}
