//! An entry's choice of an endpoint: a state machine over the loads that sidecars last reported.

use std::collections::HashMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::keys;
use crate::members::Instance;
use crate::wire::Load;

/// Mean run time assumed until a sidecar has reported one, in ms.
const DEFAULT_SERVICE_MS: f64 = 500.0;
/// Cost of an endpoint in another availability zone of the same region, in ms.
const ZONE_COST_MS: f64 = 2.0;
/// Cost of an endpoint in another region, in ms.
const REGION_COST_MS: f64 = 80.0;
/// Fraction of the run time that a cached prefix is assumed to save.
const PREFIX_HIT_SAVING: f64 = 0.2;
/// Number of endpoints of a pool that an entry tries first; limits its links at any fleet size.
pub const SUBSET_SIZE: usize = 24;
/// Age at which a load report has half its weight, in ms.
const LOAD_HALF_LIFE_MS: f64 = 2_000.0;
/// Back-off of an endpoint after its first failure.
const MIN_BACKOFF: Millis = Millis(500);
/// Longest back-off of an endpoint; it doubles with each failure in a row.
const MAX_BACKOFF: Millis = Millis(8_000);

/// How an entry chooses among the endpoints of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest requests in flight from this entry.
    LeastOutstanding,
    /// The cheapest of two random endpoints and the one likely to have the prefix cached, by load,
    /// distance and cached prefix.
    #[default]
    TwoChoices,
}

/// What an entry knows of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct EndpointState {
    /// Load as last reported by the sidecar.
    load: Load,
    /// Time of that report.
    reported_at: Millis,
    /// Requests of this entry that are offered to or run at the endpoint.
    in_flight: u32,
    /// End of the back-off. Until then the endpoint is chosen only when all others have been tried
    /// or back off too.
    backoff_until: Millis,
    /// Length of the current back-off; 0 after a load report.
    backoff: Millis,
}

/// An entry's view of one endpoint, for display.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EndpointSummary {
    /// Instance id.
    pub id: String,
    /// Load as last reported by the sidecar.
    pub load: Load,
    /// Requests of this entry that are offered to or run at the endpoint.
    pub in_flight: u32,
    /// Whether it is backing off after a failure.
    pub aside: bool,
}

/// Availability zone and region of an entry.
#[derive(Debug, Clone, Default)]
pub struct Locality {
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
}

/// Chooses endpoints for an entry, and holds what the entry knows of them.
#[derive(Debug)]
pub struct Router {
    routing: Routing,
    locality: Locality,
    states: HashMap<String, EndpointState>,
    round_robin_index: usize,
    rng: SmallRng,
    seed: u64,
}

impl Router {
    /// Creates a router without knowledge of any endpoint. `seed` determines the entry's random
    /// choices and its subset of each pool.
    pub fn new(routing: Routing, locality: Locality, seed: u64) -> Self {
        Self {
            routing,
            locality,
            states: HashMap::new(),
            round_robin_index: 0,
            rng: SmallRng::seed_from_u64(seed),
            seed,
        }
    }

