//! What an entry tells peers of requests under suspicion, in datagrams of their own: there are none on most days, and
//! entries that don't know them drop them.

use crate::quarantine::{Notice, MAX_NOTICES_PER_MESSAGE};

use super::MAX_DATAGRAM_BYTES;

/// First byte of such a datagram; no [`super::GossipMessage`] begins with it, since bincode never writes it first in a number.
const MARK: u8 = 0xff;

/// Writes a datagram; `None` where there is nothing to tell.
pub fn encode_notices(notices: &[Notice]) -> Option<Vec<u8>> {
    let told = &notices[..notices.len().min(MAX_NOTICES_PER_MESSAGE)];
    if told.is_empty() {
        return None;
    }
    let mut bytes = vec![MARK];
    let config = bincode::config::standard();
    bytes.extend(bincode::serde::encode_to_vec(told, config).ok()?);
    Some(bytes)
}

/// Reads a datagram; `None` when it is none of these.
pub fn decode_notices(bytes: &[u8]) -> Option<Vec<Notice>> {
    let text = bytes.strip_prefix(&[MARK])?;
    let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
    let (notices, read) = bincode::serde::decode_from_slice(text, config).ok()?;
    (read == text.len()).then_some(notices)
}
