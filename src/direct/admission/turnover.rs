//! Recent requests of this entry for one pool: arrivals, starts, ends, refusals and rejections.
//! Other entries are assumed to have done the same within the time for which their choices are not
//! visible here.

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::direct::known::load::BANDS;

/// Time for which events are remembered; other entries' choices become visible in less.
const WINDOW: Millis = Millis(2_000);

/// Time for which a band counts as active after its last request: slots stay reserved for it
/// between two of its bursts.
const ACTIVE_BAND_TIME: Millis = Millis(60_000);
/// Smallest number of requests that a fraction is computed from, so that one of a few does not
/// count as most of them.
const MIN_SAMPLE: usize = 10;

/// Recent requests of this entry for one pool.
#[derive(Debug, Clone, Default)]
pub struct PoolActivity {
    /// When requests of each urgency band were last seen, here or at peers.
    last_active: [Option<Millis>; BANDS],
    /// Arrivals while a more urgent band was active, by band: these leave slots free for it.
    yielding_arrivals: [VecDeque<Millis>; BANDS],
    started: VecDeque<Millis>,
    ended: VecDeque<Millis>,
    rejected: VecDeque<Millis>,
    /// All arrivals, by band.
    arrivals: [VecDeque<Millis>; BANDS],
    /// Arrivals that were refused for lack of capacity, by band.
    refused: [VecDeque<Millis>; BANDS],
}

impl PoolActivity {
    /// Records the arrival of a request of a band.
    pub fn record_arrival(&mut self, band: usize, now: Millis) {
        self.record_active_band(band, now);
        push_time(&mut self.arrivals[band], now);
        if self.more_urgent_bands(band, now) > 0 {
            push_time(&mut self.yielding_arrivals[band], now);
        }
    }

    /// Whether less urgent requests than those of `band` arrive in significant number, at least
    /// half as many within [`WINDOW`], so that they are the ones to leave slots free.
    pub fn has_less_urgent(&self, band: usize, now: Millis) -> bool {
        let since = now - WINDOW;
        let arrivals = |of: &VecDeque<Millis>| count_since(of, since);
        let less_urgent: usize = self.arrivals[band + 1..].iter().map(arrivals).sum();
        less_urgent > 0 && less_urgent * 2 >= arrivals(&self.arrivals[band])
    }

    /// Records that requests of a band are running or queued, here or at peers.
    pub fn record_active_band(&mut self, band: usize, now: Millis) {
        self.last_active[band] = Some(now);
    }

    /// Number of bands more urgent than `band` that were active lately.
    pub fn more_urgent_bands(&self, band: usize, now: Millis) -> usize {
        let is_recent = |at: &&Option<Millis>| at.is_some_and(|at| now < at + ACTIVE_BAND_TIME);
        self.last_active[..band].iter().filter(is_recent).count()
    }

    /// Records that a request was started at an endpoint.
    pub fn record_start(&mut self, now: Millis) {
        push_time(&mut self.started, now);
    }

    /// Records that a request at an endpoint ended.
    pub fn record_end(&mut self, now: Millis) {
        push_time(&mut self.ended, now);
    }

    /// Records that a request of a band was refused for lack of capacity.
    pub fn record_refusal(&mut self, band: usize, now: Millis) {
        push_time(&mut self.refused[band], now);
    }

    /// Largest fraction of the requests of any band more urgent than `band` that were refused
    /// within [`WINDOW`].
    pub fn refused_fraction(&self, band: usize, now: Millis) -> f64 {
        let since = now - WINDOW;
        let part = |band: usize| {
            let arrivals = count_since(&self.arrivals[band], since).max(MIN_SAMPLE);
            count_since(&self.refused[band], since) as f64 / arrivals as f64
        };
        (0..band).map(part).fold(0.0, f64::max)
    }

    /// Records that an endpoint rejected a request for lack of capacity.
    pub fn record_rejection(&mut self, now: Millis) {
        push_time(&mut self.rejected, now);
    }

    /// Fraction of the requests sent within [`WINDOW`] that endpoints rejected.
    fn rejected_fraction(&self, now: Millis) -> f64 {
        let since = now - WINDOW;
        let sent = count_since(&self.started, since).max(MIN_SAMPLE);
        count_since(&self.rejected, since) as f64 / sent as f64
    }

    /// Activity within the visibility delay of other entries' choices, for a request of `band`.
    pub fn recent(&self, band: usize, visibility_delay: Millis, now: Millis) -> RecentActivity {
        let since = now - visibility_delay;
        let more_urgent_arrivals = self.yielding_arrivals[..band].iter();
        RecentActivity {
            more_urgent_arrivals: more_urgent_arrivals
                .map(|yielding_arrivals| count_since(yielding_arrivals, since))
                .sum(),
            yielding_arrivals: count_since(&self.yielding_arrivals[band], since),
            arrivals_per_ms: count_since(&self.arrivals[band], now - WINDOW) as f64
                / WINDOW.0 as f64,
            started: count_since(&self.started, since),
            ended: count_since(&self.ended, since),
            rejected_fraction: self.rejected_fraction(now),
            refused_fraction: self.refused_fraction(band, now),
        }
    }
}

/// Activity of one entry within a short time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RecentActivity {
    /// Arrivals of more urgent bands that leave slots free for even more urgent ones.
    pub more_urgent_arrivals: usize,
    /// Arrivals of the band that leave slots free for more urgent ones.
    pub yielding_arrivals: usize,
    /// Arrivals of the band per millisecond, on average within [`WINDOW`].
    pub arrivals_per_ms: f64,
    /// Requests that were started at an endpoint.
    pub started: usize,
    /// Requests that ended there.
    pub ended: usize,
    /// Fraction of the requests sent within [`WINDOW`] that endpoints rejected for lack of
    /// capacity.
    pub rejected_fraction: f64,
    /// Largest fraction of the requests of any more urgent band that were refused within
    /// [`WINDOW`].
    pub refused_fraction: f64,
}

/// Appends `now` and drops times that are older than [`WINDOW`].
fn push_time(times: &mut VecDeque<Millis>, now: Millis) {
    let is_old = |at: &&Millis| **at + WINDOW < now;
    let forgotten = times.iter().take_while(is_old).count();
    times.drain(..forgotten);
    times.push_back(now);
}

/// Number of times since `since`, inclusive.
fn count_since(times: &VecDeque<Millis>, since: Millis) -> usize {
    times.len() - times.partition_point(|at| *at < since)
}
