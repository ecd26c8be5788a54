//! The terms of an endpoint's price for a request, in ms: what it adds to the time until the first
//! event, and what it costs the requests beside it.

use crate::clock::Millis;
use crate::direct::demand::{Candidate, CandidateState, Demand};
use crate::direct::load::{stream_equivalents, EndpointWork, BANDS, FULL_STREAM};
use crate::direct::moves::PrefixReuse;

/// Prompt tokens that an engine reads in a millisecond. Only the ratio to the other terms matters:
/// the record corrects the rest per endpoint.
pub const READ_TOKENS_PER_MS: f64 = 50.0;
/// Added to the time by each request of the batch, in ms; each makes every step a little longer.
const BATCH_MS: f64 = 0.8;
/// Base of the estimate, in ms: a step and the way there.
const BASE_MS: f64 = 8.0;
/// Price of another availability zone, in ms: bytes between zones are paid for.
const OTHER_ZONE_MS: f64 = 6.0;
/// Part of less urgent work that still delays a more urgent request: what has begun goes on.
const LESS_URGENT_PART: f64 = 0.35;
/// Weight of the time beyond the target, besides that time itself: a request in time beside streams goes
/// before one that is late apart from them, and no request waits past its target where its parts are kept.
const LATE: f64 = 6.0;
/// Weight of the time that reading a prompt takes from each delicate stream beside it. Without it and
/// [`HARM_BEYOND`], prompts are read beside streams and make them late.
const HARM: f64 = 1.0;
/// Part of the tightest pause that reading beside a delicate stream may fill without harm.
const PAUSE_PART: f64 = 0.35;
/// Weight of the reading time beyond that, for each delicate stream: it comes late then.
const HARM_BEYOND: f64 = 4.0;
/// Weight of the reading that a delicate stream must expect beside it, where others' choices are seen. It gathers
/// streams on few engines, so it falls with the square of [`unseen`]: a hundred entries would fill some engines while most
/// are idle.
const EXPOSURE: f64 = 0.4;
/// Price of a full batch where others' choices are seen, in ms; it grows with the square of the part in use. With
/// more, streams leave engines with room for ones that read. It grows with the square of [`unseen`]: entries that don't see
/// each other overfill an engine together.
const FULL_BATCH_MS: f64 = 200.0;
/// Time for which others' choices stay unseen up to which streams may be gathered, in ms: that of
/// thirty entries.
const SEEN_MS: f64 = 225.0;
/// Part of the slots beyond which a request may have to wait for one.
const BATCH_FULL: f64 = 0.85;
/// Price of each request beyond that, in ms: a stream's length over the slots of its engine.
const OVERFULL_MS: f64 = 25.0;
/// Weight of shared tokens that are read again by a coarse request, beyond the time that this takes: it is
/// work done twice, also for those who wait behind it, and the part is then kept at two places.
const READ_AGAIN: f64 = 60.0;
/// The same at the home of the tokens, where they are to be kept.
const READ_AGAIN_HOME: f64 = 8.0;
/// The same for a delicate stream, whose prompt is short and whose place matters more.
const READ_AGAIN_DELICATE: f64 = 8.0;
/// Price of moving a token, in ms: links and memory are shared, and a prompt stays where its parts are
/// unless that is busy. With less, more is moved and more read again, since copies drive other parts out of memory.
const MOVED_MS: f64 = 0.06;
/// Memory in use above which an engine may have to preempt.
const MEMORY_FULL: f64 = 0.88;
/// Price of overfull memory, in ms: some request is preempted and read anew, which costs more than
/// reading the shared parts of this one elsewhere.
const MEMORY_MS: f64 = 8_000.0;
/// Price of an endpoint that is kept for the other kind of load, in ms: no wall, so that a burst of
/// one kind spills over.
const OTHER_LANE_MS: f64 = 100.0;
/// Most of the random addition to a price, in ms, besides [`SPREAD_READ`]. It parts the choices of many
/// entries that know the same.
const SPREAD_MS: f64 = 20.0;
/// Most of the random addition to a price by the time that reading takes.
const SPREAD_READ: f64 = 1.0;
/// Time for which others' choices stay unseen from which on the addition is whole, in ms.
const BLIND_MS: f64 = 300.0;
/// Price of each request that waits at the endpoint by its own word, in ms.
const WAITING_MS: f64 = 15.0;
/// Work of a plain service for one request, in ms. Only the shape of the estimate matters: the record
/// corrects the rest per endpoint.
const PLAIN_MS: f64 = 20.0;
/// Added to the time of a plain service whose slots are all taken, in ms, so that requests spread.
const USED_SLOTS_MS: f64 = 5.0;
/// Price of an endpoint that warms up, in ms.
const WARMING_MS: f64 = 60.0;

