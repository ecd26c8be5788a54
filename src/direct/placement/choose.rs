//! Choice of an endpoint for a request: the one with the lowest price, see
//! [`crate::direct::placement::price`]. The cached prefix of the prompt comes from that endpoint's own memory
//! or is transferred to it, see [`crate::direct::placement::moves`].

use crate::clock::Millis;
use crate::direct::directory::EndpointKey;
use crate::direct::known::health::Grade;
use crate::direct::known::load::{EndpointWork, Footprint, BANDS};
use crate::direct::placement::candidate::{Candidate, CandidateState};
use crate::direct::placement::demand::Demand;
use crate::direct::placement::lanes::{self, StreamPartition};
use crate::direct::placement::moves::{PrefixReuse, Sources};
use crate::direct::placement::pause_risk;
use crate::direct::placement::prefix::PrefixMap;
use crate::direct::placement::price;
use crate::direct::placement::room::{self, PoolRoom};
use crate::direct::placement::unseen;

/// Fraction of an engine's memory that running requests and cached segments are assumed to use
/// together; the rest is a margin for work that is not known here yet.
const CACHE_FRACTION: f64 = 0.9;

/// The chosen endpoint, with the estimates behind the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Estimated time until the first event, in ms.
    pub expected_ms: f64,
    /// The same estimate for an endpoint of nominal speed, in ms. The endpoint's health record
    /// compares observed times with it.
    pub nominal_ms: f64,
    /// Load that the request will add to the endpoint.
    pub footprint: Footprint,
    /// Health grade of the endpoint.
    pub grade: Grade,
    /// Tokens of the prompt that need no prefill at the endpoint, and where they come from.
    pub reuse: PrefixReuse,
    /// Mean time that the candidates need to prefill the prompts already assigned to them, in ms.
    pub backlog_ms: f64,
    /// Whether the endpoint is reserved for latency-sensitive streams.
    pub is_reserved: bool,
    /// Number of endpoints of an uneven mixed pool that are; 0 for other pools.
    pub reserved_endpoints: usize,
    /// Whether all slots of the endpoint are taken.
    pub is_full: bool,
    /// Whether the endpoint has a slot for the request, in addition to those reserved for more
    /// urgent ones.
    pub has_room: bool,
    /// Fraction of the less urgent requests arriving for the pool that may be sent; 1 or more if
    /// all may.
    pub admitted_fraction: f64,
    /// Most urgent band whose prompts are being prefilled at a candidate, if any.
    pub most_urgent_unread_band: Option<usize>,
}

/// Rank of an endpoint, lowest first: its health grade, whether it has no slot for the request, its
/// lottery key if endpoints are drawn at random (0 otherwise), and its price.
type Rank = (Grade, bool, f64, f64);

/// Chooses among `candidates`; returns `None` if there is none.
pub fn choose<'a>(
    mut demand: Demand<'a>,
    candidates: impl Iterator<Item = Candidate<'a>>,
    prefixes: &PrefixMap,
    now: Millis,
) -> Option<Choice> {
    let mut states: Vec<CandidateState<'a>> = candidates
        .map(|c| candidate_state(&demand, c, prefixes, now))
        .collect();
    demand.capacity = demand.capacity.filter(|_| lanes::is_uneven(&states));
    reserve_for_streams(&demand, &mut states);
    mark_home(&demand, &mut states);
    let backlog_ms = price::backlog_ms(&demand, &states);
    let most_urgent_unread_band =
        (0..BANDS).find(|band| states.iter().any(|state| state.total.unread[*band] > 0));
    let room = demand.room.pool_room(&demand, &states, now);
    unseen::assume_unseen(&demand, &mut states, &room);
    let mut best: Option<(Rank, Choice)> = None;
    let sources = Sources::find(&demand, &states, now);
    let reserved_endpoints = match demand.capacity {
        Some(_) => states.iter().filter(|state| state.is_reserved).count(),
        None => 0,
    };
    for state in &states {
        let cached = PrefixReuse::cached(state.cached_tokens);
        let moved = sources.reuse(state);
        let has_room = has_room(&demand, state, &room, now);
        let lottery_key = match has_room && room.is_contended() && demand.engine.is_some() {
            true => room.lottery_key(state, demand.lottery_draw(state.candidate.endpoint.digest)),
            false => 0.0,
        };
        for reuse in std::iter::once(cached).chain(moved) {
            let choice = Choice {
                has_room,
                ..estimate(&demand, state, reuse, now)
            };
            let price = price::price_ms(&demand, state, &reuse, now);
            let grade = effective_grade(choice.grade, &state.candidate, now);
            let rank = (grade, !has_room, lottery_key, price);
            if best.as_ref().is_none_or(|(best_rank, _)| rank < *best_rank) {
                best = Some((rank, choice));
            }
        }
    }
    best.map(|(_, choice)| Choice {
        backlog_ms,
        reserved_endpoints,
        admitted_fraction: room.admitted_fraction,
        most_urgent_unread_band,
        ..choice
    })
}

