//! Requests of this entry that came, began and ended lately at one pool. What other entries did in the time for which
//! it stays unseen here is taken to be alike.

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::direct::load::BANDS;

/// Time for which they are remembered: others' choices stay unseen for less.
const REMEMBERED: Millis = Millis(2_000);

/// Time for which requests of a band count as seen: room is left for them between two of their bursts.
const SEEN: Millis = Millis(60_000);
/// Fewest requests of which a part is told, so that one of few is not taken for most.
const LEAST_SENT: usize = 10;

/// Requests of this entry that came, began and ended lately.
#[derive(Debug, Clone, Default)]
pub struct PoolActivity {
    /// When requests of each band of urgency were last seen, here or at peers.
    seen: [Option<Millis>; BANDS],
    /// Those that leave room for more urgent ones, by band.
    yielding_arrivals: [VecDeque<Millis>; BANDS],
    started: VecDeque<Millis>,
    ended: VecDeque<Millis>,
    turned_away: VecDeque<Millis>,
    /// All that came, by band.
    came: [VecDeque<Millis>; BANDS],
    /// Those of them that got nothing, by band.
    nothing: [VecDeque<Millis>; BANDS],
}

impl PoolActivity {
    /// A request of a band comes.
    pub fn record_arrival(&mut self, band: usize, now: Millis) {
        self.record_active_band(band, now);
        note(&mut self.came[band], now);
        if self.more_urgent_bands(band, now) > 0 {
            note(&mut self.yielding_arrivals[band], now);
        }
    }

    /// Whether less urgent requests than those of a band come in number, so that these are the ones to leave room: at least
    /// half as many within [`REMEMBERED`].
    pub fn has_less_urgent(&self, band: usize, now: Millis) -> bool {
        let since = now - REMEMBERED;
        let came = |of: &VecDeque<Millis>| count(of, since);
        let less_urgent: usize = self.came[band + 1..].iter().map(came).sum();
        less_urgent > 0 && less_urgent * 2 >= came(&self.came[band])
    }

    /// Requests of a band are under way, here or at peers.
    pub fn record_active_band(&mut self, band: usize, now: Millis) {
        self.seen[band] = Some(now);
    }

    /// Bands more urgent than one of which requests were seen lately.
    pub fn more_urgent_bands(&self, band: usize, now: Millis) -> usize {
        let is_recent = |at: &&Option<Millis>| at.is_some_and(|at| now < at + SEEN);
        self.seen[..band].iter().filter(is_recent).count()
    }

    /// A request begins at an endpoint.
    pub fn record_start(&mut self, now: Millis) {
        note(&mut self.started, now);
    }

    /// A request at an endpoint ends.
    pub fn record_end(&mut self, now: Millis) {
        note(&mut self.ended, now);
    }

    /// A request of a band gets nothing for want of room.
    pub fn record_refusal(&mut self, band: usize, now: Millis) {
        note(&mut self.nothing[band], now);
    }

    /// Largest part of the requests of a band more urgent than one that got nothing within [`REMEMBERED`].
    pub fn refused_fraction(&self, band: usize, now: Millis) -> f64 {
        let since = now - REMEMBERED;
        let part = |band: usize| {
            let came = count(&self.came[band], since).max(LEAST_SENT);
            count(&self.nothing[band], since) as f64 / came as f64
        };
        (0..band).map(part).fold(0.0, f64::max)
    }

    /// An endpoint turned a request away for want of room.
    pub fn record_rejection(&mut self, now: Millis) {
        note(&mut self.turned_away, now);
    }

    fn rejected_fraction(&self, now: Millis) -> f64 {
        let since = now - REMEMBERED;
        let sent = count(&self.started, since).max(LEAST_SENT);
        count(&self.turned_away, since) as f64 / sent as f64
    }

    /// What happened in the time for which others' choices stay unseen, for requests of a band.
    pub fn recent(&self, band: usize, visibility_delay: Millis, now: Millis) -> RecentActivity {
        let since = now - visibility_delay;
        let more_urgent_arrivals = self.yielding_arrivals[..band].iter();
        RecentActivity {
            more_urgent_arrivals: more_urgent_arrivals
                .map(|yielding_arrivals| count(yielding_arrivals, since))
                .sum(),
            yielding_arrivals: count(&self.yielding_arrivals[band], since),
            started: count(&self.started, since),
            ended: count(&self.ended, since),
            rejected_fraction: self.rejected_fraction(now),
            refused_fraction: self.refused_fraction(band, now),
        }
    }
}

/// Requests of one entry in a short time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RecentActivity {
    /// More urgent ones that came and leave room for others themselves.
    pub more_urgent_arrivals: usize,
    /// Those of the band that came and leave room for more urgent ones.
    pub yielding_arrivals: usize,
    /// Those that began at an endpoint.
    pub started: usize,
    /// Those that ended there.
    pub ended: usize,
    /// Part of those sent within [`REMEMBERED`] that endpoints turned away for want of room.
    pub rejected_fraction: f64,
    /// Largest part of the requests of a more urgent band that got nothing within [`REMEMBERED`].
    pub refused_fraction: f64,
}

fn note(times: &mut VecDeque<Millis>, now: Millis) {
    let is_old = |at: &&Millis| **at + REMEMBERED < now;
    let forgotten = times.iter().take_while(is_old).count();
    times.drain(..forgotten);
    times.push_back(now);
}

fn count(times: &VecDeque<Millis>, since: Millis) -> usize {
    times.len() - times.partition_point(|at| *at < since)
}
