//! Datagrams in which entries share what only some deployments need: what they learned for mixed
//! pools, where streams began, and what a restored store has lost. They are separate from the gossip messages: none are sent where
//! there is no need, and entries that do not know them discard them.

use serde::de::DeserializeOwned;
use serde::Serialize;

use super::{PeerId, MAX_REMOTE_BYTES};

/// First bytes of such a datagram. No other datagram between entries starts with them: bincode
/// never writes 0xff as the first byte of a number, so notices have no such second byte.
const MARKER: [u8; 2] = [0xff, 0xff];
/// Length of the marker, the kind and the sender's identity, in bytes.
const HEAD_BYTES: usize = MARKER.len() + 1 + 8;
/// Memory that a decoded datagram may take, in bytes.
const MAX_DECODED_BYTES: usize = 8 * MAX_REMOTE_BYTES;

/// What a datagram shares. The numbers are part of the encoding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharedKind {
    /// What the sender observed of endpoints.
    Observations = 1,
    /// Where streams began.
    Origins = 2,
    /// Parts of prompts under which endpoints ended.
    Parts = 3,
    /// Ends of endpoints that a restored store has lost.
    LostEnds = 4,
}

impl SharedKind {
    fn from_byte(byte: u8) -> Option<Self> {
        let all = [
            Self::Observations,
            Self::Origins,
            Self::Parts,
            Self::LostEnds,
        ];
        all.into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// Encodes a datagram; `None` if it would not fit one packet, of [`MAX_REMOTE_BYTES`].
pub fn encode_shared(kind: SharedKind, from: PeerId, payload: &impl Serialize) -> Option<Vec<u8>> {
    let mut bytes = MARKER.to_vec();
    bytes.push(kind as u8);
    bytes.extend(from.0.to_be_bytes());
    let config = bincode::config::standard();
    bytes.extend(bincode::serde::encode_to_vec(payload, config).ok()?);
    (bytes.len() <= MAX_REMOTE_BYTES).then_some(bytes)
}

/// Splits a datagram into its kind, its sender and its payload; `None` if it is of another format.
pub fn split_shared(bytes: &[u8]) -> Option<(SharedKind, PeerId, &[u8])> {
    let (head, payload) = bytes.split_at_checked(HEAD_BYTES)?;
    let [kind, id @ ..] = head.strip_prefix(&MARKER)? else {
        return None;
    };
    let id = id.try_into().ok()?;
    Some((
        SharedKind::from_byte(*kind)?,
        PeerId(u64::from_be_bytes(id)),
        payload,
    ))
}

/// Decodes the payload of a datagram; `None` if it is malformed.
pub fn decode_shared<T: DeserializeOwned>(payload: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (decoded, read) = bincode::serde::decode_from_slice(payload, config).ok()?;
    (read == payload.len()).then_some(decoded)
}