    /// The endpoint to try next, of those not in `tried`; `None` when all are tried. Endpoints that
    /// back off are chosen only when no other is left. `prefix` is the hash of the request's prompt
    /// prefix, 0 for none.
    pub fn choose<'a>(
        &mut self,
        now: Millis,
        candidates: &[&'a Instance],
        tried: &[String],
        prefix: u64,
    ) -> Option<&'a Instance> {
        let untried: Vec<&Instance> = candidates
            .iter()
            .copied()
            .filter(|i| !tried.contains(&i.id))
            .collect();
        let ready: Vec<&Instance> = untried
            .iter()
            .copied()
            .filter(|i| !self.is_backing_off(now, &i.id))
            .collect();
        let pool = if ready.is_empty() { untried } else { ready };
        if pool.is_empty() {
            return None;
        }
        match self.routing {
            Routing::TwoChoices => Some(self.cheapest_of_few(now, &pool, tried.is_empty(), prefix)),
            Routing::RoundRobin => {
                self.round_robin_index += 1;
                Some(pool[self.round_robin_index % pool.len()])
            }
            Routing::LeastOutstanding => {
                pool.into_iter().min_by_key(|i| self.state(&i.id).in_flight)
            }
        }
    }

    /// Records that a request was offered to the endpoint.
    pub fn record_start(&mut self, id: &str) {
        self.states.entry(id.into()).or_default().in_flight += 1;
    }

    /// Records that a request offered to the endpoint has ended.
    pub fn record_end(&mut self, id: &str) {
        if let Some(state) = self.states.get_mut(id) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records a load report of the endpoint's sidecar, which also ends a back-off.
    pub fn record_load(&mut self, now: Millis, id: &str, load: Load) {
        let state = self.states.entry(id.into()).or_default();
        state.load = load;
        state.reported_at = now;
        state.backoff = Millis(0);
        state.backoff_until = Millis(0);
    }

    /// Records that the sidecar could not be reached or refused all requests: the endpoint backs
    /// off, each time in a row for twice as long, up to [`MAX_BACKOFF`].
    pub fn record_failure(&mut self, now: Millis, id: &str) {
        let state = self.states.entry(id.into()).or_default();
        state.backoff = Millis(state.backoff.0 * 2)
            .max(MIN_BACKOFF)
            .min(MAX_BACKOFF);
        state.backoff_until = now + state.backoff;
    }

    /// Removes endpoints that are no longer listed and have no request in flight.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.states
            .retain(|id, state| state.in_flight > 0 || listed(id));
    }

    /// A summary of every known endpoint, ordered by id.
    pub fn rows(&self, now: Millis) -> Vec<EndpointSummary> {
        let row = |(id, state): (&String, &EndpointState)| EndpointSummary {
            id: id.clone(),
            load: state.load,
            in_flight: state.in_flight,
            aside: now < state.backoff_until,
        };
        let mut rows: Vec<EndpointSummary> = self.states.iter().map(row).collect();
        rows.sort_by(|a, b| a.id.cmp(&b.id));
        rows
    }

    fn is_backing_off(&self, now: Millis, id: &str) -> bool {
        now < self.state(id).backoff_until
    }

    fn state(&self, id: &str) -> EndpointState {
        self.states.get(id).copied().unwrap_or_default()
    }

    /// The cheapest of up to three endpoints: two random ones of the entry's subset, or of the
    /// whole pool after the first try, and the one likely to have the prefix cached.
    fn cheapest_of_few<'a>(
        &mut self,
        now: Millis,
        pool: &[&'a Instance],
        first_try: bool,
        prefix: u64,
    ) -> &'a Instance {
        let subset_pool = if first_try {
            subset(pool, &self.locality, self.seed)
        } else {
            pool.to_vec()
        };
        let first = subset_pool[self.rng.gen_range(0..subset_pool.len())];
        let second = subset_pool[self.rng.gen_range(0..subset_pool.len())];
        let mut best = (f64::MAX, first);
        let cached = prefix_holder(pool, prefix);
        for candidate in [Some(first), Some(second), cached].into_iter().flatten() {
            let hit = cached.is_some_and(|c| c.id == candidate.id);
            let cost = self.cost(now, candidate, hit);
            if cost < best.0 {
                best = (cost, candidate);
            }
        }
        best.1
    }

    /// Expected time until a request at the endpoint completes, in ms. `hit`: the endpoint probably
    /// has the prefix cached.
    fn cost(&self, now: Millis, instance: &Instance, hit: bool) -> f64 {
        let state = self.state(&instance.id);
        let service = match state.load.service_ms {
            0 => DEFAULT_SERVICE_MS,
            ms => f64::from(ms),
        };
        let age = (now - state.reported_at).0 as f64;
        let report_weight = (-age * std::f64::consts::LN_2 / LOAD_HALF_LIFE_MS).exp();
        let reported_busy = f64::from(state.load.running + state.load.waiting) * report_weight;
        let busy = reported_busy.max(f64::from(state.in_flight));
        let slots = f64::from(state.load.slots.max(1));
        let wait = (busy + 1.0 - slots).max(0.0) / slots * service;
        let slowdown = service * (busy / slots).min(1.0) * 0.5;
        let saved = if hit {
            service * PREFIX_HIT_SAVING
        } else {
            0.0
        };
        service + wait + slowdown + self.distance(instance) - saved
    }

    /// Cost of the endpoint's distance from this entry, in ms.
    fn distance(&self, instance: &Instance) -> f64 {
        if instance.region != self.locality.region {
            REGION_COST_MS
        } else if instance.zone != self.locality.zone {
            ZONE_COST_MS
        } else {
            0.0
        }
    }
}

/// The endpoints of a pool that an entry tries first: a fixed pseudo-random choice for each entry
/// (`entry` is its seed), from its own region as long as there are enough. Later tries of a request
/// use the whole pool.
pub fn subset<'a>(
    candidates: &[&'a Instance],
    locality: &Locality,
    entry: u64,
) -> Vec<&'a Instance> {
    if candidates.len() <= SUBSET_SIZE {
        return candidates.to_vec();
    }
    let rank = |i: &&Instance| {
        (
            i.region != locality.region,
            mix_bits(entry ^ u64::from(i.ordinal)),
        )
    };
    let mut ranked = candidates.to_vec();
    ranked.select_nth_unstable_by_key(SUBSET_SIZE, rank);
    ranked.truncate(SUBSET_SIZE);
    ranked
}

/// A fast bit mixer (the finalizer of SplitMix64, Steele, Lea and Flood 2014).
const fn mix_bits(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The endpoint that most likely has a prefix cached: the one at the ordinal to which the prefix
/// hashes, which stays the same while other endpoints come and go. `None` without a prefix or when
/// the pool lacks that endpoint.
fn prefix_holder<'a>(pool: &[&'a Instance], prefix: u64) -> Option<&'a Instance> {
    let places = pool.iter().map(|i| i.ordinal + 1).max()?;
    let holder_ordinal = keys::ordinal(prefix, places);
    pool.iter()
        .copied()
        .find(|i| prefix != 0 && i.ordinal == holder_ordinal)
}
