//! Load of one endpoint: this entry's own requests there, which are known exactly and at once, and
//! what other entries and the endpoint itself report, which expires with age.

use std::f64::consts::LN_2;

use crate::clock::Millis;
use crate::direct::known::slowdown::Slowdown;
use crate::direct::peers::{PeerId, ZoneId};

/// Number of urgency bands in which tokens to be prefilled are counted: 0, 1, and all others.
pub const BANDS: usize = 3;
/// Least urgent level that an endpoint can be sent.
const LEAST_URGENT_LEVEL: u8 = 9;
/// Route urgencies from this one on are sent to endpoints as one level.
const ROUTE_LEVELS: u8 = 3;
/// Number of team urgencies that are distinguished within a route urgency.
const TEAM_LEVELS: u8 = 3;
/// Pressure below which it is dropped, in tokens: prefilling that many takes a few milliseconds.
const MIN_PRESSURE: u32 = 256;
/// Time for which an endpoint that rejected a request is assumed to be full, unless a run of this
/// entry ends there earlier.
const FULL_DURATION: Millis = Millis(250);
/// Age from which the endpoint's own report of its load is ignored.
const MAX_REPORT_AGE: Millis = Millis(300);

/// Sensitivity of one fully latency-sensitive stream, in hundredths.
pub const FULL_STREAM: u32 = 100;

/// Number of fully latency-sensitive streams that a sensitivity in hundredths amounts to.
pub fn stream_equivalents(hundredths: u32) -> f64 {
    f64::from(hundredths) / f64::from(FULL_STREAM)
}

/// Urgency band of a priority.
pub fn band(priority: u8) -> usize {
    usize::from(priority).min(BANDS - 1)
}

/// Urgency level sent to an endpoint, from 0 to 9, for a request with the urgency `own` of its team
/// on a route of urgency `route`.
///
/// The route's urgency takes precedence. When endpoints were sent the team's urgency alone, they
/// preempted 31 to 223 requests in one burst while less urgent kinds kept running; with both, route
/// first, they preempted none in eight runs.
pub fn urgency_at_endpoint(route: u8, own: u8) -> u8 {
    let of_route = route.min(ROUTE_LEVELS) * TEAM_LEVELS;
    (of_route + own.min(TEAM_LEVELS - 1)).min(LEAST_URGENT_LEVEL)
}

/// Outstanding work at one endpoint: of one entry, of an availability zone or of all entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndpointWork {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Prompt tokens still to be prefilled, by urgency band.
    pub unread: [u32; BANDS],
    /// Memory that the requests use or will use, in tokens.
    pub held: u32,
    /// Sum of the streams' sensitivity to prefill at the same engine, in hundredths: 100 for each
    /// stream with the shortest allowed pause, less for others.
    #[serde(rename = "delicate")]
    pub pause_sensitivity: u32,
    /// Prompt tokens of recently sent requests that are not latency-sensitive, decaying with a
    /// half-life of [`PRESSURE_HALF_LIFE_MS`].
    pub pressure: u32,
}

impl EndpointWork {
    /// Whether nothing is outstanding; pressure may remain.
    pub fn is_idle(&self) -> bool {
        let pressure = self.pressure;
        *self
            == Self {
                pressure,
                ..Self::default()
            }
    }

    /// Prompt tokens still to be prefilled, of all bands.
    pub fn total_unread(&self) -> u32 {
        self.unread.iter().fold(0, |sum, n| sum.saturating_add(*n))
    }

    /// Prompt tokens per millisecond that are prefilled for requests that are not
    /// latency-sensitive: under constant load, the rate at which the pressure decays.
    pub fn prefill_tokens_per_ms(&self) -> f64 {
        f64::from(self.pressure) * LN_2 / PRESSURE_HALF_LIFE_MS
    }

    /// The sum of both, saturating at the largest value.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        let mut unread = self.unread;
        for (sum, add) in unread.iter_mut().zip(other.unread) {
            *sum = sum.saturating_add(add);
        }
        Self {
            running: self.running.saturating_add(other.running),
            unread,
            held: self.held.saturating_add(other.held),
            pause_sensitivity: self
                .pause_sensitivity
                .saturating_add(other.pause_sensitivity),
            pressure: self.pressure.saturating_add(other.pressure),
        }
    }
}

