//! Work on the wire: counts of tokens are told in blocks, rounded up, so that an endpoint takes 13 bytes
//! instead of 22 and a whole zone's work fits a packet.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::direct::load::{EndpointWork, BANDS};

/// Tokens to read in a block.
const UNREAD_BLOCK: u32 = 64;
/// Tokens of memory in a block.
const HELD_BLOCK: u32 = 256;
/// Hundredths of a delicate stream in a block.
const DELICATE_BLOCK: u32 = 4;

/// Work at one endpoint, in blocks.
#[derive(Serialize, Deserialize)]
struct Blocks {
    /// Digest of the endpoint's identity: evenly spread, so that a fixed length is the shortest.
    endpoint: [u8; 4],
    running: u32,
    unread: [u32; BANDS],
    held: u32,
    delicate: u32,
    pressure: u32,
}

impl Blocks {
    fn of(endpoint: u32, work: &EndpointWork) -> Self {
        Self {
            endpoint: endpoint.to_be_bytes(),
            running: work.running,
            unread: work.unread.map(|tokens| tokens.div_ceil(UNREAD_BLOCK)),
            held: work.held.div_ceil(HELD_BLOCK),
            delicate: work.pause_sensitivity.div_ceil(DELICATE_BLOCK),
            pressure: work.pressure.div_ceil(UNREAD_BLOCK),
        }
    }

    fn work(&self) -> (u32, EndpointWork) {
        let work = EndpointWork {
            running: self.running,
            unread: self
                .unread
                .map(|blocks| blocks.saturating_mul(UNREAD_BLOCK)),
            held: self.held.saturating_mul(HELD_BLOCK),
            pause_sensitivity: self.delicate.saturating_mul(DELICATE_BLOCK),
            pressure: self.pressure.saturating_mul(UNREAD_BLOCK),
        };
        (u32::from_be_bytes(self.endpoint), work)
    }
}

/// Writes work at endpoints.
pub(super) fn serialize<S: Serializer>(
    work: &[(u32, EndpointWork)],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let blocks = work
        .iter()
        .map(|(endpoint, work)| Blocks::of(*endpoint, work));
    serializer.collect_seq(blocks)
}

/// Reads work at endpoints.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(u32, EndpointWork)>, D::Error> {
    let blocks = Vec::<Blocks>::deserialize(deserializer)?;
    Ok(blocks.iter().map(Blocks::work).collect())
}
