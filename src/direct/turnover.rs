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
pub struct Turnover {
    /// When requests of each band of urgency were last seen, here or at peers.
    seen: [Option<Millis>; BANDS],
    offered: VecDeque<Millis>,
    begun: VecDeque<Millis>,
    ended: VecDeque<Millis>,
    turned_away: VecDeque<Millis>,
}

impl Turnover {
    /// A request of a band comes.
    pub fn come(&mut self, band: usize, now: Millis) {
        self.see(band, now);
        if self.has_more_urgent(band, now) {
            note(&mut self.offered, now);
        }
    }

    /// Requests of a band are under way, here or at peers.
    pub fn see(&mut self, band: usize, now: Millis) {
        self.seen[band] = Some(now);
    }

    /// Whether requests more urgent than a band were seen lately.
    pub fn has_more_urgent(&self, band: usize, now: Millis) -> bool {
        let is_recent = |at: &Option<Millis>| at.is_some_and(|at| now < at + SEEN);
        self.seen[..band].iter().any(is_recent)
    }

    /// A request begins at an endpoint.
    pub fn begin(&mut self, now: Millis) {
        note(&mut self.begun, now);
    }

    /// A request at an endpoint ends.
    pub fn end(&mut self, now: Millis) {
        note(&mut self.ended, now);
    }

    /// An endpoint turned a request away for want of room.
    pub fn turn_away(&mut self, now: Millis) {
        note(&mut self.turned_away, now);
    }

    fn turned_away_part(&self, now: Millis) -> f64 {
        let since = now - REMEMBERED;
        let sent = count(&self.begun, since).max(LEAST_SENT);
        count(&self.turned_away, since) as f64 / sent as f64
    }

    /// What happened in the time for which others' choices stay unseen.
    pub fn within(&self, blind: Millis, now: Millis) -> Recent {
        let since = now - blind;
        Recent {
            offered: count(&self.offered, since),
            begun: count(&self.begun, since),
            ended: count(&self.ended, since),
            turned_away_part: self.turned_away_part(now),
        }
    }
}

/// Requests of one entry in a short time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Recent {
    /// Those that came and leave room for more urgent ones.
    pub offered: usize,
    /// Those that began at an endpoint.
    pub begun: usize,
    /// Those that ended there.
    pub ended: usize,
    /// Part of those sent within [`REMEMBERED`] that endpoints turned away for want of room.
    pub turned_away_part: f64,
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
