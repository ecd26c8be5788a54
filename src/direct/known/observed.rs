//! Step times of model engines, as this entry and its peers observed them in streams. They tell
//! which endpoints of a pool are slow all the time; momentary slowdowns are reported by the
//! endpoints themselves, see [`crate::direct::known::slowdown`].
//!
//! Made for pools of up to 3,500 endpoints whose streams pass through up to 450 entries, so that
//! one entry sees an endpoint once in some seconds to a minute. A value needs several streams, of
//! which about a third may run beside the prefill of prompts or arrive distorted by the network.

use std::collections::{HashMap, VecDeque};

use crate::clock::Millis;
use crate::direct::peers::PeerId;

/// Events of a stream from which on its times are used.
const MIN_EVENTS: u32 = 8;
/// Shortest time over which the time of an event is averaged: events that arrive in one read have
/// no times of their own, and the clock counts whole milliseconds.
const MIN_GROUP_TIME: Millis = Millis(10);
/// Groups of events that are recorded of one stream.
const MAX_GROUPS: usize = 96;
/// Fraction of the events of a stream that are faster than its value.
const EVENT_FRACTION: f64 = 0.1;
/// Reported slowdowns, as factors, during which times are used. The endpoint reports only in the
/// heads of its answers, so the time for which a larger slowdown lasts is not known.
const USABLE_SLOWDOWN: std::ops::RangeInclusive<f64> = 0.8..=1.25;
/// Half-life of the weight of a stream, in ms.
const WEIGHT_HALF_LIFE_MS: f64 = 60_000.0;
/// Weight below which an observation is dropped.
const MIN_WEIGHT: f64 = 0.05;
/// Own streams that are kept for an endpoint.
const MAX_OWN_STREAMS: usize = 12;
/// Peers whose observations are kept for an endpoint.
const MAX_SOURCES: usize = 8;
/// Largest weight of what one peer observed, in streams: less than [`MIN_KNOWN_WEIGHT`], so that no
/// peer alone decides a value.
const MAX_SOURCE_WEIGHT: f64 = 2.5;
/// Weight of all observations of an endpoint from which on its value is used, in streams.
const MIN_KNOWN_WEIGHT: f64 = 3.0;
/// Fraction of the weight that lies below the value of an endpoint. Streams beside prompts take
/// longer, so it is less than a half.
const VALUE_FRACTION: f64 = 1.0 / 3.0;
/// Least weight that lies below the value of an endpoint: more than that of one stream.
const MIN_WEIGHT_BELOW: f64 = 1.5;
/// Known endpoints of a pool from which on they are compared.
const MIN_KNOWN_ENDPOINTS: usize = 3;
/// Bounds of plausible times of one event, in ms.
const PLAUSIBLE_EVENT_MS: std::ops::RangeInclusive<f64> = 0.05..=10_000.0;
/// Steps in which relative times are given, for each doubling. Entries with slightly different
/// observations then use the same values.
const STEPS_PER_DOUBLING: f64 = 4.0;
/// Largest step: the bounds of relative times are 0.25 and 4.
const MAX_STEP: f64 = 2.0 * STEPS_PER_DOUBLING;
/// Distance from the current step, in steps, from which on another one is taken.
const STEP_HYSTERESIS: f64 = 0.75;
/// Time between two comparisons of all endpoints.
const REFRESH_INTERVAL: Millis = Millis(1_000);

/// The times between the events of one stream, as they arrive.
#[derive(Debug, Default)]
pub struct StreamTimes {
    /// When the current group of events began; `None` before the first event.
    group_began: Option<Millis>,
    /// Events of the current group.
    group_events: u32,
    /// Time of an event in ms and number of events, for each complete group.
    groups: Vec<(f64, u32)>,
    /// Events of the stream so far.
    events: u32,
}

