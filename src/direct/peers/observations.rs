//! The datagram in which an entry shares what it observed of endpoints, and when it is sent to
//! which peer.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::direct::known::observed::ObservedTime;

/// Time between two regular datagrams, of which each goes to one peer: with
/// [`MAX_REGULAR_TIMES`] they take about 1.2 KB/s.
const SEND_INTERVAL: Millis = Millis(450);
/// Endpoints in a regular datagram.
const MAX_REGULAR_TIMES: usize = 48;
/// Endpoints in the datagram to a peer that was not sent any before; it fits one packet.
const MAX_FIRST_TIMES: usize = 110;
/// Cycles through all peers after which a peer that is not sent to any more is forgotten.
const FORGET_CYCLES: u64 = 8;

/// Observations that an entry shares.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedObservations {
    /// Times of an event at endpoints.
    pub times: Vec<SharedTime>,
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
