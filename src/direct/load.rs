//! The load of one endpoint: this entry's own requests there, exact and at once, and what peers
//! and the endpoint itself told, which count less with age.

use std::collections::HashMap;
use std::f64::consts::LN_2;

use crate::clock::Millis;
use crate::direct::peers::PeerId;

/// Bands of urgency in which tokens to read are counted: 0, 1, and all others.
pub const BANDS: usize = 3;
/// Age after which a peer's word on its own requests no longer counts; some heartbeats long.
const PEER_WORD: Millis = Millis(1_500);
/// Age after which the endpoint's own word on its load no longer counts.
const REPORT_WORD: Millis = Millis(300);

/// A whole delicate stream, in hundredths.
pub const WHOLE: u32 = 100;

/// Delicate streams from hundredths.
pub fn streams(hundredths: u32) -> f64 {
    f64::from(hundredths) / f64::from(WHOLE)
}

/// Band of a priority.
pub fn band(priority: u8) -> usize {
    usize::from(priority).min(BANDS - 1)
}

/// Work of one entry at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Work {
    /// Requests sent and not ended.
    pub running: u32,
    /// Prompt tokens still to be read, by band.
    pub unread: [u32; BANDS],
    /// Tokens of memory that the requests hold or will hold.
    pub held: u32,
    /// Streams that suffer when prompts are read beside them, in hundredths: each counts by how
    /// tight its pauses are.
    pub delicate: u32,
    /// Prompt tokens of coarse requests sent lately; half of them is forgotten after
    /// [`PRESSURE_HALF_LIFE_MS`].
    pub pressure: u32,
}

impl Work {
    /// Nothing at all.
    pub fn is_idle(&self) -> bool {
        *self == Self::default()
    }

    /// Prompt tokens still to be read, of all bands.
    pub fn all_unread(&self) -> u32 {
        self.unread.iter().fold(0, |sum, n| sum.saturating_add(*n))
    }

    /// Prompt tokens of coarse requests that are read in a millisecond: where the load is steady,
    /// as many as are forgotten in one.
    pub fn read_per_ms(&self) -> f64 {
        f64::from(self.pressure) * LN_2 / PRESSURE_HALF_LIFE_MS
    }

    /// The sum of both; at its largest where that does not fit.
    fn plus(self, other: Self) -> Self {
        let mut unread = self.unread;
        for (sum, add) in unread.iter_mut().zip(other.unread) {
            *sum = sum.saturating_add(add);
        }
        Self {
            running: self.running.saturating_add(other.running),
            unread,
            held: self.held.saturating_add(other.held),
            delicate: self.delicate.saturating_add(other.delicate),
            pressure: self.pressure.saturating_add(other.pressure),
        }
    }
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
    pub delicate: u32,
}

/// What an endpoint told of itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
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
pub struct Load {
    /// This entry's own work, but for its pressure.
    own: Work,
    /// [`Work::pressure`] of this entry as it was at `pressure_at`.
    pressure: f64,
    pressure_at: Millis,
    /// What peers told, and when.
    peers: HashMap<PeerId, (Millis, Work)>,
    /// What the endpoint told last, and when.
    report: Option<(Millis, Report)>,
}

impl Load {
    /// A request is sent there.
    pub fn begin(&mut self, footprint: Footprint, now: Millis) {
        self.own.running += 1;
        let unread = &mut self.own.unread[footprint.band];
        *unread = unread.saturating_add(footprint.unread);
        self.own.held = self.own.held.saturating_add(footprint.held);
        self.own.delicate += footprint.delicate;
        let coarse = 1.0 - streams(footprint.delicate.min(WHOLE));
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
        self.own.delicate = self.own.delicate.saturating_sub(footprint.delicate);
    }

    /// A peer told its own work there.
    pub fn peer(&mut self, peer: PeerId, work: Work, now: Millis) {
        if work.is_idle() {
            self.peers.remove(&peer);
        } else {
            self.peers.insert(peer, (now, work));
        }
    }

    /// The endpoint told its load.
    pub fn reported(&mut self, report: Report, now: Millis) {
        self.report = Some((now, report));
    }

    /// This entry's own work there.
    pub fn own(&self, now: Millis) -> Work {
        Work {
            pressure: self.pressure_now(now) as u32,
            ..self.own
        }
    }

    /// The pressure of this entry's requests, as far as it is not forgotten.
    fn pressure_now(&self, now: Millis) -> f64 {
        let age = (now - self.pressure_at).0 as f64;
        self.pressure * 0.5_f64.powf(age / PRESSURE_HALF_LIFE_MS)
    }

    /// Work of all entries, as far as known.
    pub fn total(&self, now: Millis) -> Work {
        let fresh = self.peers.values().filter(|(at, _)| now - *at < PEER_WORD);
        fresh.fold(self.own(now), |sum, (_, work)| sum.plus(*work))
    }

    /// Requests that wait at the endpoint by its own word, if that is fresh.
    pub fn waiting(&self, now: Millis) -> u32 {
        match self.report {
            Some((at, report)) if now - at < REPORT_WORD => report.waiting,
            _ => 0,
        }
    }
}
