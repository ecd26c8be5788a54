//! Terms of the price of an endpoint for a request, in ms: the time that it adds until the first
//! event, and what the request costs the other requests there.

use crate::clock::Millis;
use crate::direct::known::load::{stream_equivalents, EndpointWork, BANDS, FULL_STREAM};
use crate::direct::placement::candidate::{Candidate, CandidateState};
use crate::direct::placement::demand::Demand;
use crate::direct::placement::moves::PrefixReuse;
use crate::direct::placement::pause_risk;

/// Prompt tokens that an engine prefills per millisecond, where its capacity is not learned. Only
/// the ratio to the other terms matters: the endpoint's health record corrects the rest.
pub const PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// Time added by each request of the batch, in ms: each makes every step slightly longer.
const BATCHED_REQUEST_MS: f64 = 0.8;
/// Constant part of the estimate, in ms: one step and the network path to the endpoint.
const BASE_MS: f64 = 8.0;
/// Price of another availability zone, in ms: traffic between zones is charged.
const OTHER_ZONE_MS: f64 = 6.0;
/// Fraction of less urgent work that still delays a more urgent request, since work that has
/// started continues.
const LESS_URGENT_FRACTION: f64 = 0.35;
/// Weight of the time beyond the target, in addition to that time itself. A request that is in time
/// next to streams is preferred to one that is late apart from them, and no request waits past its
/// target for an endpoint that has its prefix cached.
pub const LATE_WEIGHT: f64 = 6.0;
/// Weight of the prefill time, for each latency-sensitive stream at the same engine. Without it and
/// [`EXCESS_PREFILL_WEIGHT`], prompts are prefilled next to streams and make them late.
const PREFILL_WEIGHT: f64 = 1.0;
/// Fraction of the shortest allowed pause that prefill may fill without delaying a stream.
const PAUSE_FRACTION: f64 = 0.35;
/// Weight of the prefill time beyond that, for each latency-sensitive stream, which is then late.
const EXCESS_PREFILL_WEIGHT: f64 = 4.0;
/// Weight of the prefill that a latency-sensitive stream must expect at the same engine, if other
/// entries' choices are visible. This term gathers streams on few engines, so it falls with the
/// square of [`visibility_factor`]: otherwise a hundred entries would fill some engines while most
/// are idle.
const EXPOSURE_WEIGHT: f64 = 0.4;
/// Price of a full batch if other entries' choices are visible, in ms; the price of a partly filled
/// one is proportional to the square of the fraction in use. With a larger value, streams leave
/// engines that have capacity for ones that are prefilling. It grows with the square of
/// [`visibility_factor`], because entries that don't see each other's choices overfill an engine
/// together.
const FULL_BATCH_MS: f64 = 200.0;
/// Visibility delay of other entries' choices up to which streams may be gathered, in ms: that of a
/// fleet of thirty entries.
const VISIBLE_DELAY_MS: f64 = 225.0;
/// Fraction of the slots in use beyond which a request may have to wait for one.
const FULL_BATCH_FRACTION: f64 = 0.85;
/// Price of each request beyond that, in ms: the duration of a stream divided by the slots of its
/// engine.
const OVERFULL_BATCH_MS: f64 = 25.0;
/// Weight of shared tokens that are prefilled again by a request that is not latency-sensitive, in
/// addition to the time that this takes: the work is repeated, requests queued behind it wait for
/// it too, and the segment is then cached in two places.
const REPEATED_PREFILL_WEIGHT: f64 = 60.0;
/// The same at the home of the tokens, where they are meant to be cached.
const REPEATED_PREFILL_WEIGHT_HOME: f64 = 8.0;
/// The same for a latency-sensitive stream, whose prompt is short and for which the choice of the
/// engine matters more.
const REPEATED_PREFILL_WEIGHT_SENSITIVE: f64 = 8.0;
/// Price of transferring a token, in ms. Links and memory are shared, so a prompt stays where its
/// prefix is cached unless that endpoint is busy. With a lower value, more is transferred and also
/// more is prefilled again, since the copies evict other segments.
const TRANSFERRED_TOKEN_MS: f64 = 0.06;
/// Fraction of memory in use above which an engine may have to preempt requests.
const FULL_MEMORY_FRACTION: f64 = 0.88;
/// Price of overfull memory, in ms: a request is preempted and prefilled again, which costs more
/// than prefilling the shared segments of this one elsewhere.
const FULL_MEMORY_MS: f64 = 8_000.0;
/// Price of an endpoint that is reserved for the other kind of load, in ms: not prohibitive, so
/// that a burst of one kind can use the other's endpoints.
const OTHER_PARTITION_MS: f64 = 100.0;
/// Upper bound of the random term of a price, in ms, in addition to [`RANDOM_PREFILL_WEIGHT`]. The
/// random term spreads the choices of entries that have the same knowledge.
const RANDOM_MS: f64 = 20.0;
/// Upper bound of the random term relative to the prefill time.
const RANDOM_PREFILL_WEIGHT: f64 = 1.0;
/// Visibility delay of other entries' choices from which the random term has its full size, in ms.
const FULL_RANDOM_DELAY_MS: f64 = 300.0;
/// Time for each request that is queued at the endpoint according to its own report, in ms.
const QUEUED_REQUEST_MS: f64 = 15.0;
/// Time that a plain service takes for one request, in ms. Only the shape of the estimate matters:
/// the endpoint's health record corrects the rest.
const PLAIN_REQUEST_MS: f64 = 20.0;
/// Time added at a plain service whose slots are all in use, in ms and in proportion to the slots
/// in use, so that requests spread over endpoints.
const USED_SLOTS_MS: f64 = 5.0;
/// Price of an endpoint that is warming up, in ms.
const WARMING_MS: f64 = 60.0;

