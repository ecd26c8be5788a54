//! What an entry tells a peer in one datagram, and how it is written.

use std::cmp::Reverse;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::compact;
use super::zones::ZoneId;
use super::PromptPlacement;
use crate::direct::load::EndpointWork;

/// Longest datagram that is sent or read, in bytes: below the usual limit of a packet on a path.
pub const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Memory that a datagram takes once read, at most, in bytes: an item of work takes 12 bytes on
/// the wire and 32 in memory.
const MOST_DECODED: usize = 8 * MAX_DATAGRAM_BYTES;

/// One life of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerId(pub u64);

/// Whose work a datagram tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkScope {
    /// The sender's own; nothing is told of others.
    Sender,
    /// That of all entries of the sender's availability zone, as far as it hears them.
    Zone,
    /// Nobody's: the datagram tells the rest alone.
    Nothing,
}

/// What an entry tells its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender.
    pub from: PeerId,
    /// Number of this datagram; rises.
    pub number: u64,
    /// Number of the receiver's datagram that the sender heard last.
    pub echo: Option<u64>,
    /// Configuration version in force at the sender.
    pub version: u64,
    /// Age of its proof in ms; `None` when there is none.
    pub proof_age_ms: Option<u64>,
    /// Revision of the store up to which the sender's list of endpoints is complete.
    pub revision: u64,
    /// Revision after which the sender keeps all changes of the list, to pass them on.
    pub changes_after: u64,
    /// Revision of the store up to which `version` is known to be the newest.
    pub catalog_revision: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// Whether it watches the store, which answers it, and so hears of changes first.
    pub watches: bool,
    /// Whether a large answer of the store is on its way to the sender, whose proof then waits.
    pub reads_large: bool,
    /// Bandwidth of the sender's link, in Mbit/s; 0 where it is not known.
    pub link_mbps: u32,
    /// The sender's availability zone; `None` where it is not known.
    pub zone: Option<ZoneId>,
    /// Entries that serve in that zone, the sender included.
    pub zone_entries: u32,
    /// Whether the sender wants an answer at once: its proof grows old.
    pub wants_reply: bool,
    /// Addresses of some entries.
    pub peer_addresses: Vec<SocketAddr>,
    /// Whose work follows.
    pub work_scope: WorkScope,
    /// Work at endpoints, by the digest of their identity; those at rest are left out.
    #[serde(with = "compact")]
    pub work: Vec<(u32, EndpointWork)>,
    /// Prompts that they placed lately.
    pub placements: Vec<PromptPlacement>,
}

/// Writes a datagram; `None` when that is not possible within [`MAX_DATAGRAM_BYTES`].
pub fn encode(hello: &GossipMessage) -> Option<Vec<u8>> {
    encode_within(hello, MAX_DATAGRAM_BYTES)
}

/// Writes a datagram; `None` when that is not possible within `most` bytes.
///
/// One that would be too long leaves out placements, then the least of the sender's work: were it not
/// sent, peers would also miss the proof, the version and the revisions in it, and take the
/// sender for silent.
pub fn encode_within(hello: &GossipMessage, most: usize) -> Option<Vec<u8>> {
    let bytes = write(hello)?;
    if bytes.len() <= most {
        return Some(bytes);
    }
    let mut shorter = hello.clone();
    shorter.placements.clear();
    let weight = |work: &EndpointWork| Reverse((work.running, work.total_unread()));
    shorter.work.sort_by_key(|(_, work)| weight(work));
    loop {
        let bytes = write(&shorter)?;
        if bytes.len() <= most {
            return Some(bytes);
        }
        if shorter.work.is_empty() {
            return None;
        }
        shorter.work.truncate(shorter.work.len() * 3 / 4);
    }
}

fn write(hello: &GossipMessage) -> Option<Vec<u8>> {
    bincode::serde::encode_to_vec(hello, bincode::config::standard()).ok()
}

/// Reads a datagram; `None` when it is not one of ours.
pub fn decode(bytes: &[u8]) -> Option<GossipMessage> {
    let config = bincode::config::standard().with_limit::<MOST_DECODED>();
    let (hello, read) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    (read == bytes.len()).then_some(hello)
}
