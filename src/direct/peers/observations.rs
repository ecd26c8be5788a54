//! The datagram in which an entry shares what it observed of endpoints, and when it is sent to
//! which peer.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::direct::known::observed::ObservedTime;
use crate::direct::known::reports::{Failure, REPORT_TIME};
use crate::direct::peers::PeerId;

/// Time between two regular datagrams, of which each goes to one peer: with
/// [`MAX_REGULAR_TIMES`] they take about 1.2 KB/s.
const SEND_INTERVAL: Millis = Millis(450);
/// Endpoints in a regular datagram.
const MAX_REGULAR_TIMES: usize = 48;
/// Endpoints in the datagram to a peer that was not sent any before; it fits one packet.
const MAX_FIRST_TIMES: usize = 96;
/// Cycles through all peers after which a peer that is not sent to any more is forgotten.
const FORGET_CYCLES: u64 = 8;
/// Time after a new report of an unreachable endpoint for which the reports are repeated in rounds:
/// a lost datagram is made up for, and the others are reached in turn.
const REPEAT_REPORTS_TIME: Millis = Millis(1_000);
/// Bytes of datagrams that only report unreachable endpoints, per ms over a long time.
const REPORT_BYTES_PER_MS: f64 = 1.0;
/// The same at once.
const MAX_REPORT_BURST_BYTES: f64 = 4_096.0;
/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;
/// Silence after which the last datagram of a peer is forgotten.
const FORGET_SOURCE_TIME: Millis = Millis(60_000);
/// Peers whose last datagrams are remembered, more than there are entries.
const MAX_SOURCES: usize = 1_024;

/// Observations that an entry shares.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedObservations {
    /// Number of the datagram; increases with each one that the sender sends.
    pub number: u32,
    /// Times of an event at endpoints.
    pub times: Vec<SharedTime>,
    /// Endpoints that can't be reached.
    pub unreachable: Vec<SharedFailure>,
}

impl SharedObservations {
    /// Whether it has nothing to share.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty() && self.unreachable.is_empty()
    }
}

/// An endpoint that the sender could not reach, or of which enough others told it so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedFailure {
    /// Digest of the endpoint's incarnation.
    pub endpoint: u32,
    /// Time since the failure, in ms.
    pub age_ms: u16,
}

impl SharedFailure {
    /// A failure as it is sent at `now`.
    pub fn new(failure: Failure, now: Millis) -> Self {
        let age_ms = u16::try_from((now - failure.failed_at).0).unwrap_or(u16::MAX);
        Self {
            endpoint: failure.endpoint,
            age_ms,
        }
    }

    /// The failure, where it was received at `now`.
    pub fn received(self, now: Millis) -> Failure {
        Failure {
            endpoint: self.endpoint,
            failed_at: now - Millis(u64::from(self.age_ms)).min(REPORT_TIME),
        }
    }
}

/// Time of an event at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedTime {
    /// Digest of the endpoint's incarnation.
    pub endpoint: u32,
    /// Time of one event, in microseconds.
    pub event_us: u32,
    /// Number of streams, decayed with their age, in tenths.
    pub weight_tenths: u8,
}

impl From<ObservedTime> for SharedTime {
    fn from(time: ObservedTime) -> Self {
        Self {
            endpoint: time.endpoint,
            event_us: (time.event_ms * 1_000.0) as u32,
            weight_tenths: (time.weight * 10.0).round() as u8,
        }
    }
}

impl From<SharedTime> for ObservedTime {
    fn from(time: SharedTime) -> Self {
        Self {
            endpoint: time.endpoint,
            event_ms: f64::from(time.event_us) / 1_000.0,
            weight: f64::from(time.weight_tenths) / 10.0,
        }
    }
}

/// What to send to a peer now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DueObservations {
    /// Observations since then are sent.
    pub since: Millis,
    /// Maximum number of endpoints.
    pub most: usize,
}

/// When peers were sent to.
#[derive(Debug, Clone, Copy)]
struct SentTimes {
    last: Millis,
    before_last: Millis,
}

