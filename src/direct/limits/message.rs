//! What entries say to each other of limits, in datagrams of their own: there are none where no endpoint names a limit, and
//! entries that don't know them drop them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::LimitObservation;
use crate::clock::Millis;
use crate::direct::peers::ZoneId;
use crate::rate::Rate;

/// First byte of such a datagram; no other datagram between entries begins with it.
const MARK: u8 = 0xfe;
/// Longest such datagram, in bytes.
const MOST_BYTES: usize = 512;
/// Words told in one datagram at most, 17 bytes each: with nine peers in a round 9 KB a second while limits begin.
pub const MAX_OBSERVATIONS: usize = 8;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// An entry asks the coordinator of an endpoint for a permit.
    Ask(PermitRequest),
    /// The answer.
    Answer(PermitResponse),
    /// What endpoints said to the sender.
    Told(Vec<(u32, WireObservation)>),
}

/// A question for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The asker's number of it.
    pub number: u32,
    /// Digest of the endpoint's life.
    pub endpoint: u32,
    /// The endpoint's availability zone.
    pub zone: Option<ZoneId>,
    /// Band of the request's urgency.
    pub band: u8,
    /// Permits that it can use at once.
    pub wanted: u8,
    /// What the endpoint said to the asker; `None` where it has only heard of it.
    pub word: Option<WireObservation>,
}

/// The answer to one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitResponse {
    /// The asker's number.
    pub number: u32,
    /// What it gets.
    pub given: PermitGrant,
    /// The newest word that the coordinator knows, where that differs from the asker's.
    pub word: Option<WireObservation>,
}

/// What an asker gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitGrant {
    /// Permits to send so many requests now.
    Permits(u8),
    /// Nothing; it may ask again after so many ms.
    Nothing(u32),
    /// Nothing; another entry decides.
    Elsewhere(SocketAddr),
}

/// A word with times as ages, since entries' clocks differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireObservation {
    limit: Option<Rate>,
    sent_ago_ms: u32,
    heard_ago_ms: u32,
}

impl WireObservation {
    /// A word as it is told now.
    pub fn of(word: &LimitObservation, now: Millis) -> Self {
        Self {
            limit: word.limit,
            sent_ago_ms: (now - word.sent_at).as_u32(),
            heard_ago_ms: (now - word.received_at).as_u32(),
        }
    }

    /// The word as it is heard now.
    pub fn observation(&self, now: Millis) -> LimitObservation {
        LimitObservation {
            limit: self.limit,
            sent_at: now - Millis(self.sent_ago_ms.into()),
            received_at: now - Millis(self.heard_ago_ms.into()),
        }
    }
}

/// Writes a datagram; `None` when it would be too long.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    let mut bytes = vec![MARK];
    let config = bincode::config::standard();
    bytes.extend(bincode::serde::encode_to_vec(message, config).ok()?);
    (bytes.len() <= MOST_BYTES).then_some(bytes)
}

/// Reads a datagram; `None` when it is none of these.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let text = bytes.strip_prefix(&[MARK])?;
    let config = bincode::config::standard().with_limit::<{ 4 * MOST_BYTES }>();
    let (message, read) = bincode::serde::decode_from_slice(text, config).ok()?;
    (read == text.len()).then_some(message)
}