/// Estimated time until the first event at this endpoint, in ms: [`nominal_time_ms`] corrected by
/// its observed slowness and the momentary slowdown that it reports.
pub fn expected_ms(
    demand: &Demand<'_>,
    state: &CandidateState<'_>,
    reuse: &PrefixReuse,
    now: Millis,
) -> f64 {
    let slowness = state.candidate.record.slowness(now);
    let slowdown = state.candidate.load.slowdown(now);
    nominal_time_ms(demand, state, reuse, now) * slowness * slowdown
}

/// Price of an endpoint, in ms: the weighted time until the first event, and what the request costs
/// others.
pub fn price_ms(
    demand: &Demand<'_>,
    state: &CandidateState<'_>,
    reuse: &PrefixReuse,
    now: Millis,
) -> f64 {
    let unread = demand.prompt_tokens() - reuse.reused_tokens();
    let unseen_ms =
        demand.prefill_ms(state.unseen_tokens) * relative_time(demand, &state.candidate);
    latency_price_ms(demand, expected_ms(demand, state, reuse, now) + unseen_ms)
        + batch_price_ms(demand, state)
        + memory_price_ms(demand, state.total)
        + streams_price_ms(demand, state, unread, now)
        + zone_and_warm_up_price_ms(demand, &state.candidate)
        + repeated_prefill_price_ms(demand, state, reuse)
        + reuse.moved as f64 * TRANSFERRED_TOKEN_MS
        + random_price_ms(demand, state, unread)
}

/// Price of prefill and streams at the same endpoint: by the risk of a pause where the capacity of
/// the pool's engines is known, otherwise by the prefill alone.
fn streams_price_ms(
    demand: &Demand<'_>,
    state: &CandidateState<'_>,
    unread: u64,
    now: Millis,
) -> f64 {
    match &demand.capacity {
        Some(capacity) => {
            pause_risk::own_cost_ms(demand, state, capacity, now)
                + pause_risk::caused_cost_ms(demand, state, capacity, unread, now)
        }
        None => interference_price_ms(demand, state, unread) + partition_price_ms(demand, state),
    }
}

/// Price of prefilling shared tokens that are cached at another endpoint, or that no endpoint has
/// cached and that belong at another home. Without it, entries that don't hear of each other's
/// placements would have the tokens prefilled at every endpoint. At their home the price is lower:
/// an additional copy is useful there, because all entries will find it.
fn repeated_prefill_price_ms(
    demand: &Demand<'_>,
    state: &CandidateState<'_>,
    reuse: &PrefixReuse,
) -> f64 {
    let uncached_home_tokens = state.uncached_home_tokens.unwrap_or_default();
    let reused = reuse.reused_tokens() + uncached_home_tokens;
    let repeated = demand.shared_tokens().saturating_sub(reused);
    let own = stream_equivalents(demand.pause_sensitivity.min(FULL_STREAM));
    let insensitive_weight = match state.uncached_home_tokens {
        Some(_) => REPEATED_PREFILL_WEIGHT_HOME,
        None => REPEATED_PREFILL_WEIGHT,
    };
    demand.prefill_ms(repeated as f64)
        * (insensitive_weight * (1.0 - own) + REPEATED_PREFILL_WEIGHT_SENSITIVE * own)
}