/// Schedule of the datagrams with observations.
#[derive(Debug, Default)]
pub struct ObservationSchedule {
    sent: HashMap<SocketAddr, SentTimes>,
    /// When the next regular datagram may be sent.
    next_at: Millis,
    /// When an unreachable endpoint was last added to the reports; `None` before the first one.
    reported_at: Option<Millis>,
    /// Bytes that reports took lately.
    report_bytes: f64,
    /// When that was updated.
    report_bytes_at: Millis,
    /// Number of the last own datagram.
    number: u32,
    /// Number of the last datagram of each peer, and when it came.
    received: HashMap<PeerId, (u32, Millis)>,
}

impl ObservationSchedule {
    /// What to send to a peer of a gossip round, where `peers` are known; `None` if it is not its
    /// turn. Each observation is sent twice, so that a lost datagram is made up for.
    pub fn due(&mut self, to: SocketAddr, peers: usize, now: Millis) -> Option<DueObservations> {
        if now < self.next_at {
            return None;
        }
        let cycle = Millis(SEND_INTERVAL.0 * peers.max(1) as u64);
        let earlier = self.sent.get(&to).copied();
        if earlier.is_some_and(|sent| now - sent.last < cycle) {
            return None;
        }
        self.next_at = now + SEND_INTERVAL;
        let forget = Millis(cycle.0 * FORGET_CYCLES);
        self.sent.retain(|_, sent| now - sent.last < forget);
        Some(self.record_sent(to, now))
    }

    /// What to send to a peer that is new: everything.
    pub fn greet(&mut self, to: SocketAddr, now: Millis) -> DueObservations {
        self.sent.remove(&to);
        self.record_sent(to, now)
    }

    /// Number of the next datagram.
    pub fn next_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    /// Records the number of a datagram of a peer; false if it was repeated or overtaken by a later
    /// one.
    pub fn is_newer(&mut self, from: PeerId, number: u32, now: Millis) -> bool {
        let last = self.received.get(&from);
        if last.is_some_and(|(last, _)| number <= *last) {
            return false;
        }
        if last.is_none() && self.received.len() >= MAX_SOURCES {
            self.received
                .retain(|_, (_, at)| now - *at < FORGET_SOURCE_TIME);
            if self.received.len() >= MAX_SOURCES {
                return false;
            }
        }
        self.received.insert(from, (number, now));
        true
    }

    /// Records that an unreachable endpoint was added to the reports.
    pub fn record_new_report(&mut self, now: Millis) {
        self.reported_at = Some(now);
    }

    /// Whether reports of unreachable endpoints are repeated in a round.
    pub fn repeats_reports(&self, now: Millis) -> bool {
        self.reported_at
            .is_some_and(|at| now - at < REPEAT_REPORTS_TIME)
    }

    /// Whether a datagram of this length that only reports unreachable endpoints may be sent; if
    /// so, counts it.
    pub fn may_send_reports(&mut self, bytes: usize, now: Millis) -> bool {
        let drained = (now - self.report_bytes_at).0 as f64 * REPORT_BYTES_PER_MS;
        self.report_bytes = (self.report_bytes - drained).max(0.0);
        self.report_bytes_at = now;
        let total = self.report_bytes + (bytes + HEADER_BYTES) as f64;
        let may_send = total <= MAX_REPORT_BURST_BYTES;
        if may_send {
            self.report_bytes = total;
        }
        may_send
    }

    fn record_sent(&mut self, to: SocketAddr, now: Millis) -> DueObservations {
        let before = self.sent.get(&to).copied();
        let last = before.map_or(Millis(0), |sent| sent.last);
        let sent = SentTimes {
            last: now,
            before_last: last,
        };
        self.sent.insert(to, sent);
        DueObservations {
            since: before.map_or(Millis(0), |sent| sent.before_last),
            most: before.map_or(MAX_FIRST_TIMES, |_| MAX_REGULAR_TIMES),
        }
    }
}
