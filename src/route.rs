//! Choice of an endpoint at an entry: a state machine over what the sidecars last said.

use std::collections::HashMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::keys;
use crate::members::Instance;
use crate::wire::Load;

/// Mean run time assumed until a sidecar has told its own, in ms.
const SERVICE_GUESS_MS: f64 = 500.0;
/// Cost of another availability zone, and of another region, in ms.
const ZONE_COST_MS: f64 = 2.0;
/// Cost of another region, in ms.
const REGION_COST_MS: f64 = 80.0;
/// Cached prefix: part of the run time that a hit is assumed to save.
const AFFINITY_GAIN: f64 = 0.2;
/// Endpoints of one pool that an entry turns to first; bounds its links at any fleet size.
pub const SUBSET_SIZE: usize = 24;
/// Age after which a load report counts half.
const LOAD_HALF_LIFE_MS: f64 = 2_000.0;
/// First time that an unreachable endpoint is left alone.
const ASIDE_LEAST: Millis = Millis(500);
/// Longest time that an unreachable endpoint is left alone.
const ASIDE_MOST: Millis = Millis(8_000);

/// How an entry chooses among the endpoints of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// Each in turn.
    RoundRobin,
    /// The fewest requests of this entry's own in flight.
    LeastOutstanding,
    /// The better of two random ones, by load, distance and cached prefix.
    #[default]
    TwoChoices,
}

#[derive(Debug, Clone, Copy, Default)]
struct View {
    load: Load,
    seen: Millis,
    in_flight: u32,
    aside_until: Millis,
    aside: Millis,
}

/// What an entry knows of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EndpointRow {
    /// Instance id.
    pub id: String,
    /// Load as last told.
    pub load: Load,
    /// This entry's own requests there.
    pub in_flight: u32,
    /// Whether it is left alone for now.
    pub aside: bool,
}

/// Where this entry stands.
#[derive(Debug, Clone, Default)]
pub struct Locality {
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
}

/// What an entry knows of the endpoints.
#[derive(Debug)]
pub struct Router {
    routing: Routing,
    place: Locality,
    views: HashMap<String, View>,
    turn: usize,
    rng: SmallRng,
    seed: u64,
}

impl Router {
    /// A router that knows nothing yet.
    pub fn new(routing: Routing, place: Locality, seed: u64) -> Self {
        Self {
            routing,
            place,
            views: HashMap::new(),
            turn: 0,
            rng: SmallRng::seed_from_u64(seed),
            seed,
        }
    }

