//! The choice of an endpoint: the least time until the first event, by estimate.
//!
//! The estimate adds the prompt tokens that go before, those of the request that the endpoint does
//! not keep, its batch, its distance and its record. Where nothing is known of a prompt's shared
//! parts, all entries prefer the same endpoint for them (rendezvous hashing), so that they meet
//! there without a word between entries.

use std::f64::consts::LN_2;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::clock::Millis;
use crate::direct::directory::{Endpoint, EndpointKey};
use crate::direct::health::{Grade, Record};
use crate::direct::lanes::Lanes;
use crate::direct::load::{Footprint, Load, Work, BANDS, PRESSURE_HALF_LIFE_MS, WHOLE};
use crate::direct::prefix::{Part, PrefixMap};

/// Prompt tokens that an engine reads in a millisecond. Only the ratio to the other terms matters:
/// the record corrects the rest per endpoint. From the users' sheets, rounded down.
const READ_TOKENS_PER_MS: f64 = 50.0;
/// Added to the time by each request of the batch, in ms; each makes every step a little longer.
const BATCH_MS: f64 = 0.8;
/// Base of the estimate, in ms: a step and the way there.
const BASE_MS: f64 = 8.0;
/// Price of another availability zone, in ms: bytes between zones are paid for.
const OTHER_ZONE_MS: f64 = 6.0;
/// Part of less urgent work that still delays a more urgent request: what has begun goes on.
const LESS_URGENT_PART: f64 = 0.35;
/// Weight of the time that reading a prompt takes from each delicate stream beside it.
const HARM: f64 = 0.25;
/// Part of the tightest pause that reading beside a delicate stream may fill without harm.
const PAUSE_PART: f64 = 0.35;
/// Weight of the reading time beyond that, for each delicate stream: it comes late then.
const HARM_BEYOND: f64 = 2.0;
/// Weight of the reading that a delicate stream must expect beside it.
const EXPOSURE: f64 = 0.4;
/// Price of a full batch, in ms; it grows with the square of the part in use.
const FULL_BATCH_MS: f64 = 400.0;
/// Part of the slots beyond which a request may have to wait for one.
const BATCH_FULL: f64 = 0.85;
/// Price of each request beyond that, in ms: a stream's length over the slots of its engine.
const OVERFULL_MS: f64 = 25.0;
/// Weight of shared tokens that are read again beyond the time that this takes: it is work done
/// twice, also for those who wait behind it.
const READ_AGAIN: f64 = 8.0;
/// Part of the shared tokens that the preferred endpoint is expected to keep unseen.
const EXPECTED_KEPT: f64 = 0.8;
/// Part of the memory that running requests and kept parts have together; a margin for what is not
/// known yet.
const KEPT_PART: f64 = 0.9;
/// Memory in use above which an engine may have to preempt.
const MEMORY_FULL: f64 = 0.88;
/// Price of overfull memory, in ms: some request is preempted and read anew, which costs more than
/// reading the shared parts of this one elsewhere.
const MEMORY_MS: f64 = 1_200.0;
/// Price of an endpoint that is kept for the other kind of load, in ms.
const OTHER_LANE_MS: f64 = 300.0;
/// Most of the random addition to a price, in ms, besides [`SPREAD_READ`].
const SPREAD_MS: f64 = 20.0;
/// Most of the random addition to a price by the time that reading takes.
const SPREAD_READ: f64 = 1.0;
/// Time for which others' choices stay unseen from which on the addition is whole, in ms.
const BLIND_MS: f64 = 300.0;
/// Price of each request that waits at the endpoint by its own word, in ms.
const WAITING_MS: f64 = 15.0;
/// Price of an endpoint that has just started, in ms.
const WARMING_MS: f64 = 60.0;

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
    let shared = shared_tokens(&demand);
    // An expectation only stands in for knowledge; beside it, the prompt would be read twice.
    let is_known = shared > 0 && all.iter().any(|seen| seen.known >= shared);
    let preferred = preferred(&demand, &all).filter(|_| !is_known);
    let mut best: Option<(Grade, f64, Choice)> = None;
    for seen in &all {
        let choice = estimate(&demand, seen, preferred, now);
        let price = choice.expected_ms + lane_ms(&demand, seen) + spread_ms(&demand, seen, &choice);
        let rank = (usable_grade(choice.grade, &seen.candidate, now), price);
        let better = best
            .as_ref()
            .is_none_or(|(grade, ms, _)| rank.0 < *grade || (rank.0 == *grade && rank.1 < *ms));
        if better {
            best = Some((rank.0, rank.1, choice));
        }
    }
    best.map(|(_, _, choice)| choice)
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

/// Price of an endpoint that is kept for the other kind of load, in ms.
fn lane_ms(demand: &Demand<'_>, seen: &Seen<'_>) -> f64 {
    if demand.pause == Millis(0) {
        return 0.0;
    }
    let own = f64::from(demand.delicate.min(WHOLE)) / f64::from(WHOLE);
    let unfit = if seen.is_kept { 1.0 - own } else { own };
    unfit * OTHER_LANE_MS
}