/// Time until the first event, by estimate.
pub fn expected_ms(
    demand: &Demand<'_>,
    state: &CandidateState<'_>,
    reuse: &PrefixReuse,
    now: Millis,
) -> f64 {
    let slowness = state.candidate.record.slowness(now);
    time_ms(demand, state, reuse, now) * slowness
}

/// Price of an endpoint: the time until the first event, and what the request costs others.
pub fn price_ms(
    demand: &Demand<'_>,
    state: &CandidateState<'_>,
    reuse: &PrefixReuse,
    now: Millis,
) -> f64 {
    let unread = demand.prompt_tokens() - reuse.spared();
    own_ms(demand, expected_ms(demand, state, reuse, now))
        + full_ms(demand, state)
        + memory_ms(demand, state.total)
        + beside_ms(demand, state, unread)
        + distance_ms(demand, &state.candidate)
        + again_ms(demand, state, reuse)
        + reuse.moved as f64 * MOVED_MS
        + lane_ms(demand, state)
        + spread_ms(demand, state, unread)
}

/// Price of shared tokens that are read again: some other endpoint keeps them, or the home of those that
/// nobody is known to keep. Entries that don't hear of each other's placements would have them read
/// everywhere. At their home a copy more is worth its reading: all entries find it there.
fn again_ms(demand: &Demand<'_>, state: &CandidateState<'_>, reuse: &PrefixReuse) -> f64 {
    let uncached_home_tokens = state.uncached_home_tokens.unwrap_or_default();
    let spared = reuse.spared() + uncached_home_tokens;
    let again = demand.shared_tokens().saturating_sub(spared);
    let own = stream_equivalents(demand.pause_sensitivity.min(FULL_STREAM));
    let coarse = match state.uncached_home_tokens {
        Some(_) => READ_AGAIN_HOME,
        None => READ_AGAIN,
    };
    read_ms(again as f64) * (coarse * (1.0 - own) + READ_AGAIN_DELICATE * own)
}

/// How many times longer than with [`SEEN_MS`] others' choices stay unseen; 1 or more.
fn unseen(demand: &Demand<'_>) -> f64 {
    (demand.visibility_delay.0 as f64 / SEEN_MS).max(1.0)
}

/// Price of the request's own time: a delay that leaves it in time costs its caller little, and the
/// more the nearer its target comes. It leaves room to spare the streams beside it.
fn own_ms(demand: &Demand<'_>, expected: f64) -> f64 {
    let target = demand.target.0 as f64;
    if expected < target {
        expected * expected / target
    } else {
        expected + (expected - target) * LATE
    }
}

/// Price of an endpoint that is kept for the other kind of load.
fn lane_ms(demand: &Demand<'_>, state: &CandidateState<'_>) -> f64 {
    if demand.pause == Millis(0) {
        return 0.0;
    }
    let own = stream_equivalents(demand.pause_sensitivity.min(FULL_STREAM));
    let unfit = if state.is_reserved { 1.0 - own } else { own };
    unfit * OTHER_LANE_MS
}

/// A random addition that parts entries which choose at the same time and don't see each other's
/// choices yet; `unread` is what the endpoint would read.
fn spread_ms(demand: &Demand<'_>, state: &CandidateState<'_>, unread: u64) -> f64 {
    let draw = demand.draw_for(state.candidate.endpoint.digest);
    let part = draw as f64 / u64::MAX as f64;
    let read = read_ms(unread as f64);
    let unseen = (demand.visibility_delay.0 as f64 / BLIND_MS).min(1.0);
    part * unseen * (SPREAD_MS + read * SPREAD_READ)
}

/// Time that an engine takes to read prompt tokens.
fn read_ms(tokens: f64) -> f64 {
    tokens / READ_TOKENS_PER_MS
}

