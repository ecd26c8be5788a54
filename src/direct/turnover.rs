//! Requests of this entry that came, began and ended lately at one pool. What other entries did in the time for which
//! it stays unseen here is taken to be alike.

use std::collections::VecDeque;

use crate::clock::Millis;

/// Time for which they are remembered: others' choices stay unseen for less.
const REMEMBERED: Millis = Millis(2_000);

/// Requests of this entry that came, began and ended lately.
#[derive(Debug, Clone, Default)]
pub struct Turnover {
    offered: VecDeque<Millis>,
    begun: VecDeque<Millis>,
    ended: VecDeque<Millis>,
}

impl Turnover {
    /// A request comes that leaves room for more urgent ones.
    pub fn offer(&mut self, now: Millis) {
        note(&mut self.offered, now);
    }

    /// A request begins at an endpoint.
    pub fn begin(&mut self, now: Millis) {
        note(&mut self.begun, now);
    }

    /// A request at an endpoint ends.
    pub fn end(&mut self, now: Millis) {
        note(&mut self.ended, now);
    }

    /// What happened in the time for which others' choices stay unseen.
    pub fn within(&self, blind: Millis, now: Millis) -> Recent {
        let since = now - blind;
        Recent {
            offered: count(&self.offered, since),
            begun: count(&self.begun, since),
            ended: count(&self.ended, since),
        }
    }
}

/// Requests of one entry in a short time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Recent {
    /// Those that came and leave room for more urgent ones.
    pub offered: usize,
    /// Those that began at an endpoint.
    pub begun: usize,
    /// Those that ended there.
    pub ended: usize,
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