    /// The endpoint to try next; `tried` ones are left out.
    pub fn choose<'a>(
        &mut self,
        now: Millis,
        candidates: &[&'a Instance],
        tried: &[String],
        prefix: u64,
    ) -> Option<&'a Instance> {
        let open: Vec<&Instance> = candidates
            .iter()
            .copied()
            .filter(|i| !tried.contains(&i.id))
            .collect();
        let ready: Vec<&Instance> = open
            .iter()
            .copied()
            .filter(|i| !self.is_aside(now, &i.id))
            .collect();
        let pool = if ready.is_empty() { open } else { ready };
        if pool.is_empty() {
            return None;
        }
        match self.routing {
            Routing::TwoChoices => Some(self.better_of_few(now, &pool, tried.is_empty(), prefix)),
            Routing::RoundRobin => {
                self.turn += 1;
                Some(pool[self.turn % pool.len()])
            }
            Routing::LeastOutstanding => {
                pool.into_iter().min_by_key(|i| self.view(&i.id).in_flight)
            }
        }
    }

    /// A request was offered to the endpoint.
    pub fn record_start(&mut self, id: &str) {
        self.views.entry(id.into()).or_default().in_flight += 1;
    }

    /// A request at the endpoint ended.
    pub fn record_end(&mut self, id: &str) {
        if let Some(view) = self.views.get_mut(id) {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }

    /// The sidecar told its load.
    pub fn record_load(&mut self, now: Millis, id: &str, load: Load) {
        let view = self.views.entry(id.into()).or_default();
        view.load = load;
        view.seen = now;
        view.aside = Millis(0);
        view.aside_until = Millis(0);
    }

    /// The sidecar could not be reached or refused all work.
    pub fn record_failure(&mut self, now: Millis, id: &str) {
        let view = self.views.entry(id.into()).or_default();
        view.aside = Millis(view.aside.0 * 2).max(ASIDE_LEAST).min(ASIDE_MOST);
        view.aside_until = now + view.aside;
    }

    /// Forgets endpoints that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.views
            .retain(|id, view| view.in_flight > 0 || listed(id));
    }

    /// The endpoints known, in order of their ids.
    pub fn rows(&self, now: Millis) -> Vec<EndpointRow> {
        let row = |(id, view): (&String, &View)| EndpointRow {
            id: id.clone(),
            load: view.load,
            in_flight: view.in_flight,
            aside: now < view.aside_until,
        };
        let mut rows: Vec<EndpointRow> = self.views.iter().map(row).collect();
        rows.sort_by(|a, b| a.id.cmp(&b.id));
        rows
    }

    fn is_aside(&self, now: Millis, id: &str) -> bool {
        now < self.view(id).aside_until
    }

    fn view(&self, id: &str) -> View {
        self.views.get(id).copied().unwrap_or_default()
    }

    /// Two random endpoints of the entry's subset, or of the whole pool when the subset has made
    /// the request wait, and the prefix's own one; the cheapest of them.
    fn better_of_few<'a>(
        &mut self,
        now: Millis,
        pool: &[&'a Instance],
        first_try: bool,
        prefix: u64,
    ) -> &'a Instance {
        let near = if first_try {
            subset(pool, &self.place, self.seed)
        } else {
            pool.to_vec()
        };
        let first = near[self.rng.gen_range(0..near.len())];
        let second = near[self.rng.gen_range(0..near.len())];
        let mut best = (f64::MAX, first);
        let cached = preferred(pool, prefix);
        for candidate in [Some(first), Some(second), cached].into_iter().flatten() {
            let hit = cached.is_some_and(|c| c.id == candidate.id);
            let cost = self.cost(now, candidate, hit);
            if cost < best.0 {
                best = (cost, candidate);
            }
        }
        best.1
    }

    /// Expected time to the end of a request at the endpoint, in ms.
    fn cost(&self, now: Millis, instance: &Instance, hit: bool) -> f64 {
        let view = self.view(&instance.id);
        let service = match view.load.service_ms {
            0 => SERVICE_GUESS_MS,
            ms => f64::from(ms),
        };
        let age = (now - view.seen).0 as f64;
        let trust = (-age * std::f64::consts::LN_2 / LOAD_HALF_LIFE_MS).exp();
        let told = f64::from(view.load.running + view.load.waiting) * trust;
        let busy = told.max(f64::from(view.in_flight));
        let slots = f64::from(view.load.slots.max(1));
        let wait = (busy + 1.0 - slots).max(0.0) / slots * service;
        let slowdown = service * (busy / slots).min(1.0) * 0.5;
        let saved = if hit { service * AFFINITY_GAIN } else { 0.0 };
        service + wait + slowdown + self.distance(instance) - saved
    }

    fn distance(&self, instance: &Instance) -> f64 {
        if instance.region != self.place.region {
            REGION_COST_MS
        } else if instance.zone != self.place.zone {
            ZONE_COST_MS
        } else {
            0.0
        }
    }
}

/// The endpoints of a pool that an entry turns to first: a fixed random choice for each entry,
/// from its own region as long as there are enough. Others are tried when these make it wait.
pub fn subset<'a>(candidates: &[&'a Instance], place: &Locality, entry: u64) -> Vec<&'a Instance> {
    if candidates.len() <= SUBSET_SIZE {
        return candidates.to_vec();
    }
    let rank = |i: &&Instance| (i.region != place.region, mix(entry ^ u64::from(i.ordinal)));
    let mut ranked = candidates.to_vec();
    ranked.select_nth_unstable_by_key(SUBSET_SIZE, rank);
    ranked.truncate(SUBSET_SIZE);
    ranked
}

/// A cheap mix of bits (the finalizer of SplitMix64, Steele, Lea and Flood 2014).
const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The endpoint that most likely holds a prefix in its cache: the prefix's own ordinal, which
/// stays the same while others come and go.
fn preferred<'a>(pool: &[&'a Instance], prefix: u64) -> Option<&'a Instance> {
    let places = pool.iter().map(|i| i.ordinal + 1).max()?;
    let wanted = keys::ordinal(prefix, places);
    pool.iter()
        .copied()
        .find(|i| prefix != 0 && i.ordinal == wanted)
}
