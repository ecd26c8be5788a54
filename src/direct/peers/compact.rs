//! Wire format of work at endpoints. Token counts are sent in blocks, rounded up, so that an
//! endpoint takes 13 bytes instead of 22 and the work of a whole zone fits one packet.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::direct::known::load::{EndpointWork, BANDS};

/// Prompt tokens per block, for `unread` and `pressure`.
const UNREAD_BLOCK: u32 = 64;
/// Tokens of memory per block, for `held`.
const HELD_BLOCK: u32 = 256;
/// Hundredths of a stream per block, for `pause_sensitivity`.
const PAUSE_SENSITIVITY_BLOCK: u32 = 4;

/// Work at one endpoint; the token counts and `pause_sensitivity` are in blocks.
#[derive(Serialize, Deserialize)]
struct CompactWork {
    /// Digest of the endpoint's incarnation. Its values are evenly spread, so a fixed length is
    /// shorter than bincode's variable one.
    endpoint: [u8; 4],
    running: u32,
    unread: [u32; BANDS],
    held: u32,
    #[serde(rename = "delicate")]
    pause_sensitivity: u32,
    pressure: u32,
}

impl CompactWork {
    fn from_work(endpoint: u32, work: &EndpointWork) -> Self {
        Self {
            endpoint: endpoint.to_be_bytes(),
            running: work.running,
            unread: work.unread.map(|tokens| tokens.div_ceil(UNREAD_BLOCK)),
            held: work.held.div_ceil(HELD_BLOCK),
            pause_sensitivity: work.pause_sensitivity.div_ceil(PAUSE_SENSITIVITY_BLOCK),
            pressure: work.pressure.div_ceil(UNREAD_BLOCK),
        }
    }

    fn to_work(&self) -> (u32, EndpointWork) {
        let work = EndpointWork {
            running: self.running,
            unread: self
                .unread
                .map(|compact| compact.saturating_mul(UNREAD_BLOCK)),
            held: self.held.saturating_mul(HELD_BLOCK),
            pause_sensitivity: self
                .pause_sensitivity
                .saturating_mul(PAUSE_SENSITIVITY_BLOCK),
            pressure: self.pressure.saturating_mul(UNREAD_BLOCK),
        };
        (u32::from_be_bytes(self.endpoint), work)
    }
}

/// Serializes work at endpoints, by their digests.
pub(super) fn serialize<S: Serializer>(
    work: &[(u32, EndpointWork)],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let compact = work
        .iter()
        .map(|(endpoint, work)| CompactWork::from_work(*endpoint, work));
    serializer.collect_seq(compact)
}

/// Deserializes work at endpoints, by their digests.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(u32, EndpointWork)>, D::Error> {
    let compact = Vec::<CompactWork>::deserialize(deserializer)?;
    Ok(compact.iter().map(CompactWork::to_work).collect())
}
