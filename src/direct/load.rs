//! The load of one endpoint: this entry's own requests there, exact and at once, and what peers
//! and the endpoint itself told, which count less with age.

use std::f64::consts::LN_2;

use crate::clock::Millis;
use crate::direct::peers::{PeerId, ZoneId};

/// Bands of urgency in which tokens to read are counted: 0, 1, and all others.
pub const BANDS: usize = 3;
/// Least urgent number that an endpoint is told.
const LEAST_URGENT: u8 = 9;
/// Routes from this urgency on are told alike.
const TOLD_ROUTES: u8 = 3;
/// Urgencies of teams that are told apart within a route.
const TOLD_TEAMS: u8 = 3;
/// Pressure below which it is forgotten, in tokens: reading as many takes some milliseconds.
const LEAST_PRESSURE: u32 = 256;
/// Time for which an endpoint that turned a request away is taken to be full, unless a run of this entry ends there before.
const FULL_WORD: Millis = Millis(250);
/// Age after which the endpoint's own word on its load no longer counts.
const REPORT_WORD: Millis = Millis(300);

/// A whole delicate stream, in hundredths.
pub const FULL_STREAM: u32 = 100;

/// Delicate streams from hundredths.
pub fn stream_equivalents(hundredths: u32) -> f64 {
    f64::from(hundredths) / f64::from(FULL_STREAM)
}

/// Band of a priority.
pub fn band(priority: u8) -> usize {
    usize::from(priority).min(BANDS - 1)
}

/// Urgency that an endpoint is told, 0 to 9, of a request on a route of urgency `route` whose own, by its team, is `own`.
///
/// The kind of request goes first. RemoteWork the team's urgency alone, endpoints preempted 31 to 223 requests in one burst while
/// less urgent kinds ran on there; told both, the route first, none in eight plays.
pub fn urgency_at_endpoint(route: u8, own: u8) -> u8 {
    let of_route = route.min(TOLD_ROUTES) * TOLD_TEAMS;
    (of_route + own.min(TOLD_TEAMS - 1)).min(LEAST_URGENT)
}

/// Work of one entry at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndpointWork {
    /// Requests sent and not ended.
    pub running: u32,
    /// Prompt tokens still to be read, by band.
    pub unread: [u32; BANDS],
    /// Tokens of memory that the requests hold or will hold.
    pub held: u32,
    /// Streams that suffer when prompts are read beside them, in hundredths: each counts by how
    /// tight its pauses are.
    #[serde(rename = "delicate")]
    pub pause_sensitivity: u32,
    /// Prompt tokens of coarse requests sent lately; half of them is forgotten after
    /// [`PRESSURE_HALF_LIFE_MS`].
    pub pressure: u32,
}

impl EndpointWork {
    /// Nothing is under way; only pressure may be left.
    pub fn is_idle(&self) -> bool {
        let pressure = self.pressure;
        *self
            == Self {
                pressure,
                ..Self::default()
            }
    }

    /// Prompt tokens still to be read, of all bands.
    pub fn total_unread(&self) -> u32 {
        self.unread.iter().fold(0, |sum, n| sum.saturating_add(*n))
    }

    /// Prompt tokens of coarse requests that are read in a millisecond: where the load is steady,
    /// as many as are forgotten in one.
    pub fn prefill_tokens_per_ms(&self) -> f64 {
        f64::from(self.pressure) * LN_2 / PRESSURE_HALF_LIFE_MS
    }

    /// The sum of both; at its largest where that does not fit.
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

/// Who told of work at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// A peer, of its own.
    Peer(PeerId),
    /// Some entry of another availability zone, of all entries there.
    Zone(ZoneId),
}

/// What was told of work at an endpoint.
#[derive(Debug, Clone, Copy)]
struct RemoteWork {
    teller: LoadSource,
    /// When it was told.
    at: Millis,
    /// Until when it counts.
    until: Millis,
    work: EndpointWork,
}

/// What one request adds to an endpoint's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Footprint {
    /// Band of its urgency.
    pub band: usize,
    /// Prompt tokens to read.
    pub unread: u32,
    /// Tokens of memory.
    pub held: u32,
    /// How much the stream suffers when prompts are read beside it, in hundredths.
    pub pause_sensitivity: u32,
}

/// What an endpoint told of itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can work on.
    pub slots: u32,
}

/// Time after which half of the pressure is forgotten, in ms: some lengths of an urgent stream.
const PRESSURE_HALF_LIFE_MS: f64 = 2_000.0;

/// The load of one endpoint.
#[derive(Debug, Default)]
pub struct EndpointLoad {
    /// This entry's own work, but for its pressure.
    own: EndpointWork,
    /// [`EndpointWork::pressure`] of this entry as it was at `pressure_at`.
    pressure: f64,
    pressure_at: Millis,
    /// What others told.
    remote: Vec<RemoteWork>,
    /// What the endpoint told last, and when.
    report: Option<(Millis, EndpointReport)>,
    /// Until when it is taken to be full, since it turned a request away.
    full_until: Millis,
}

