//! Datagrams about limits between entries. They are separate from the other datagrams: none are
//! sent while no endpoint announces a limit, and entries that do not know them discard them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::LimitObservation;
use crate::clock::Millis;
use crate::direct::peers::ZoneId;
use crate::rate::Rate;

/// First byte of such a datagram; no other datagram between entries starts with it.
const MESSAGE_TAG: u8 = 0xfe;
/// Largest encoded datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 512;
/// Most observations in one datagram, of 17 bytes each. With nine peers per gossip round this takes
/// 9 KB/s while limits begin.
pub const MAX_OBSERVATIONS: usize = 8;

/// A datagram about limits. The order of variants and fields is part of the encoding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// An entry asks the coordinator of an endpoint for permits.
    Ask(PermitRequest),
    /// The coordinator's response.
    Answer(PermitResponse),
    /// What endpoints announced to the sender, by the endpoints' digests.
    Told(Vec<(u32, WireObservation)>),
}

/// Asks the coordinator of an endpoint for permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Identifies this request among those of its sender; the response repeats it.
    pub number: u32,
    /// Digest of the endpoint's identity and incarnation.
    pub endpoint: u32,
    /// The endpoint's availability zone; `None` if its name is empty.
    pub zone: Option<ZoneId>,
    /// Urgency band of the request; 0 is the most urgent.
    pub band: u8,
    /// Number of permits that the sender can use at once.
    pub wanted: u8,
    /// What the endpoint announced to the sender itself; `None` if the sender only has reports of
    /// peers.
    pub word: Option<WireObservation>,
}

/// The response to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitResponse {
    /// The number of the permit request.
    pub number: u32,
    /// What the asker gets.
    pub given: PermitGrant,
    /// What the coordinator knows, if its limit differs from the one in the permit request.
    pub word: Option<WireObservation>,
}

/// What an entry that asked for permits gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitGrant {
    /// Permits to send this many requests now.
    Permits(u8),
    /// No permit; it may ask again after this many milliseconds.
    Nothing(u32),
    /// No permit; this other entry is the coordinator.
    Elsewhere(SocketAddr),
}

/// A [`LimitObservation`] with ages in place of times, since the clocks of entries differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireObservation {
    limit: Option<Rate>,
    sent_ago_ms: u32,
    heard_ago_ms: u32,
}

impl WireObservation {
    /// Converts an observation for sending now.
    pub fn of(observation: &LimitObservation, now: Millis) -> Self {
        Self {
            limit: observation.limit,
            sent_ago_ms: (now - observation.sent_at).as_u32(),
            heard_ago_ms: (now - observation.received_at).as_u32(),
        }
    }

    /// Converts the received ages back into times on the local clock.
    pub fn observation(&self, now: Millis) -> LimitObservation {
        LimitObservation {
            limit: self.limit,
            sent_at: now - Millis(self.sent_ago_ms.into()),
            received_at: now - Millis(self.heard_ago_ms.into()),
        }
    }
}

/// Encodes a datagram; `None` if it would exceed [`MAX_DATAGRAM_BYTES`] or cannot be encoded.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    let mut bytes = vec![MESSAGE_TAG];
    let config = bincode::config::standard();
    bytes.extend(bincode::serde::encode_to_vec(message, config).ok()?);
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// Decodes a datagram; `None` if it is not one of these or is malformed.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let payload = bytes.strip_prefix(&[MESSAGE_TAG])?;
    let config = bincode::config::standard().with_limit::<{ 4 * MAX_DATAGRAM_BYTES }>();
    let (message, read) = bincode::serde::decode_from_slice(payload, config).ok()?;
    (read == payload.len()).then_some(message)
}
