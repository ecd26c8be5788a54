//! The choice of an endpoint: the least time until the first event, by estimate.
//!
//! What the estimate adds up is in [`crate::direct::price`]. Where nothing is known of a prompt's
//! shared parts, all entries prefer the same endpoint for them (rendezvous hashing), so that they
//! meet there without a word between entries.

use crate::clock::Millis;
use crate::direct::directory::{Endpoint, EndpointKey};
use crate::direct::health::{Grade, Record};
use crate::direct::lanes::Lanes;
use crate::direct::load::{Footprint, Load, Work, WHOLE};
use crate::direct::prefix::{Part, PrefixMap};
use crate::direct::price::{self, READ_TOKENS_PER_MS};

/// Part of the shared tokens that the preferred endpoint is expected to keep unseen.
const EXPECTED_KEPT: f64 = 0.8;
/// Part of the memory that running requests and kept parts have together; a margin for what is not
/// known yet.
const KEPT_PART: f64 = 0.9;

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// Band of urgency.
    pub band: usize,
    /// Parts of the prompt; empty for plain services.
    pub parts: &'a [Part],
    /// Tokens that the answer may have.
    pub output_tokens: u64,
    /// Availability zone of this entry.
    pub zone: &'a str,
    /// Tokens of memory of an engine of the pool; 0 for plain services.
    pub memory_tokens: u64,
    /// How much the answer suffers when prompts are read beside it, in hundredths: 100 for the
    /// stream with the tightest pauses.
    pub delicate: u32,
    /// Tightest pause among the pool's streams; 0 where there are none.
    pub pause: Millis,
    /// How long other entries' choices stay unseen here; 0 where there are none.
    pub blind: Millis,
    /// A random number, so that entries that know the same don't all choose the same endpoint.
    pub draw: u64,
}

impl Demand<'_> {
    /// Tokens of all parts of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Tokens of all parts but the last, which belongs to the request itself.
    pub fn shared_tokens(&self) -> u64 {
        let count = self.parts.len().saturating_sub(1);
        self.parts[..count].iter().map(|part| part.tokens).sum()
    }
}

/// An endpoint with what is known of it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its key.
    pub key: EndpointKey,
    /// Its entry in the directory.
    pub endpoint: &'a Endpoint,
    /// Its load.
    pub load: &'a Load,
    /// Its record.
    pub record: &'a Record,
}

/// An endpoint with what is known of it for one request.
#[derive(Debug, Clone, Copy)]
pub struct Seen<'a> {
    /// The endpoint.
    pub candidate: Candidate<'a>,
    /// Its load from all entries, as far as known.
    pub total: Work,
    /// Tokens at the head of the prompt that it is known to keep.
    pub known: u64,
    /// Whether it is kept for delicate streams.
    pub is_kept: bool,
}

/// The endpoint chosen and why.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub key: EndpointKey,
    /// Time until the first event, by estimate, in ms.
    pub expected_ms: f64,
    /// What the request will add there.
    pub footprint: Footprint,
    /// Grade of the endpoint's record.
    pub grade: Grade,
    /// Tokens that the endpoint is taken to keep.
    pub cached: u64,
}