impl EndpointLoad {
    /// A request is sent there.
    pub fn begin(&mut self, footprint: Footprint, now: Millis) {
        self.own.running += 1;
        let unread = &mut self.own.unread[footprint.band];
        *unread = unread.saturating_add(footprint.unread);
        self.own.held = self.own.held.saturating_add(footprint.held);
        self.own.pause_sensitivity += footprint.pause_sensitivity;
        let coarse = 1.0 - stream_equivalents(footprint.pause_sensitivity.min(FULL_STREAM));
        self.pressure = self.pressure_now(now) + f64::from(footprint.unread) * coarse;
        self.pressure_at = now;
    }

    /// The prompt of a request has been read.
    pub fn read(&mut self, footprint: Footprint) {
        let unread = &mut self.own.unread[footprint.band];
        *unread = unread.saturating_sub(footprint.unread);
    }

    /// A request ended.
    pub fn end(&mut self, footprint: Footprint) {
        self.own.running = self.own.running.saturating_sub(1);
        self.own.held = self.own.held.saturating_sub(footprint.held);
        self.own.pause_sensitivity = self
            .own
            .pause_sensitivity
            .saturating_sub(footprint.pause_sensitivity);
    }

    /// Work there was told; it counts for `lasts` unless it is told anew.
    pub fn record_remote(
        &mut self,
        teller: LoadSource,
        work: EndpointWork,
        lasts: Millis,
        now: Millis,
    ) {
        self.remote.retain(|told| told.teller != teller);
        self.remote.push(RemoteWork {
            teller,
            at: now,
            until: now + lasts,
            work,
        });
    }

    /// Nothing is under way there by the newest word of a teller: only the pressure of what was is left.
    pub fn record_remote_idle(&mut self, teller: LoadSource, now: Millis) {
        let Some(at) = self.remote.iter().position(|told| told.teller == teller) else {
            return;
        };
        let told = &mut self.remote[at];
        let pressure = fade(f64::from(told.work.pressure), now - told.at) as u32;
        if pressure < LEAST_PRESSURE {
            self.remote.swap_remove(at);
            return;
        }
        told.work = EndpointWork {
            pressure,
            ..EndpointWork::default()
        };
        told.until = told.until + (now - told.at);
        told.at = now;
    }

    /// The endpoint told its load.
    pub fn record_report(&mut self, report: EndpointReport, now: Millis) {
        self.report = Some((now, report));
    }

    /// The endpoint turned a request away for want of room.
    pub fn mark_full(&mut self, now: Millis) {
        self.full_until = now + FULL_WORD;
    }

    /// A run of this entry there ended, so there is room again.
    pub fn clear_full(&mut self) {
        self.full_until = Millis(0);
    }

    /// Whether it is taken to be full by its own word. It refuses at once, so by the count of requests it looks better than
    /// endpoints that work.
    pub fn is_full(&self, now: Millis) -> bool {
        now < self.full_until
    }

    /// This entry's own work there.
    pub fn own(&self, now: Millis) -> EndpointWork {
        EndpointWork {
            pressure: self.pressure_now(now) as u32,
            ..self.own
        }
    }

    /// The pressure of this entry's requests, as far as it is not forgotten.
    fn pressure_now(&self, now: Millis) -> f64 {
        fade(self.pressure, now - self.pressure_at)
    }

    /// Work of all entries, as far as known.
    pub fn total(&self, now: Millis) -> EndpointWork {
        let fresh = self.remote.iter().filter(|told| now < told.until);
        fresh.fold(self.own(now), |sum, told| sum.plus(told.work))
    }

    /// Work of this entry and of the peers that told theirs one by one.
    pub fn zone_total(&self, now: Millis) -> EndpointWork {
        let fresh = self.remote.iter().filter(|told| now < told.until);
        let peers = fresh.filter(|told| matches!(told.teller, LoadSource::Peer(_)));
        peers.fold(self.own(now), |sum, told| sum.plus(told.work))
    }

    /// Requests that the endpoint works on or that wait there: as far as entries know, or by its own word where
    /// that is fresh and tells of more.
    pub fn occupancy(&self, now: Millis) -> u32 {
        let told = match self.report {
            Some((at, report)) if now - at < REPORT_WORD => report.running + report.waiting,
            _ => 0,
        };
        self.total(now).running.max(told)
    }

    /// Requests that wait at the endpoint by its own word, if that is fresh.
    pub fn waiting(&self, now: Millis) -> u32 {
        match self.report {
            Some((at, report)) if now - at < REPORT_WORD => report.waiting,
            _ => 0,
        }
    }
}

/// What is left of a pressure after a time.
fn fade(pressure: f64, age: Millis) -> f64 {
    pressure * 0.5_f64.powf(age.0 as f64 / PRESSURE_HALF_LIFE_MS)
}
