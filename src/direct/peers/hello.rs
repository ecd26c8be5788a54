//! The message that an entry sends to a peer in one datagram, and its encoding.

use std::cmp::Reverse;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::compact;
use super::zones::ZoneId;
use super::PromptPlacement;
use crate::direct::directory::{Era, Revision};
use crate::direct::known::load::EndpointWork;

/// Longest datagram that is sent or read, in bytes: below the usual limit of a packet on a path.
pub const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Memory that a decoded datagram may take, in bytes: an item of work takes 12 bytes on the wire
/// and 32 in memory.
const MAX_DECODED_BYTES: usize = 8 * MAX_DATAGRAM_BYTES;

/// One incarnation of an entry: a random number, drawn when its process starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerId(pub u64);

/// Whose work a message reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkScope {
    /// The sender's own.
    Sender,
    /// That of all entries of the sender's availability zone, as far as it hears them.
    Zone,
    /// Nobody's: only the other fields count.
    Nothing,
}

/// State of an entry, as it sends it to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender.
    pub from: PeerId,
    /// Number of this message; rises with each that the sender sends to anyone. The bit
    /// [`READS_ERAS`] is set in all numbers of a sender that reads the eras of revisions.
    pub number: u64,
    /// Number of the last message that the sender received from the receiver.
    pub echo: Option<u64>,
    /// Configuration version in force at the sender.
    pub version: u64,
    /// Age of the sender's freshness proof in ms; `None` if it has none.
    pub proof_age_ms: Option<u64>,
    /// Revision of the store up to which the sender's list of endpoints is complete.
    pub revision: Revision,
    /// Revision after which the sender keeps all changes of the list, to forward them.
    pub changes_after: Revision,
    /// Revision of the store up to which `version` is known to be the newest.
    pub catalog_revision: Revision,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// Whether the sender watches the store and gets answers, and so learns of changes first.
    pub watches: bool,
    /// Whether the sender is receiving a large response of the store, for which its proof has to
    /// wait.
    pub reads_large: bool,
    /// Bandwidth of the sender's link, in Mbit/s; 0 where it is not known.
    pub link_mbps: u32,
    /// The sender's availability zone; `None` where it is not known.
    pub zone: Option<ZoneId>,
    /// Number of entries that serve in that zone, the sender included.
    pub zone_entries: u32,
    /// Whether the sender wants a reply at once, since its proof grows old.
    #[serde(rename = "asks")]
    pub wants_reply: bool,
    /// Addresses of some other entries.
    #[serde(rename = "others")]
    pub peer_addresses: Vec<SocketAddr>,
    /// Whose work follows.
    #[serde(rename = "covers")]
    pub work_scope: WorkScope,
    /// Work at endpoints, by the digest of the endpoint's incarnation. Endpoints without work are
    /// left out.
    #[serde(with = "compact")]
    pub work: Vec<(u32, EndpointWork)>,
    /// Placements of prompts made lately, by the entries in `work_scope`.
    #[serde(rename = "placed")]
    pub placements: Vec<PromptPlacement>,
    /// Era in which `version` was written, as far as the sender knows; encoded with the eras of the revisions.
    #[serde(skip)]
    pub version_era: Option<Era>,
    /// Whether the eras of the revisions are named; they follow the other fields. Entries of earlier
    /// builds reject messages with eras, so only those that read them are sent any.
    #[serde(skip)]
    pub names_eras: bool,
}

/// Bit of the numbers of senders that read eras. Entries of earlier builds never set it, and only
/// echo numbers and compare those of one sender.
pub const READS_ERAS: u64 = 1 << 63;

/// The eras of a message's revisions, in the order of its fields, and that of its version.
type MessageEras = [Option<Era>; 4];

impl GossipMessage {
    /// Whether its sender reads the eras of revisions.
    pub const fn reads_eras(&self) -> bool {
        self.number & READS_ERAS != 0
    }

    fn eras(&self) -> MessageEras {
        [
            self.revision.era,
            self.changes_after.era,
            self.catalog_revision.era,
            self.version_era,
        ]
    }

    fn set_eras(&mut self, eras: MessageEras) {
        let [revision, changes_after, catalog_revision, version] = eras;
        self.revision.era = revision;
        self.changes_after.era = changes_after;
        self.catalog_revision.era = catalog_revision;
        self.version_era = version;
        self.names_eras = true;
    }
}

/// Encodes a message; `None` if it can't be made to fit [`MAX_DATAGRAM_BYTES`].
pub fn encode(message: &GossipMessage) -> Option<Vec<u8>> {
    encode_within(message, MAX_DATAGRAM_BYTES)
}

/// Encodes a message; `None` if it can't be made to fit `max_bytes` bytes.
///
/// Of one that would be too long the placements are left out, then the endpoints with the least
/// work. Were it not sent, peers would also miss the proof, the version and the revisions in it,
/// and take the sender for silent.
pub fn encode_within(message: &GossipMessage, max_bytes: usize) -> Option<Vec<u8>> {
    let bytes = encode_any_length(message)?;
    if bytes.len() <= max_bytes {
        return Some(bytes);
    }
    let mut shorter = message.clone();
    shorter.placements.clear();
    let weight = |work: &EndpointWork| Reverse((work.running, work.total_unread()));
    shorter.work.sort_by_key(|(_, work)| weight(work));
    loop {
        let bytes = encode_any_length(&shorter)?;
        if bytes.len() <= max_bytes {
            return Some(bytes);
        }
        if shorter.work.is_empty() {
            return None;
        }
        shorter.work.truncate(shorter.work.len() * 3 / 4);
    }
}

fn encode_any_length(message: &GossipMessage) -> Option<Vec<u8>> {
    let config = bincode::config::standard();
    let mut bytes = bincode::serde::encode_to_vec(message, config).ok()?;
    if message.names_eras {
        bytes.extend(bincode::serde::encode_to_vec(message.eras(), config).ok()?);
    }
    Some(bytes)
}

/// Decodes a message with or without eras; `None` if the bytes are none, or are followed by others.
pub fn decode(bytes: &[u8]) -> Option<GossipMessage> {
    let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (mut message, read_bytes): (GossipMessage, _) =
        bincode::serde::decode_from_slice(bytes, config).ok()?;
    let rest = &bytes[read_bytes..];
    if rest.is_empty() {
        return Some(message);
    }
    let (eras, read_bytes) = bincode::serde::decode_from_slice(rest, config).ok()?;
    message.set_eras(eras);
    (read_bytes == rest.len()).then_some(message)
}