/// Who reported work at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// A peer, about its own work.
    Peer(PeerId),
    /// An entry of another availability zone, about the work of all entries there.
    Zone(ZoneId),
}

/// Work at an endpoint that one source reported.
#[derive(Debug, Clone, Copy)]
struct RemoteWork {
    source: LoadSource,
    /// When it was reported.
    at: Millis,
    /// When the report expires.
    valid_until: Millis,
    work: EndpointWork,
}

/// Load that one request adds to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Footprint {
    /// Urgency band of the request; 0 is the most urgent.
    pub band: usize,
    /// Prompt tokens to be prefilled.
    pub unread: u32,
    /// Memory that it uses, in tokens.
    pub held: u32,
    /// How much its stream is delayed by prefill at the same engine, in hundredths; see
    /// [`FULL_STREAM`].
    pub pause_sensitivity: u32,
}

/// Load that an endpoint reports of itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointReport {
    /// Requests that it is running.
    pub running: u32,
    /// Requests that are queued there.
    pub waiting: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// How long work takes there at the moment; `None` where it does not say.
    pub slowdown: Option<Slowdown>,
}

/// Half-life of the pressure, in ms: a few times the duration of an urgent stream.
const PRESSURE_HALF_LIFE_MS: f64 = 2_000.0;

/// What one entry knows of the load of one endpoint.
#[derive(Debug, Default)]
pub struct EndpointLoad {
    /// This entry's own work, except for its pressure.
    own: EndpointWork,
    /// [`EndpointWork::pressure`] of this entry as it was at `pressure_at`.
    pressure: f64,
    pressure_at: Millis,
    /// Latest valid or expired report of each other source.
    remote: Vec<RemoteWork>,
    /// The endpoint's latest report, and when it came.
    report: Option<(Millis, EndpointReport)>,
    /// Until when the endpoint is assumed to be full, because it rejected a request.
    full_until: Millis,
}

impl EndpointLoad {
    /// Counts a request that is about to be sent to the endpoint, until [`Self::end_reservation`].
    pub fn reserve(&mut self, footprint: Footprint) {
        self.own.running += 1;
        let unread = &mut self.own.unread[footprint.band];
        *unread = unread.saturating_add(footprint.unread);
        self.own.held = self.own.held.saturating_add(footprint.held);
        self.own.pause_sensitivity += footprint.pause_sensitivity;
    }

    /// Removes a request that [`Self::reserve`] counted: it is sent now, or not at all.
    pub fn end_reservation(&mut self, footprint: Footprint) {
        self.read(footprint);
        self.end(footprint);
    }

    /// Adds a request that is sent to the endpoint.
    pub fn begin(&mut self, footprint: Footprint, now: Millis) {
        self.reserve(footprint);
        let insensitive = 1.0 - stream_equivalents(footprint.pause_sensitivity.min(FULL_STREAM));
        self.pressure = self.current_pressure(now) + f64::from(footprint.unread) * insensitive;
        self.pressure_at = now;
    }

    /// Removes the prompt tokens of a request that the endpoint has prefilled.
    pub fn read(&mut self, footprint: Footprint) {
        let unread = &mut self.own.unread[footprint.band];
        *unread = unread.saturating_sub(footprint.unread);
    }

    /// Removes a request that ended.
    pub fn end(&mut self, footprint: Footprint) {
        self.own.running = self.own.running.saturating_sub(1);
        self.own.held = self.own.held.saturating_sub(footprint.held);
        self.own.pause_sensitivity = self
            .own
            .pause_sensitivity
            .saturating_sub(footprint.pause_sensitivity);
    }

    /// Replaces what `source` reported of its work there; the report expires after `ttl`.
    pub fn record_remote(
        &mut self,
        source: LoadSource,
        work: EndpointWork,
        ttl: Millis,
        now: Millis,
    ) {
        self.remote.retain(|reported| reported.source != source);
        self.remote.push(RemoteWork {
            source,
            at: now,
            valid_until: now + ttl,
            work,
        });
    }