/// Ratio of the visibility delay of other entries' choices to [`VISIBLE_DELAY_MS`], at least 1.
fn visibility_factor(demand: &Demand<'_>) -> f64 {
    (demand.visibility_delay.0 as f64 / VISIBLE_DELAY_MS).max(1.0)
}

/// Price of the request's own latency. Far below its target a delay costs its caller little, and
/// the cost rises toward the target; this leaves freedom to choose an endpoint where no streams are
/// delayed.
fn latency_price_ms(demand: &Demand<'_>, expected: f64) -> f64 {
    let target = demand.target.0 as f64;
    if expected < target {
        expected * expected / target
    } else {
        expected + (expected - target) * LATE_WEIGHT
    }
}

/// Price of an endpoint that is reserved for the other kind of load; 0 if the pool has no streams.
fn partition_price_ms(demand: &Demand<'_>, state: &CandidateState<'_>) -> f64 {
    if demand.pause == Millis(0) {
        return 0.0;
    }
    let own = stream_equivalents(demand.pause_sensitivity.min(FULL_STREAM));
    let mismatch = if state.is_reserved { 1.0 - own } else { own };
    mismatch * OTHER_PARTITION_MS
}

/// Random term that spreads the choices of entries which choose at the same time and don't see each
/// other's choices yet; `unread` is the number of tokens that the endpoint would have to prefill.
fn random_price_ms(demand: &Demand<'_>, state: &CandidateState<'_>, unread: u64) -> f64 {
    let draw = demand.draw_for(state.candidate.endpoint.digest);
    let fraction = draw as f64 / u64::MAX as f64;
    let prefill = demand.prefill_ms(unread as f64);
    let visibility_factor = (demand.visibility_delay.0 as f64 / FULL_RANDOM_DELAY_MS).min(1.0);
    fraction * visibility_factor * (RANDOM_MS + prefill * RANDOM_PREFILL_WEIGHT)
}

/// Time that work takes at an endpoint relative to the typical one, as far as it is known for the
/// pool.
fn relative_time(demand: &Demand<'_>, candidate: &Candidate<'_>) -> f64 {
    demand.capacity.map_or(1.0, |_| candidate.relative_time)
}

/// Mean time that endpoints need to prefill the prompts already assigned to them, in ms; 0 if there
/// are none.
pub fn backlog_ms(demand: &Demand<'_>, states: &[CandidateState<'_>]) -> f64 {
    let unread: f64 = states
        .iter()
        .map(|state| f64::from(state.total.total_unread()))
        .sum();
    // Endpoints of the typical speed that prefill as much as all together.
    let typical: f64 = states
        .iter()
        .map(|state| 1.0 / relative_time(demand, &state.candidate))
        .sum();
    demand.prefill_ms(unread) / typical.max(1.0)
}

/// Estimated time until the first event, in ms, at an endpoint of the speed that is known of it:
/// prefill of the prompts ahead and of the request itself, transfer, batch, and queued requests.
pub fn nominal_time_ms(
    demand: &Demand<'_>,
    state: &CandidateState<'_>,
    reuse: &PrefixReuse,
    now: Millis,
) -> f64 {
    let (candidate, total) = (&state.candidate, state.total);
    let unread = demand.prompt_tokens() - reuse.reused_tokens();
    if demand.engine.is_none() {
        return BASE_MS + plain_time_ms(state, now);
    }
    let prefill = demand.prefill_ms(tokens_before(demand, total) + unread as f64);
    let batch = f64::from(total.running) * BATCHED_REQUEST_MS;
    let waiting = f64::from(candidate.load.waiting(now)) * QUEUED_REQUEST_MS;
    let relative_time = relative_time(demand, candidate);
    BASE_MS + (prefill + batch) * relative_time + reuse.transfer_ms(demand) + waiting
}