/// Collects what is known of an endpoint for one request.
fn candidate_state<'a>(
    demand: &Demand<'_>,
    candidate: Candidate<'a>,
    prefixes: &PrefixMap,
    now: Millis,
) -> CandidateState<'a> {
    let total = candidate.load.total(now);
    let cached_since = cached_since(demand, total, now);
    let cached = prefixes.cached(candidate.key, demand.parts, cached_since, now);
    CandidateState {
        cached_tokens: cached.sent,
        transferable_tokens: cached.prefilled,
        candidate,
        total,
        is_reserved: false,
        may_be_reserved: false,
        unseen_tokens: 0.0,
        uncached_home_tokens: None,
    }
}

/// Marks the home of the prompt's deepest shared segment: the healthy endpoint with the highest
/// weight for it, among those that are never reserved for streams if the request avoids these.
/// Shared tokens that no endpoint is known to cache are prefilled there, whichever entry sends the
/// request.
fn mark_home(demand: &Demand<'_>, states: &mut [CandidateState<'_>]) {
    if demand.engine.is_none() || demand.shared_tokens() == 0 {
        return;
    }
    let max_cached = states.iter().map(|state| state.cached_tokens).max();
    let weight =
        |state: &&mut CandidateState<'_>| demand.home_weight(state.candidate.endpoint.digest);
    let avoids_reserved = room::avoids_reserved(demand, states);
    let healthy = states
        .iter_mut()
        .filter(|state| !state.candidate.record.is_ejected())
        .filter(|state| !avoids_reserved || !state.may_be_reserved);
    if let Some(home) = healthy.max_by_key(weight) {
        let most_cached = max_cached.unwrap_or_default();
        home.uncached_home_tokens = Some(demand.shared_tokens().saturating_sub(most_cached));
    }
}

/// Marks the endpoints that are reserved for latency-sensitive streams; none if the pool has no
/// streams.
fn reserve_for_streams(demand: &Demand<'_>, states: &mut [CandidateState<'_>]) {
    if demand.pause == Millis(0) {
        return;
    }
    let partition = match &demand.capacity {
        Some(capacity) => StreamPartition::by_capacity(states, capacity, demand.pause),
        None => StreamPartition::compute(states, price::PREFILL_TOKENS_PER_MS),
    };
    for state in states {
        state.is_reserved = partition.is_reserved(state.candidate.key);
        state.may_be_reserved = partition.may_be_reserved(state.candidate.key);
    }
}

/// Grade used for ranking: a full endpoint is `Poor`, and one that is due for a trial and has no
/// request of this entry is `Good`, so that the trial takes place.
fn effective_grade(grade: Grade, candidate: &Candidate<'_>, now: Millis) -> Grade {
    match grade {
        _ if candidate.load.is_full(now) => Grade::Poor,
        Grade::Trial if candidate.load.own(now).running == 0 => Grade::Good,
        other => other,
    }
}

/// Estimates for one endpoint, and the load that the request would add to it.
fn estimate(
    demand: &Demand<'_>,
    state: &CandidateState<'_>,
    reuse: PrefixReuse,
    now: Millis,
) -> Choice {
    let candidate = &state.candidate;
    let prompt = demand.prompt_tokens();
    let unread = prompt - reuse.reused_tokens();
    let footprint = Footprint {
        band: demand.band,
        unread: u32::try_from(unread).unwrap_or(u32::MAX),
        held: u32::try_from(prompt + demand.output_tokens).unwrap_or(u32::MAX),
        pause_sensitivity: pause_risk::counted_sensitivity(demand),
    };
    Choice {
        key: candidate.key,
        expected_ms: price::expected_ms(demand, state, &reuse, now),
        nominal_ms: price::nominal_time_ms(demand, state, &reuse, now),
        footprint,
        grade: candidate.record.grade(now),
        reuse,
        backlog_ms: 0.0,
        has_room: true,
        is_reserved: state.is_reserved,
        reserved_endpoints: 0,
        admitted_fraction: 1.0,
        most_urgent_unread_band: None,
        is_full: candidate.load.occupancy(now) >= candidate.endpoint.listed.slots,
    }
}

/// Whether an endpoint has a slot for the request; always true for plain services, which are chosen
/// by their queues alone.
fn has_room(demand: &Demand<'_>, state: &CandidateState<'_>, room: &PoolRoom, now: Millis) -> bool {
    if demand.engine.is_none() {
        return true;
    }
    room.may_use(state) && !state.candidate.load.is_full(now) && room.free_slots(state) > 0.0
}

/// Time of last use from which segments are still cached at an endpoint: running requests leave the
/// rest of its memory to the cache, and prefilled prompts evict the oldest segments.
fn cached_since(demand: &Demand<'_>, total: EndpointWork, now: Millis) -> Millis {
    let free = demand.memory_tokens() as f64 * CACHE_FRACTION - f64::from(total.held);
    let retention_ms = free.max(0.0) / total.prefill_tokens_per_ms().max(f64::EPSILON);
    now - Millis(retention_ms as u64)
}
