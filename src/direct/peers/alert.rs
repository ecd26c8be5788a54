//! Notices about suspect requests, as they are sent to peers. They have datagrams of their own,
//! since there are none on most days, and entries that don't know the format drop them.

use crate::quarantine::{Notice, MAX_NOTICES_PER_MESSAGE};

use super::MAX_DATAGRAM_BYTES;

/// First byte of a datagram of notices. No [`super::GossipMessage`] begins with it, since bincode
/// never writes it as the first byte of a number.
const NOTICE_MARKER: u8 = 0xff;

/// Encodes at most [`MAX_NOTICES_PER_MESSAGE`] notices; `None` if there are none.
pub fn encode_notices(notices: &[Notice]) -> Option<Vec<u8>> {
    let sent = &notices[..notices.len().min(MAX_NOTICES_PER_MESSAGE)];
    if sent.is_empty() {
        return None;
    }
    let mut bytes = vec![NOTICE_MARKER];
    let config = bincode::config::standard();
    bytes.extend(bincode::serde::encode_to_vec(sent, config).ok()?);
    Some(bytes)
}

/// Decodes a datagram of notices; `None` if it is of another kind.
pub fn decode_notices(bytes: &[u8]) -> Option<Vec<Notice>> {
    let payload = bytes.strip_prefix(&[NOTICE_MARKER])?;
    let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
    let (notices, read_bytes) = bincode::serde::decode_from_slice(payload, config).ok()?;
    (read_bytes == payload.len()).then_some(notices)
}