/// Mean time that endpoints need to read the prompts that they have, in ms.
pub fn backlog_ms(all: &[CandidateState<'_>]) -> f64 {
    let unread: f64 = all
        .iter()
        .map(|state| f64::from(state.total.total_unread()))
        .sum();
    read_ms(unread) / all.len().max(1) as f64
}

/// Time until the first event if the endpoint were as fast as estimated: reading what goes before
/// and the request itself, a move, the batch, and what waits.
pub fn time_ms(
    demand: &Demand<'_>,
    state: &CandidateState<'_>,
    reuse: &PrefixReuse,
    now: Millis,
) -> f64 {
    let (candidate, total) = (&state.candidate, state.total);
    let unread = demand.prompt_tokens() - reuse.spared();
    if demand.engine.is_none() {
        return BASE_MS + plain_ms(state, now);
    }
    let read = read_ms(tokens_before(demand, total) + unread as f64);
    let batch = f64::from(total.running) * BATCH_MS;
    let waiting = f64::from(candidate.load.waiting(now)) * WAITING_MS;
    BASE_MS + read + reuse.move_ms(demand) + batch + waiting
}

/// Prompt tokens that are read before the request's own; less urgent ones count in part.
fn tokens_before(demand: &Demand<'_>, total: EndpointWork) -> f64 {
    let mut before = 0.0;
    for band in 0..BANDS {
        let part = if band <= demand.band {
            1.0
        } else {
            LESS_URGENT_PART
        };
        before += f64::from(total.unread[band]) * part;
    }
    before
}

/// Time that a plain service takes: its work, once a slot is free, and a little for each that is taken.
fn plain_ms(state: &CandidateState<'_>, now: Millis) -> f64 {
    let slots = f64::from(state.candidate.endpoint.listed.slots.max(1));
    let present = f64::from(state.candidate.load.occupancy(now));
    let queued = (present + 1.0 - slots).max(0.0);
    PLAIN_MS * (1.0 + queued / slots) + present / slots * USED_SLOTS_MS
}

/// Price of a batch that fills; none at plain services.
fn full_ms(demand: &Demand<'_>, state: &CandidateState<'_>) -> f64 {
    if demand.engine.is_none() {
        return 0.0;
    }
    let used = used_slots(state);
    let slots = f64::from(state.candidate.endpoint.listed.slots.max(1));
    let over = (used - BATCH_FULL).max(0.0) * slots;
    used * used * FULL_BATCH_MS * unseen(demand).powi(2) + over * OVERFULL_MS
}

/// Part of the slots in use; more than 1 where requests wait.
fn used_slots(state: &CandidateState<'_>) -> f64 {
    let slots = f64::from(state.candidate.endpoint.listed.slots.max(1));
    f64::from(state.total.running) / slots
}

/// What reading beside streams costs: an engine reads prompts between the tokens of all others,
/// so a long one stretches their pauses. Long prompts and delicate streams therefore avoid each
/// other, which parts the engines between them as far as the load allows.
fn beside_ms(demand: &Demand<'_>, state: &CandidateState<'_>, unread: u64) -> f64 {
    let total = state.total;
    let own = stream_equivalents(demand.pause_sensitivity);
    let others = stream_equivalents(total.pause_sensitivity);
    let read = read_ms(unread as f64);
    let queued = read_ms(f64::from(total.total_unread()));
    let beyond = (queued + read - demand.pause.0 as f64 * PAUSE_PART).clamp(0.0, read);
    let harm = others * (read * (1.0 - own) * HARM + beyond * HARM_BEYOND);
    if state.is_reserved {
        // Long prompts leave it as streams come.
        return harm;
    }
    let exposure = EXPOSURE / unseen(demand).powi(2);
    harm + read_ms(f64::from(total.pressure)) * own * exposure
}

/// Price of overfull memory; none for plain services.
fn memory_ms(demand: &Demand<'_>, total: EndpointWork) -> f64 {
    if demand.engine.is_none() {
        return 0.0;
    }
    let held = u64::from(total.held) + demand.prompt_tokens() + demand.output_tokens;
    let used = held as f64 / demand.memory_tokens().max(1) as f64;
    if used > MEMORY_FULL {
        MEMORY_MS * used
    } else {
        0.0
    }
}

/// Price of another availability zone and of a fresh start.
fn distance_ms(demand: &Demand<'_>, candidate: &Candidate<'_>) -> f64 {
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