    /// Records that `source` has nothing outstanding there any more, according to its latest
    /// report; only the decayed pressure remains.
    pub fn record_remote_idle(&mut self, source: LoadSource, now: Millis) {
        let Some(at) = self
            .remote
            .iter()
            .position(|reported| reported.source == source)
        else {
            return;
        };
        let reported = &mut self.remote[at];
        let pressure = decay(f64::from(reported.work.pressure), now - reported.at) as u32;
        if pressure < MIN_PRESSURE {
            self.remote.swap_remove(at);
            return;
        }
        reported.work = EndpointWork {
            pressure,
            ..EndpointWork::default()
        };
        reported.valid_until = reported.valid_until + (now - reported.at);
        reported.at = now;
    }

    /// Records the endpoint's report of its own load.
    pub fn record_report(&mut self, report: EndpointReport, now: Millis) {
        self.report = Some((now, report));
    }

    /// Marks the endpoint as full for a short time, since it rejected a request for lack of
    /// capacity.
    pub fn mark_full(&mut self, now: Millis) {
        self.full_until = now + FULL_DURATION;
    }

    /// Ends that mark: a run of this entry ended there, so the endpoint has capacity again.
    pub fn clear_full(&mut self) {
        self.full_until = Millis(0);
    }

    /// Whether the endpoint is assumed to be full because it rejected a request. It rejects
    /// immediately, so counted by its requests it looks less loaded than endpoints that work.
    pub fn is_full(&self, now: Millis) -> bool {
        now < self.full_until
    }

    /// This entry's own work at the endpoint.
    pub fn own(&self, now: Millis) -> EndpointWork {
        EndpointWork {
            pressure: self.current_pressure(now) as u32,
            ..self.own
        }
    }

    /// The decayed pressure of this entry's requests, in tokens.
    fn current_pressure(&self, now: Millis) -> f64 {
        decay(self.pressure, now - self.pressure_at)
    }

    /// Work of all entries, as far as known here.
    pub fn total(&self, now: Millis) -> EndpointWork {
        let valid = self
            .remote
            .iter()
            .filter(|reported| now < reported.valid_until);
        valid.fold(self.own(now), |sum, reported| sum.plus(reported.work))
    }

    /// Work of this entry and of the peers that report their own work, without the totals reported
    /// for other availability zones.
    pub fn zone_total(&self, now: Millis) -> EndpointWork {
        let valid = self
            .remote
            .iter()
            .filter(|reported| now < reported.valid_until);
        let peers = valid.filter(|reported| matches!(reported.source, LoadSource::Peer(_)));
        peers.fold(self.own(now), |sum, reported| sum.plus(reported.work))
    }

    /// Requests that are running or queued at the endpoint: the larger of the entries' count and
    /// the endpoint's own report, if that is recent.
    pub fn occupancy(&self, now: Millis) -> u32 {
        let reported = match self.report {
            Some((at, report)) if now - at < MAX_REPORT_AGE => report.running + report.waiting,
            _ => 0,
        };
        self.total(now).running.max(reported)
    }

    /// Expected time that work takes at the endpoint now, relative to the usual time, by its own
    /// report; 1 if it does not say.
    pub fn slowdown(&self, now: Millis) -> f64 {
        let (at, report) = match self.report {
            Some(latest) => latest,
            None => return 1.0,
        };
        report
            .slowdown
            .map_or(1.0, |slowdown| slowdown.factor(now - at))
    }

    /// Requests that are queued at the endpoint according to its own report; 0 if there is no
    /// recent one.
    pub fn waiting(&self, now: Millis) -> u32 {
        match self.report {
            Some((at, report)) if now - at < MAX_REPORT_AGE => report.waiting,
            _ => 0,
        }
    }
}

/// Remaining pressure after a time of `age`.
fn decay(pressure: f64, age: Millis) -> f64 {
    pressure * 0.5_f64.powf(age.0 as f64 / PRESSURE_HALF_LIFE_MS)
}