impl StreamTimes {
    /// Records that `events` arrived together; `slowdown` is the momentary slowdown that the
    /// endpoint is expected to have, as a factor.
    pub fn record(&mut self, now: Millis, events: u32, slowdown: f64) {
        self.events = self.events.saturating_add(events);
        let Some(began) = self.group_began else {
            self.group_began = Some(now);
            return;
        };
        self.group_events = self.group_events.saturating_add(events);
        if now - began < MIN_GROUP_TIME || self.group_events == 0 {
            return;
        }
        if USABLE_SLOWDOWN.contains(&slowdown) && self.groups.len() < MAX_GROUPS {
            let event_ms = (now - began).0 as f64 / f64::from(self.group_events) / slowdown;
            self.groups.push((event_ms, self.group_events));
        }
        self.group_began = Some(now);
        self.group_events = 0;
    }

    /// Number of events so far.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Lower decile of the time of an event, in ms: prompts that the endpoint prefills meanwhile
    /// lengthen the others. `None` while fewer than [`MIN_EVENTS`] have a usable time.
    pub fn event_ms(&self) -> Option<f64> {
        let timed: u32 = self.groups.iter().map(|(_, events)| events).sum();
        if timed + 1 < MIN_EVENTS {
            return None;
        }
        let mut weighted: Vec<(f64, f64)> = self
            .groups
            .iter()
            .map(|(ms, events)| (*ms, f64::from(*events)))
            .collect();
        weighted_quantile(&mut weighted, f64::from(timed) * EVENT_FRACTION)
    }
}

/// Time of an event at one endpoint as one entry observed it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ObservedTime {
    /// Digest of the endpoint's incarnation.
    pub endpoint: u32,
    /// Time of one event, in ms.
    pub event_ms: f64,
    /// Number of streams, decayed with their age.
    pub weight: f64,
}

/// What one peer observed of an endpoint.
#[derive(Debug, Clone, Copy)]
struct RemoteTime {
    source: PeerId,
    at: Millis,
    event_ms: f64,
    /// Weight as of `at`.
    weight: f64,
}

impl RemoteTime {
    fn weight(&self, now: Millis) -> f64 {
        self.weight * decay(now - self.at)
    }
}

/// A change of an endpoint's relative time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedChange {
    /// Digest of the endpoint's incarnation.
    pub endpoint: u32,
    /// Its relative time from now on.
    pub relative_time: f64,
    /// Time of an event there, in ms; `None` where it is no longer known.
    pub event_ms: Option<f64>,
}

/// Observations of one endpoint.
#[derive(Debug, Default)]
struct ObservedEndpoint {
    /// Index of its pool in [`ObservedEndpoints::pools`].
    pool: usize,
    /// Times of an event in own streams, in ms, the newest last.
    own: VecDeque<(Millis, f64)>,
    remote: Vec<RemoteTime>,
    /// Current step of its relative time; 0 is that of the typical endpoint.
    step: f64,
}

impl ObservedEndpoint {
    /// Value and weight of the own observations; `None` without any.
    fn own_time(&self, now: Millis) -> Option<(f64, f64)> {
        let mut weighted = self.own_weighted(now);
        let weight = total_weight(&weighted);
        let event_ms = weighted_quantile(&mut weighted, weight * VALUE_FRACTION)?;
        Some((event_ms, weight))
    }

    fn own_weighted(&self, now: Millis) -> Vec<(f64, f64)> {
        let own = self.own.iter();
        own.map(|(at, ms)| (*ms, decay(now - *at))).collect()
    }

    /// Time of an event by all observations, in ms; `None` while there are too few.
    fn event_ms(&self, now: Millis) -> Option<f64> {
        let mut weighted = self.own_weighted(now);
        weighted.extend(self.remote.iter().map(|r| (r.event_ms, r.weight(now))));
        let weight = total_weight(&weighted);
        if weight < MIN_KNOWN_WEIGHT {
            return None;
        }
        let below = (weight * VALUE_FRACTION).max(MIN_WEIGHT_BELOW);
        weighted_quantile(&mut weighted, below)
    }