/// A random addition in ms that parts entries which choose at the same time and don't see each
/// other's choices yet.
fn spread_ms(demand: &Demand<'_>, seen: &Seen<'_>, choice: &Choice) -> f64 {
    let mut hasher = DefaultHasher::new();
    (demand.draw, seen.candidate.endpoint.digest).hash(&mut hasher);
    let part = hasher.finish() as f64 / u64::MAX as f64;
    let read = f64::from(choice.footprint.unread) / READ_TOKENS_PER_MS;
    let unseen = (demand.blind.0 as f64 / BLIND_MS).min(1.0);
    part * unseen * (SPREAD_MS + read * SPREAD_READ)
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
    let prompt: u64 = demand.parts.iter().map(|part| part.tokens).sum();
    let cached = seen.known.max(expected_kept(demand, candidate, preferred));
    let unread = prompt - cached;
    let again = shared_tokens(demand).saturating_sub(cached);
    let footprint = Footprint {
        band: demand.band,
        unread: u32::try_from(unread).unwrap_or(u32::MAX),
        held: u32::try_from(prompt + demand.output_tokens).unwrap_or(u32::MAX),
        delicate: demand.delicate,
    };
    let ms = work_ms(demand, seen, unread, now) * candidate.record.slowness(now)
        + distance_ms(demand, candidate)
        + again as f64 / READ_TOKENS_PER_MS * READ_AGAIN;
    Choice {
        key: candidate.key,
        expected_ms: ms,
        footprint,
        grade: candidate.record.grade(now),
        cached,
    }
}

/// The time since which an endpoint keeps unused parts: what runs leaves the rest of its memory to
/// them, and prompts that are read push the oldest out.
fn kept_since(demand: &Demand<'_>, total: Work, now: Millis) -> Millis {
    let free = demand.memory_tokens as f64 * KEPT_PART - f64::from(total.held);
    let read_per_ms = f64::from(total.pressure) * LN_2 / PRESSURE_HALF_LIFE_MS;
    let kept_ms = free.max(0.0) / read_per_ms.max(f64::EPSILON);
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
    (shared_tokens(demand) as f64 * EXPECTED_KEPT) as u64
}

/// Tokens of all parts but the last, which belongs to the request itself.
fn shared_tokens(demand: &Demand<'_>) -> u64 {
    let count = demand.parts.len().saturating_sub(1);
    demand.parts[..count].iter().map(|part| part.tokens).sum()
}

/// Time until the first event if the endpoint were as fast as estimated, in ms: reading what goes
/// before and the request itself, the batch, the memory, what waits, and the harm to streams.
fn work_ms(demand: &Demand<'_>, seen: &Seen<'_>, unread: u64, now: Millis) -> f64 {
    let (candidate, total) = (&seen.candidate, seen.total);
    let mut before = 0.0;
    for band in 0..BANDS {
        let part = if band <= demand.band {
            1.0
        } else {
            LESS_URGENT_PART
        };
        before += f64::from(total.unread[band]) * part;
    }
    let slots = f64::from(candidate.endpoint.listed.slots.max(1));
    let crowd = if demand.memory_tokens == 0 {
        f64::from(total.running) / slots * WAITING_MS
    } else {
        let used = f64::from(total.running) / slots;
        let over = (f64::from(total.running) - slots * BATCH_FULL).max(0.0);
        f64::from(total.running) * BATCH_MS + used * used * FULL_BATCH_MS + over * OVERFULL_MS
    };
    let memory = memory_ms(demand, total);
    let waiting = f64::from(candidate.load.waiting(now)) * WAITING_MS;
    let beside = beside_ms(demand, seen, unread);
    BASE_MS + (before + unread as f64) / READ_TOKENS_PER_MS + crowd + memory + waiting + beside
}

/// What reading beside streams costs: an engine reads prompts between the tokens of all others,
/// so a long one stretches their pauses. Long prompts and delicate streams therefore avoid each
/// other, which parts the engines between them as far as the load allows.
fn beside_ms(demand: &Demand<'_>, seen: &Seen<'_>, unread: u64) -> f64 {
    let total = seen.total;
    let own = f64::from(demand.delicate) / f64::from(WHOLE);
    let others = f64::from(total.delicate) / f64::from(WHOLE);
    let read = unread as f64 / READ_TOKENS_PER_MS;
    let queued = f64::from(total.all_unread()) / READ_TOKENS_PER_MS;
    let beyond = (queued + read - demand.pause.0 as f64 * PAUSE_PART).clamp(0.0, read);
    let harm = others * (read * (1.0 - own) * HARM + beyond * HARM_BEYOND);
    if seen.is_kept {
        // Long prompts leave it as streams come.
        return harm;
    }
    harm + f64::from(total.pressure) / READ_TOKENS_PER_MS * own * EXPOSURE
}

/// Price of overfull memory, in ms; none for plain services.
fn memory_ms(demand: &Demand<'_>, total: Work) -> f64 {
    if demand.memory_tokens == 0 {
        return 0.0;
    }
    let own: u64 = demand.parts.iter().map(|part| part.tokens).sum();
    let held = u64::from(total.held) + own + demand.output_tokens;
    let used = held as f64 / demand.memory_tokens as f64;
    if used > MEMORY_FULL {
        MEMORY_MS * used
    } else {
        0.0
    }
}

/// Price of another availability zone and of a fresh start, in ms.
fn distance_ms(demand: &Demand<'_>, candidate: &Candidate<'_>) -> f64 {
    let listed = &candidate.endpoint.listed;
    let zone = if listed.zone == demand.zone {
        0.0
    } else {
        OTHER_ZONE_MS
    };
    let warming = if listed.warming > Millis(0) {
        WARMING_MS
    } else {
        0.0
    };
    zone + warming
}
