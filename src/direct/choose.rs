//! The choice of an endpoint: the one with the least price, see [`crate::direct::price`], with the
//! prompt's kept parts from its own memory or moved there, see [`crate::direct::moves`].

use crate::clock::Millis;
use crate::direct::demand::{Candidate, CandidateState, Demand};
use crate::direct::directory::EndpointKey;
use crate::direct::health::Grade;
use crate::direct::lanes::StreamPartition;
use crate::direct::load::{EndpointWork, Footprint, BANDS};
use crate::direct::moves::{PrefixReuse, Sources};
use crate::direct::prefix::PrefixMap;
use crate::direct::price::{self, READ_TOKENS_PER_MS};
use crate::direct::room::PoolRoom;

/// Part of the memory that running requests and kept parts have together; a margin for what is not
/// known yet.
const KEPT_PART: f64 = 0.9;

/// The endpoint chosen and why.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub key: EndpointKey,
    /// Time until the first event, by estimate, in ms.
    pub expected_ms: f64,
    /// The same for an endpoint as fast as the estimate takes it, in ms; what the endpoint's record compares.
    pub nominal_ms: f64,
    /// What the request will add there.
    pub footprint: Footprint,
    /// Grade of the endpoint's record.
    pub grade: Grade,
    /// Where the prompt's tokens come from.
    pub reuse: PrefixReuse,
    /// Mean time that the candidates need to read the prompts that they have, in ms.
    pub backlog_ms: f64,
    /// Whether all slots of the endpoint are taken.
    pub is_full: bool,
    /// Whether it has a slot for the request, beside those that are left free for more urgent ones.
    pub has_room: bool,
    /// Part of the less urgent requests that come to the pool which may be sent; 1 or more where all may.
    pub admitted_fraction: f64,
    /// The most urgent band of which prompts are being read at the candidates, if any.
    pub most_urgent_unread_band: Option<usize>,
}

/// Rank of an endpoint, the least first: how it may be used, whether it has no room, its lot where lots are drawn, and its
/// price.
type Rank = (Grade, bool, f64, f64);

/// Chooses among `candidates`; `None` when there is none.
pub fn choose<'a>(
    demand: Demand<'a>,
    candidates: impl Iterator<Item = Candidate<'a>>,
    prefixes: &PrefixMap,
    now: Millis,
) -> Option<Choice> {
    let mut all: Vec<CandidateState<'a>> =
        candidates.map(|c| see(&demand, c, prefixes, now)).collect();
    keep_for_streams(&demand, &mut all);
    mark_home(&demand, &mut all);
    let backlog_ms = price::backlog_ms(&all);
    let most_urgent_unread_band =
        (0..BANDS).find(|band| all.iter().any(|state| state.total.unread[*band] > 0));
    let room = demand.room.pool_room(&all, now);
    let mut best: Option<(Rank, Choice)> = None;
    let sources = Sources::find(&demand, &all, now);
    for state in &all {
        let cached = PrefixReuse::cached(state.cached_tokens);
        let moved = sources.reuse(state);
        let has_room = has_room(&demand, state, &room, now);
        let lot = match has_room && room.is_contended() && demand.engine.is_some() {
            true => room.lot(state, demand.lot_draw(state.candidate.endpoint.digest)),
            false => 0.0,
        };
        for reuse in std::iter::once(cached).chain(moved) {
            let choice = Choice {
                has_room,
                ..estimate(&demand, state, reuse, now)
            };
            let price = price::price_ms(&demand, state, &reuse, now);
            let grade = usable_grade(choice.grade, &state.candidate, now);
            let rank = (grade, !has_room, lot, price);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, choice));
            }
        }
    }
    best.map(|(_, choice)| Choice {
        backlog_ms,
        admitted_fraction: room.admitted_fraction,
        most_urgent_unread_band,
        ..choice
    })
}