/// Chooses among `candidates`; `None` when there is none.
pub fn choose<'a>(
    demand: Demand<'a>,
    candidates: impl Iterator<Item = Candidate<'a>>,
    prefixes: &PrefixMap,
    now: Millis,
) -> Option<Choice> {
    let mut all: Vec<Seen<'a>> = candidates.map(|c| see(&demand, c, prefixes, now)).collect();
    keep_for_streams(&demand, &mut all);
    let shared = demand.shared_tokens();
    // An expectation only stands in for knowledge; beside it, the prompt would be read twice.
    let is_known = shared > 0 && all.iter().any(|seen| seen.known >= shared);
    let preferred = preferred(&demand, &all).filter(|_| !is_known);
    let mut best: Option<((Grade, f64), Choice)> = None;
    for seen in &all {
        let choice = estimate(&demand, seen, preferred, now);
        let price = choice.expected_ms
            + price::lane_ms(&demand, seen)
            + price::spread_ms(&demand, seen, choice.footprint.unread);
        let rank = (usable_grade(choice.grade, &seen.candidate, now), price);
        if best.as_ref().is_none_or(|(least, _)| rank < *least) {
            best = Some((rank, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// What is known of an endpoint for one request.
fn see<'a>(
    demand: &Demand<'_>,
    candidate: Candidate<'a>,
    prefixes: &PrefixMap,
    now: Millis,
) -> Seen<'a> {
    let total = candidate.load.total(now);
    let kept_since = kept_since(demand, total, now);
    Seen {
        known: prefixes.cached(candidate.key, demand.parts, kept_since),
        candidate,
        total,
        is_kept: false,
    }
}

/// Marks the endpoints that are kept for delicate streams; none where no stream is.
fn keep_for_streams(demand: &Demand<'_>, all: &mut [Seen<'_>]) {
    if demand.pause == Millis(0) {
        return;
    }
    let lanes = Lanes::part(all, READ_TOKENS_PER_MS);
    for seen in all {
        seen.is_kept = lanes.is_delicate(seen.candidate.key);
    }
}

/// A trial that is free counts as good, so that it happens; others only when nothing is good.
fn usable_grade(grade: Grade, candidate: &Candidate<'_>, now: Millis) -> Grade {
    match grade {
        Grade::Trial if candidate.load.own(now).running == 0 => Grade::Good,
        other => other,
    }
}

/// The endpoint at which all entries expect the shared parts of this prompt.
fn preferred(demand: &Demand<'_>, all: &[Seen<'_>]) -> Option<EndpointKey> {
    let shared = demand.parts.len().checked_sub(2)?;
    let part = demand.parts[shared].id;
    let weight = |seen: &&Seen<'_>| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&part.to_be_bytes());
        hasher.update(seen.candidate.endpoint.listed.id.as_bytes());
        let hash = hasher.finalize();
        let mut head = [0; 8];
        head.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_be_bytes(head)
    };
    let is_delicate = demand.delicate * 2 >= WHOLE;
    let good = all.iter().filter(|seen| !seen.candidate.record.is_aside());
    let own_lane = good.filter(|seen| seen.is_kept == is_delicate);
    own_lane.max_by_key(weight).map(|seen| seen.candidate.key)
}

/// The estimate for one endpoint, and what the request would add there.
fn estimate(
    demand: &Demand<'_>,
    seen: &Seen<'_>,
    preferred: Option<EndpointKey>,
    now: Millis,
) -> Choice {
    let candidate = &seen.candidate;
    let prompt = demand.prompt_tokens();
    let cached = seen.known.max(expected_kept(demand, candidate, preferred));
    let unread = prompt - cached;
    let footprint = Footprint {
        band: demand.band,
        unread: u32::try_from(unread).unwrap_or(u32::MAX),
        held: u32::try_from(prompt + demand.output_tokens).unwrap_or(u32::MAX),
        delicate: demand.delicate,
    };
    Choice {
        key: candidate.key,
        expected_ms: price::expected_ms(demand, seen, cached, now),
        footprint,
        grade: candidate.record.grade(now),
        cached,
    }
}

/// The time since which an endpoint keeps unused parts: what runs leaves the rest of its memory to
/// them, and prompts that are read push the oldest out.
fn kept_since(demand: &Demand<'_>, total: Work, now: Millis) -> Millis {
    let free = demand.memory_tokens as f64 * KEPT_PART - f64::from(total.held);
    let kept_ms = free.max(0.0) / total.read_per_ms().max(f64::EPSILON);
    now - Millis(kept_ms as u64)
}

/// Tokens that an endpoint is expected to keep unseen: only the preferred one keeps any.
fn expected_kept(
    demand: &Demand<'_>,
    candidate: &Candidate<'_>,
    preferred: Option<EndpointKey>,
) -> u64 {
    if preferred != Some(candidate.key) {
        return 0;
    }
    (demand.shared_tokens() as f64 * EXPECTED_KEPT) as u64
}
