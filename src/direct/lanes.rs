//! The parting of a pool's endpoints between delicate streams and long prompts.
//!
//! An engine reads prompts between the tokens of its streams, so a long prompt makes the streams
//! beside it late. Which endpoints are kept for delicate streams follows from the load of the whole
//! pool and an order of the endpoints that all entries compute alike; entries whose knowledge of the
//! load differs disagree on the last endpoints of that order only.

use std::collections::HashSet;

use crate::direct::demand::{Candidate, Seen};
use crate::direct::directory::EndpointKey;
use crate::direct::load;

/// Part of an endpoint's slots that delicate streams are meant to fill: a step takes twice as long
/// in a full batch as in a third of one.
const STREAMS_PART: f64 = 0.35;
/// Part of its time that an endpoint is meant to spend reading prompts.
const READING_PART: f64 = 0.5;

/// The endpoints of a pool that are kept for delicate streams; empty where nothing is to be parted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Lanes {
    delicate: HashSet<EndpointKey>,
}

impl Lanes {
    /// Parts the endpoints that are well in proportion to both kinds of load; `read_per_ms` is the
    /// number of prompt tokens that an endpoint reads in a millisecond.
    pub fn part(all: &[Seen<'_>], read_per_ms: f64) -> Self {
        let mut well: Vec<&Candidate<'_>> = all
            .iter()
            .map(|seen| &seen.candidate)
            .filter(|candidate| !candidate.record.is_aside())
            .collect();
        if well.len() < 2 {
            return Self::default();
        }
        well.sort_by_key(|candidate| candidate.endpoint.digest);
        let kept = share(all, read_per_ms) * well.len() as f64;
        let kept = (kept.round() as usize).clamp(1, well.len() - 1);
        Self {
            delicate: well[..kept].iter().map(|candidate| candidate.key).collect(),
        }
    }

    /// Whether an endpoint is kept for delicate streams.
    pub fn is_delicate(&self, key: EndpointKey) -> bool {
        self.delicate.contains(&key)
    }
}

/// The share of delicate streams in what the pool needs, 0 to 1.
fn share(all: &[Seen<'_>], read_per_ms: f64) -> f64 {
    let mut writing = 0.0;
    let mut reading = 0.0;
    for seen in all {
        let work = &seen.total;
        let slots = f64::from(seen.candidate.endpoint.listed.slots.max(1));
        writing += load::streams(work.delicate) / (slots * STREAMS_PART);
        reading += work.read_per_ms() / (read_per_ms * READING_PART);
    }
    if writing + reading > 0.0 {
        writing / (writing + reading)
    } else {
        0.0
    }
}
