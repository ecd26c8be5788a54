//! What entries tell each other of the streams that they began, in datagrams of
//! [`SharedKind::Origins`](crate::direct::peers::SharedKind).

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Origin, PoolDigest, StreamKey};
use crate::clock::Millis;

/// Maximum number of streams in one datagram: each takes 19 bytes at most.
pub const MAX_TOLD_STREAMS: usize = 64;
/// Maximum number of versions in an answer. A pool with more is not taken for one with a single one
/// either way.
pub const MAX_VERSIONS: usize = 8;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// Streams that the sender began, for the receiver to remember.
    Began(Vec<(StreamKey, Origin)>),
    /// A question.
    Query(OriginQuery),
    /// The answer to one.
    Answer(OriginAnswer),
}

/// Asks where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// Number of the query, repeated in the answer.
    pub number: u32,
    /// The stream; `None` where its caller doesn't name it.
    pub stream: Option<StreamKey>,
    /// The pools that it may go on in.
    pub pools: Vec<PoolDigest>,
}

/// What an entry knows of a stream, and of the pools that it may go on in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// Number of the query.
    pub number: u32,
    /// Where the stream began; `None` where the sender doesn't remember it.
    pub origin: Option<Origin>,
    /// What it knows of the pools.
    pub pools: PoolVersions,
}

/// The versions of which pools have had endpoints within the time that a stream can take.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolVersions {
    /// The versions.
    pub versions: Vec<Origin>,
    /// Time for which none can have been missed, in ms; 0 if the sender's list may be old.
    pub known_for: Millis,
}

impl PoolVersions {
    /// Adds what another entry knows.
    pub fn merge(&mut self, other: &Self) {
        for origin in &other.versions {
            if !self.versions.contains(origin) {
                self.versions.push(*origin);
            }
        }
        self.known_for = self.known_for.max(other.known_for);
    }

    /// The only version at which a stream can have begun that takes `stream_life` at most; `None` if
    /// there may be several.
    pub fn only_version(&self, stream_life: Millis) -> Option<Origin> {
        match &self.versions[..] {
            [origin] if self.known_for >= stream_life => Some(*origin),
            _ => None,
        }
    }
}

/// A query under way: the peers that have not answered, and what the others know.
#[derive(Debug)]
pub struct PendingQuery {
    /// Peers that have not answered.
    pub unanswered: Vec<SocketAddr>,
    /// The pools that the stream may go on in.
    pools: Vec<PoolDigest>,
    /// Where the stream began, once a peer said so.
    pub origin: Option<Origin>,
    /// What this entry and the peers know of the pools.
    pub known: PoolVersions,
}

impl PendingQuery {
    /// A query to some peers by an entry that knows `known` of the pools.
    pub fn new(peers: Vec<SocketAddr>, pools: &[PoolDigest], known: PoolVersions) -> Self {
        Self {
            unanswered: peers,
            pools: pools.to_vec(),
            origin: None,
            known,
        }
    }

    /// Whether nothing is left to wait for.
    pub fn is_done(&self) -> bool {
        self.origin.is_some() || self.unanswered.is_empty()
    }

    /// Records a peer's answer; one of a peer that was not asked, or has answered, counts nothing.
    pub fn record(&mut self, from: SocketAddr, answer: &OriginAnswer) {
        let Some(at) = self.unanswered.iter().position(|peer| *peer == from) else {
            return;
        };
        self.unanswered.swap_remove(at);
        self.known.merge(&answer.pools);
        // In a pool that the route has left the stream can't go on.
        let origin = answer.origin.filter(|o| self.pools.contains(&o.pool));
        self.origin = self.origin.or(origin);
    }
}