    fn expire(&mut self, now: Millis) {
        self.own.retain(|(at, _)| decay(now - *at) >= MIN_WEIGHT);
        self.remote.retain(|r| r.weight(now) >= MIN_WEIGHT);
    }

    /// Moves to the step of a relative time if that is clearly another one; returns whether it is.
    fn update_step(&mut self, relative_time: Option<f64>) -> bool {
        let before = self.step;
        let exact = relative_time.map_or(0.0, |relative_time| {
            (relative_time.log2() * STEPS_PER_DOUBLING).clamp(-MAX_STEP, MAX_STEP)
        });
        if (exact - self.step).abs() > STEP_HYSTERESIS {
            self.step = exact.round();
        }
        self.step != before
    }

    fn relative_time(&self) -> f64 {
        if self.step == 0.0 {
            return 1.0;
        }
        2.0_f64.powf(self.step / STEPS_PER_DOUBLING)
    }
}

/// Observations of all endpoints of mixed pools, by the digests of their incarnations.
#[derive(Debug, Default)]
pub struct ObservedEndpoints {
    endpoints: HashMap<u32, ObservedEndpoint>,
    /// Names of the pools.
    pools: Vec<String>,
    refreshed_at: Option<Millis>,
    /// Number of endpoints with enough observations, as of then.
    known: usize,
    /// Changes that were not taken yet, by the digests of the endpoints.
    changes: HashMap<u32, SpeedChange>,
}

impl ObservedEndpoints {
    /// Records the time of an event, in ms, in a stream of this entry.
    pub fn record_stream(&mut self, digest: u32, pool: &str, event_ms: f64, now: Millis) {
        if !PLAUSIBLE_EVENT_MS.contains(&event_ms) {
            return;
        }
        let own = &mut self.endpoint(digest, pool).own;
        if own.len() >= MAX_OWN_STREAMS {
            own.pop_front();
        }
        own.push_back((now, event_ms));
    }

    /// Replaces what a peer observed of an endpoint. Of more than [`MAX_SOURCES`] peers those with
    /// the largest weights are kept.
    pub fn record_remote(&mut self, source: PeerId, pool: &str, time: ObservedTime, now: Millis) {
        let is_plausible = PLAUSIBLE_EVENT_MS.contains(&time.event_ms) && time.weight > 0.0;
        if !is_plausible {
            return;
        }
        let remote = &mut self.endpoint(time.endpoint, pool).remote;
        remote.retain(|known| known.source != source);
        let new = RemoteTime {
            source,
            at: now,
            event_ms: time.event_ms,
            weight: time.weight.min(MAX_SOURCE_WEIGHT),
        };
        if remote.len() < MAX_SOURCES {
            remote.push(new);
            return;
        }
        let weight = |known: &&mut RemoteTime| known.weight(now);
        let lightest = remote
            .iter_mut()
            .min_by(|a, b| weight(a).total_cmp(&weight(b)));
        if let Some(lightest) = lightest.filter(|known| known.weight(now) <= new.weight) {
            *lightest = new;
        }
    }

    /// Discards the observations of an endpoint whose incarnation has ended.
    pub fn forget(&mut self, digest: u32) {
        self.endpoints.remove(&digest);
        self.changes.remove(&digest);
    }

    /// The own observations of endpoints with a stream since `since`, those with the newest streams
    /// first, at most `most`.
    pub fn own_times(&self, since: Millis, most: usize, now: Millis) -> Vec<ObservedTime> {
        let mut changed: Vec<(Millis, u32, &ObservedEndpoint)> = self
            .endpoints
            .iter()
            .filter_map(|(digest, observed)| Some((observed.own.back()?.0, *digest, observed)))
            .filter(|(at, ..)| *at >= since)
            .collect();
        changed.sort_unstable_by_key(|(at, digest, _)| (std::cmp::Reverse(*at), *digest));
        let newest = changed.into_iter().take(most);
        newest
            .filter_map(|(_, endpoint, observed)| {
                let (event_ms, weight) = observed.own_time(now)?;
                Some(ObservedTime {
                    endpoint,
                    event_ms,
                    weight,
                })
            })
            .collect()
    }

