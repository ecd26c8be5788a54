//! What is known of an endpoint that may be chosen.

use crate::direct::directory::{Endpoint, EndpointKey};
use crate::direct::known::health::HealthRecord;
use crate::direct::known::load::{EndpointLoad, EndpointWork};

/// An endpoint that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its key in the directory.
    pub key: EndpointKey,
    /// Its record in the directory.
    pub endpoint: &'a Endpoint,
    /// Its load, as known to this entry.
    pub load: &'a EndpointLoad,
    /// Its health, as observed by this entry.
    pub record: &'a HealthRecord,
    /// Whether it is assumed to be warming up.
    pub is_warming: bool,
    /// Whether it has announced a rate limit.
    pub is_limited: bool,
    /// Time that work takes there, relative to the typical endpoint of its pool; 1 where that is
    /// not known. A larger value is slower.
    pub relative_time: f64,
}

/// A candidate with what is known of it for one request.
#[derive(Debug, Clone, Copy)]
pub struct CandidateState<'a> {
    /// The candidate.
    pub candidate: Candidate<'a>,
    /// Its outstanding work from all entries, as far as known here.
    pub total: EndpointWork,
    /// Tokens of the prompt's prefix that it is assumed to have cached, including those that it
    /// will have prefilled before it gets to this prompt.
    pub cached_tokens: u64,
    /// Those of them that it has already prefilled, so that another endpoint can fetch them from
    /// it.
    pub transferable_tokens: u64,
    /// Whether it is reserved for latency-sensitive streams.
    pub is_reserved: bool,
    /// Whether it may be reserved for them under another load.
    pub may_be_reserved: bool,
    /// Prompt tokens that other entries are assumed to have sent there and that are not visible here
    /// yet; 0 where the capacity of the pool is not learned.
    pub unseen_tokens: f64,
    /// If this endpoint is their home, the number of shared tokens of the prompt that no endpoint
    /// is known to have cached; `None` otherwise.
    pub uncached_home_tokens: Option<u64>,
}
