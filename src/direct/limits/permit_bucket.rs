//! A token bucket from which the coordinator of a limited endpoint issues permits. It also
//! schedules when entries that got no permit are to ask again.

use crate::clock::Millis;
use crate::direct::known::load::BANDS;
use crate::rate::Rate;

/// Fraction of the limit that one coordinator issues. Two coordinators that do not know of each
/// other, in two parts of a split fleet or during a handover, together stay below 1.5 times the
/// limit.
const ISSUED_FRACTION: f64 = 0.7;
/// Lowest rate in permits per second, however low the limit is: some requests must get through so
/// that the fleet learns when the limit ends.
const MIN_RATE_PER_S: f64 = 0.2;
/// Permits that may accumulate while nobody asks.
const MIN_BURST: f64 = 2.0;
/// Time span, in ms, whose permits may accumulate if that is more than [`MIN_BURST`].
const BURST_MS: f64 = 100.0;
/// Askers that are scheduled per permit: some of them do not come back.
const ASKERS_PER_PERMIT: f64 = 3.0;
/// Longest delay before an asker is to try again. With a longer one, entries that have requests
/// waiting would not learn of free permits.
const MAX_RETRY_DELAY: Millis = Millis(10_000);
/// Shortest such delay. At high limits several permits accumulate meanwhile and are issued
/// together.
const MIN_RETRY_DELAY: Millis = Millis(60);
/// How long after its retry time a more urgent asker may still arrive before its permit goes to
/// less urgent ones.
const RESERVATION_GRACE: Millis = Millis(100);
/// One of this many permits is issued whatever the urgency, so that no band starves.
const UNRESERVED_INTERVAL: u32 = 8;

/// Token bucket of the permits that one entry issues for one endpoint. A permit allows one request.
#[derive(Debug, Clone, Copy)]
pub struct PermitBucket {
    /// Permits available at `refilled_at`; may be fractional.
    available: f64,
    /// Time up to which the refill has been added.
    refilled_at: Millis,
    /// Earliest retry time for the next asker that gets no permit, by urgency band.
    next_retry_at: [Millis; BANDS],
    /// Until when one permit is held back for an asker of each band that was told to come back.
    reserved_until: [Millis; BANDS],
    /// Permits issued so far, for [`UNRESERVED_INTERVAL`]; wraps around.
    issued: u32,
}

impl PermitBucket {
    /// An empty bucket that starts to fill at `start`.
    pub fn empty_until(start: Millis) -> Self {
        Self {
            available: 0.0,
            refilled_at: start,
            next_retry_at: [Millis(0); BANDS],
            reserved_until: [Millis(0); BANDS],
            issued: 0,
        }
    }

    /// A bucket that holds one permit and fills from now on.
    pub fn with_one_permit(now: Millis) -> Self {
        Self {
            available: 1.0,
            ..Self::empty_until(now)
        }
    }

    /// Takes up to `wanted` permits for requests of an urgency band (0 is the most urgent) and
    /// returns how many were taken, at least one. `limit` is the endpoint's limit for the whole
    /// fleet, and `share`, from 0 to 1, is the part of it that this bucket issues.
    ///
    /// # Errors
    ///
    /// The time at which to ask again if no permit is available.
    pub fn take(
        &mut self,
        limit: Rate,
        share: f64,
        band: usize,
        wanted: u32,
        now: Millis,
    ) -> Result<u32, Millis> {
        let per_ms = (limit.per_s() * ISSUED_FRACTION).max(MIN_RATE_PER_S) * share / 1_000.0;
        let capacity = (per_ms * BURST_MS).max(MIN_BURST);
        let elapsed_ms = (now - self.refilled_at).0 as f64;
        self.available = (self.available + elapsed_ms * per_ms).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
        let is_unreserved = self.issued % UNRESERVED_INTERVAL == UNRESERVED_INTERVAL - 1;
        let reserved = if is_unreserved {
            0
        } else {
            self.reserved_for_more_urgent(band, now)
        };
        // The cast rounds down and turns negative values into 0.
        let granted = ((self.available - reserved as f64) as u32).min(wanted);
        if granted > 0 {
            self.available -= f64::from(granted);
            self.issued = self.issued.wrapping_add(granted);
            return Ok(granted);
        }
        Err(self.schedule_retry(per_ms, band, now))
    }

    /// Counts the permits held back for askers of more urgent bands, at most one per band.
    fn reserved_for_more_urgent(&self, band: usize, now: Millis) -> usize {
        let more_urgent = self.reserved_until[..band].iter();
        more_urgent.filter(|until| now < **until).count()
    }

    /// Returns when an asker that got no permit is to ask again. The retry times of one band are
    /// spread out so that not all of its askers come for the same permit.
    fn schedule_retry(&mut self, per_ms: f64, band: usize, now: Millis) -> Millis {
        let ms_until_permit = (1.0 - self.available).max(0.0) / per_ms;
        let available_at = self.refilled_at + Millis(ms_until_permit.ceil() as u64);
        let retry_at = available_at.max(self.next_retry_at[band]);
        self.next_retry_at[band] =
            retry_at.min(now + MAX_RETRY_DELAY) + Millis((1.0 / per_ms / ASKERS_PER_PERMIT) as u64);
        let retry_at = retry_at.clamp(now + MIN_RETRY_DELAY, now + MAX_RETRY_DELAY);
        self.reserved_until[band] = self.reserved_until[band].max(retry_at + RESERVATION_GRACE);
        retry_at
    }
}