/// Prompt tokens that are prefilled before the request's own; less urgent ones count in part.
fn tokens_before(demand: &Demand<'_>, total: EndpointWork) -> f64 {
    let mut before = 0.0;
    for band in 0..BANDS {
        let fraction = if band <= demand.band {
            1.0
        } else {
            LESS_URGENT_FRACTION
        };
        before += f64::from(total.unread[band]) * fraction;
    }
    before
}

/// Estimated time at a plain service: the wait for a free slot, the request itself, and a little
/// for each slot in use.
fn plain_time_ms(state: &CandidateState<'_>, now: Millis) -> f64 {
    let slots = f64::from(state.candidate.endpoint.listed.slots.max(1));
    let present = f64::from(state.candidate.load.occupancy(now));
    let queued = (present + 1.0 - slots).max(0.0);
    PLAIN_REQUEST_MS * (1.0 + queued / slots) + present / slots * USED_SLOTS_MS
}

/// Price of the batch that the request joins, rising as it fills; 0 for plain services.
fn batch_price_ms(demand: &Demand<'_>, state: &CandidateState<'_>) -> f64 {
    if demand.engine.is_none() {
        return 0.0;
    }
    let used_fraction = used_slot_fraction(state);
    let slots = f64::from(state.candidate.endpoint.listed.slots.max(1));
    let excess_slots = (used_fraction - FULL_BATCH_FRACTION).max(0.0) * slots;
    used_fraction * used_fraction * FULL_BATCH_MS * visibility_factor(demand).powi(2)
        + excess_slots * OVERFULL_BATCH_MS
}

/// Fraction of the slots in use; above 1 if requests are queued.
fn used_slot_fraction(state: &CandidateState<'_>) -> f64 {
    let slots = f64::from(state.candidate.endpoint.listed.slots.max(1));
    f64::from(state.total.running) / slots
}

/// Price of prefill at the same engine as streams. An engine prefills prompts between the tokens of
/// all its streams, so a long prompt stretches their pauses. Long prompts and latency-sensitive
/// streams therefore avoid each other, which separates them onto different engines as far as the
/// load allows.
fn interference_price_ms(demand: &Demand<'_>, state: &CandidateState<'_>, unread: u64) -> f64 {
    let total = state.total;
    let own = stream_equivalents(demand.pause_sensitivity);
    let others = stream_equivalents(total.pause_sensitivity);
    let prefill = demand.prefill_ms(unread as f64);
    let queued = demand.prefill_ms(f64::from(total.total_unread()));
    let beyond = (queued + prefill - demand.pause.0 as f64 * PAUSE_FRACTION).clamp(0.0, prefill);
    let interference =
        others * (prefill * (1.0 - own) * PREFILL_WEIGHT + beyond * EXCESS_PREFILL_WEIGHT);
    if state.is_reserved {
        // Long prompts stay away from a reserved endpoint as streams arrive, so its recent prefill
        // is not counted.
        return interference;
    }
    let exposure = EXPOSURE_WEIGHT / visibility_factor(demand).powi(2);
    interference + demand.prefill_ms(f64::from(total.pressure)) * own * exposure
}

/// Price of overfull memory; 0 for plain services.
fn memory_price_ms(demand: &Demand<'_>, total: EndpointWork) -> f64 {
    if demand.engine.is_none() {
        return 0.0;
    }
    let held = u64::from(total.held) + demand.prompt_tokens() + demand.output_tokens;
    let used_fraction = held as f64 / demand.memory_tokens().max(1) as f64;
    if used_fraction > FULL_MEMORY_FRACTION {
        FULL_MEMORY_MS * used_fraction
    } else {
        0.0
    }
}

/// Price of another availability zone and of an endpoint that is warming up.
fn zone_and_warm_up_price_ms(demand: &Demand<'_>, candidate: &Candidate<'_>) -> f64 {
    let listed = &candidate.endpoint.listed;
    let zone = if listed.zone == demand.zone {
        0.0
    } else {
        OTHER_ZONE_MS
    };
    let warming = if candidate.is_warming {
        WARMING_MS
    } else {
        0.0
    };
    zone + warming
}
