//! The parting of a pool's endpoints between delicate streams and long prompts.
//!
//! An engine reads prompts between the tokens of its streams, so a long prompt makes the streams
//! beside it late. Which endpoints are kept for delicate streams follows from the load of the whole
//! pool and an order of the endpoints that all entries compute alike; entries whose knowledge of the
//! load differs disagree on the last endpoints of that order only.

use std::collections::HashSet;

use crate::direct::demand::{Candidate, CandidateState};
use crate::direct::directory::EndpointKey;
use crate::direct::load;

/// Part of an endpoint's slots that delicate streams are meant to fill: a step takes twice as long
/// in a full batch as in a third of one.
const STREAMS_PART: f64 = 0.35;
/// Part of its time that an endpoint is meant to spend reading prompts.
const READING_PART: f64 = 0.5;
/// Part of the endpoints up to which delicate streams are kept apart. Beyond it the long prompts, put
/// together on what is left, make more streams late than they would spread over all.
const MOST_WRITING: f64 = 0.12;
/// The same in a pool of [`MANY_ENDPOINTS`], whose long prompts find room on what is left.
const MOST_WRITING_OF_MANY: f64 = 0.3;
/// Endpoints up to which [`MOST_WRITING`] holds.
const FEW_ENDPOINTS: f64 = 55.0;
/// Endpoints from which on [`MOST_WRITING_OF_MANY`] holds.
const MANY_ENDPOINTS: f64 = 180.0;

/// The endpoints of a pool that are kept for delicate streams; empty where nothing is to be parted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamPartition {
    reserved: HashSet<EndpointKey>,
}

impl StreamPartition {
    /// Parts the endpoints that are well in proportion to both kinds of load; `prefill_tokens_per_ms` is the
    /// number of prompt tokens that an endpoint reads in a millisecond.
    pub fn compute(all: &[CandidateState<'_>], prefill_tokens_per_ms: f64) -> Self {
        let mut well: Vec<&Candidate<'_>> = all
            .iter()
            .map(|state| &state.candidate)
            .filter(|candidate| !candidate.record.is_ejected())
            .collect();
        if well.len() < 2 {
            return Self::default();
        }
        well.sort_by_key(|candidate| candidate.endpoint.digest);
        let needs = Needs::of(all, prefill_tokens_per_ms);
        if needs.writing > most_writing(well.len() as f64) {
            return Self::default();
        }
        let kept = needs.share() * well.len() as f64;
        let kept = (kept.round() as usize).clamp(1, well.len() - 1);
        Self {
            reserved: well[..kept].iter().map(|candidate| candidate.key).collect(),
        }
    }

    /// Whether an endpoint is kept for delicate streams.
    pub fn is_reserved(&self, key: EndpointKey) -> bool {
        self.reserved.contains(&key)
    }
}

/// What both kinds of load need, in endpoints.
#[derive(Debug, Clone, Copy, Default)]
struct Needs {
    writing: f64,
    reading: f64,
}

impl Needs {
    fn of(all: &[CandidateState<'_>], prefill_tokens_per_ms: f64) -> Self {
        let mut needs = Self::default();
        for state in all {
            let work = &state.total;
            let slots = f64::from(state.candidate.endpoint.listed.slots.max(1));
            needs.writing +=
                load::stream_equivalents(work.pause_sensitivity) / (slots * STREAMS_PART);
            needs.reading += work.prefill_tokens_per_ms() / (prefill_tokens_per_ms * READING_PART);
        }
        needs
    }

    /// The share of delicate streams, 0 to 1.
    fn share(&self) -> f64 {
        let both = self.writing + self.reading;
        if both > 0.0 {
            self.writing / both
        } else {
            0.0
        }
    }
}

/// Endpoints up to which delicate streams are kept apart, in a pool of so many.
fn most_writing(endpoints: f64) -> f64 {
    let many = ((endpoints - FEW_ENDPOINTS) / (MANY_ENDPOINTS - FEW_ENDPOINTS)).clamp(0.0, 1.0);
    endpoints * (MOST_WRITING + (MOST_WRITING_OF_MANY - MOST_WRITING) * many)
}