/// What is known of an endpoint for one request.
fn see<'a>(
    demand: &Demand<'_>,
    candidate: Candidate<'a>,
    prefixes: &PrefixMap,
    now: Millis,
) -> CandidateState<'a> {
    let total = candidate.load.total(now);
    let kept_since = kept_since(demand, total, now);
    let cached = prefixes.cached(candidate.key, demand.parts, kept_since, now);
    CandidateState {
        cached_tokens: cached.sent,
        transferable_tokens: cached.prefilled,
        candidate,
        total,
        is_reserved: false,
        uncached_home_tokens: None,
    }
}

/// Marks the home of the prompt's deepest shared part: of the endpoints that are well, the one with
/// the greatest weight. What nobody is known to keep is read there, by whichever entry it is sent.
fn mark_home(demand: &Demand<'_>, all: &mut [CandidateState<'_>]) {
    if demand.engine.is_none() || demand.shared_tokens() == 0 {
        return;
    }
    let most_known = all.iter().map(|state| state.cached_tokens).max();
    let weight =
        |state: &&mut CandidateState<'_>| demand.home_weight(state.candidate.endpoint.digest);
    let well = all
        .iter_mut()
        .filter(|state| !state.candidate.record.is_ejected());
    if let Some(home) = well.max_by_key(weight) {
        let known = most_known.unwrap_or_default();
        home.uncached_home_tokens = Some(demand.shared_tokens().saturating_sub(known));
    }
}

/// Marks the endpoints that are kept for delicate streams; none where no stream is.
fn keep_for_streams(demand: &Demand<'_>, all: &mut [CandidateState<'_>]) {
    if demand.pause == Millis(0) {
        return;
    }
    let lanes = StreamPartition::compute(all, READ_TOKENS_PER_MS);
    for state in all {
        state.is_reserved = lanes.is_reserved(state.candidate.key);
    }
}

/// A trial that is free counts as good, so that it happens; others only when nothing is good.
fn usable_grade(grade: Grade, candidate: &Candidate<'_>, now: Millis) -> Grade {
    match grade {
        _ if candidate.load.is_full(now) => Grade::Poor,
        Grade::Trial if candidate.load.own(now).running == 0 => Grade::Good,
        other => other,
    }
}

/// The estimate for one endpoint, and what the request would add there.
fn estimate(
    demand: &Demand<'_>,
    state: &CandidateState<'_>,
    reuse: PrefixReuse,
    now: Millis,
) -> Choice {
    let candidate = &state.candidate;
    let prompt = demand.prompt_tokens();
    let unread = prompt - reuse.spared();
    let footprint = Footprint {
        band: demand.band,
        unread: u32::try_from(unread).unwrap_or(u32::MAX),
        held: u32::try_from(prompt + demand.output_tokens).unwrap_or(u32::MAX),
        pause_sensitivity: demand.pause_sensitivity,
    };
    Choice {
        key: candidate.key,
        expected_ms: price::expected_ms(demand, state, &reuse, now),
        nominal_ms: price::time_ms(demand, state, &reuse, now),
        footprint,
        grade: candidate.record.grade(now),
        reuse,
        backlog_ms: 0.0,
        has_room: true,
        admitted_fraction: 1.0,
        most_urgent_unread_band: None,
        is_full: candidate.load.occupancy(now) >= candidate.endpoint.listed.slots,
    }
}

/// Whether an endpoint has room for the request; plain services are chosen by their queues alone.
fn has_room(demand: &Demand<'_>, state: &CandidateState<'_>, room: &PoolRoom, now: Millis) -> bool {
    if demand.engine.is_none() {
        return true;
    }
    !state.candidate.load.is_full(now) && room.free_slots(state) > 0.0
}

/// The time since which an endpoint keeps unused parts: what runs leaves the rest of its memory to
/// them, and prompts that are read push the oldest out.
fn kept_since(demand: &Demand<'_>, total: EndpointWork, now: Millis) -> Millis {
    let free = demand.memory_tokens() as f64 * KEPT_PART - f64::from(total.held);
    let kept_ms = free.max(0.0) / total.prefill_tokens_per_ms().max(f64::EPSILON);
    now - Millis(kept_ms as u64)
}