    /// Time that work takes at an endpoint, relative to the median of the known endpoints of its
    /// pool: 0.25 to 4 in steps of a fourth of a doubling, and 1 while it is not known.
    pub fn relative_time(&mut self, digest: u32, now: Millis) -> f64 {
        self.refresh(now);
        self.endpoints
            .get(&digest)
            .map_or(1.0, ObservedEndpoint::relative_time)
    }

    /// Number of endpoints with enough observations, as of the last comparison.
    pub fn known(&self) -> usize {
        self.known
    }

    /// Number of endpoints whose relative time is not 1.
    pub fn uneven(&self) -> usize {
        self.endpoints.values().filter(|o| o.step != 0.0).count()
    }

    /// Changes of relative times since the last call.
    pub fn take_changes(&mut self, now: Millis) -> Vec<SpeedChange> {
        self.refresh(now);
        std::mem::take(&mut self.changes).into_values().collect()
    }

    /// Compares all endpoints again where that is due.
    fn refresh(&mut self, now: Millis) {
        let is_due = |at: Millis| now - at >= REFRESH_INTERVAL;
        if !self.refreshed_at.is_none_or(is_due) {
            return;
        }
        self.refreshed_at = Some(now);
        let mut by_pool: Vec<Vec<f64>> = vec![Vec::new(); self.pools.len()];
        for observed in self.endpoints.values_mut() {
            observed.expire(now);
            by_pool[observed.pool].extend(observed.event_ms(now));
        }
        self.known = by_pool.iter().map(Vec::len).sum();
        let medians: Vec<Option<f64>> = by_pool.into_iter().map(pool_median).collect();
        for (digest, observed) in &mut self.endpoints {
            let event_ms = observed.event_ms(now);
            let median = medians[observed.pool];
            let relative_time = event_ms.zip(median).map(|(own, median)| own / median);
            if observed.update_step(relative_time) {
                let change = SpeedChange {
                    endpoint: *digest,
                    relative_time: observed.relative_time(),
                    event_ms,
                };
                self.changes.insert(*digest, change);
            }
        }
    }

    fn endpoint(&mut self, digest: u32, pool: &str) -> &mut ObservedEndpoint {
        let known = self.pools.iter().position(|name| name == pool);
        let pool = known.unwrap_or_else(|| {
            self.pools.push(pool.to_owned());
            self.pools.len() - 1
        });
        self.endpoints
            .entry(digest)
            .or_insert_with(|| ObservedEndpoint {
                pool,
                ..ObservedEndpoint::default()
            })
    }
}

/// Median of the known endpoints of a pool; `None` while there are too few.
fn pool_median(mut known: Vec<f64>) -> Option<f64> {
    if known.len() < MIN_KNOWN_ENDPOINTS {
        return None;
    }
    known.sort_unstable_by(f64::total_cmp);
    Some(known[(known.len() - 1) / 2])
}

/// Remaining weight of an observation of this age.
fn decay(age: Millis) -> f64 {
    0.5_f64.powf(age.0 as f64 / WEIGHT_HALF_LIFE_MS)
}

fn total_weight(weighted: &[(f64, f64)]) -> f64 {
    weighted.iter().map(|(_, weight)| weight).sum()
}

/// Smallest of the values such that it and smaller ones have a weight of at least `below` together;
/// the largest value if all have less, and `None` without values.
fn weighted_quantile(weighted: &mut [(f64, f64)], below: f64) -> Option<f64> {
    weighted.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let mut sum = 0.0;
    let found = weighted.iter().find(|(_, weight)| {
        sum += weight;
        sum >= below
    });
    found.or(weighted.last()).map(|(value, _)| *value)
}
