//! Messages between the system's processes: bincode 2 in length-prefixed frames, bounded.
//!
//! The path of a stream carries the wire version, so a process of another version is refused
//! before any message is read.

use bytes::{Buf, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::document::{DocumentKind, Stamp, Update, MAX_DOCUMENT_BYTES};
use crate::ids::{GrantId, RequestId};
use crate::outcome::Outcome;
use crate::quarantine::Notice;

/// Path of a stream that carries one attempt at one request.
pub const REQUEST_PATH: &str = "/vl1/request";
/// Path of the stream over which two processes exchange documents.
pub const GOSSIP_PATH: &str = "/vl1/gossip";
/// Path of the stream over which an entry claims shares of teams' limits from their owner.
pub const QUOTA_PATH: &str = "/vl1/quota";
/// Largest frame, in bytes: a whole document with room for its head.
pub const MAX_FRAME: usize = MAX_DOCUMENT_BYTES + 4_096;
/// Bytes of the length before each frame.
const PREFIX: usize = 4;

/// What an entry says on a request stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToSidecar {
    /// Asks for a run slot.
    Offer(Offer),
    /// Hands over the work under a grant.
    Start(Start),
}

/// A request for a run slot; the work itself stays with the entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// The caller's request.
    pub request: RequestId,
    /// Bundle that the entry decided under.
    pub bundle: Stamp,
    /// Instance list that the entry routed by.
    pub members: Stamp,
    /// Pool asked for.
    pub pool: String,
    /// Ordinal that the entry believes to be here.
    pub ordinal: u32,
    /// Class name.
    pub class: String,
    /// Team name.
    pub team: String,
    /// Tokens expected, read and generated.
    pub est_tokens: u32,
    /// Longest wait for a grant, in ms.
    pub max_wait_ms: u32,
    /// Whether the work may run only once.
    pub once: bool,
    /// The caller's key; its home is here when the work may run only once.
    pub key: Option<Uuid>,
    /// Only asks whether anything ran under the key; a fresh key is answered as not run.
    pub query: bool,
}

/// The work, sent only after a grant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The grant it uses.
    pub grant: GrantId,
    /// Path on a plain service; empty for a model engine.
    pub path: String,
    /// The caller's body.
    pub body: Vec<u8>,
    /// Tokens that the caller has already; the run goes on after them.
    pub resume_from: u64,
}

/// What a sidecar says on a request stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromSidecar {
    /// The request waits.
    Queued(Load),
    /// A slot is held for the request.
    Granted {
        /// Names the grant in [`Start`].
        grant: GrantId,
        /// How long the slot is held, by the sidecar's clock, in ms.
        valid_ms: u32,
        /// The sidecar's load.
        load: Load,
    },
    /// The work was given to the endpoint.
    Started,
    /// The head of a plain service's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
    },
    /// A part of the answer, in order.
    Chunk {
        /// Tokens in it; 0 for a plain service.
        tokens: u32,
        /// Bytes for the caller.
        part: Vec<u8>,
    },
    /// The answer that an earlier run under the same key gave.
    Replay(Answer),
    /// The end; nothing follows.
    End {
        /// The request that ends; an entry drops the stream if it is another one.
        request: RequestId,
        /// What became of it.
        outcome: Outcome,
        /// The sidecar's load.
        load: Load,
    },
    /// What the sidecar has seen of requests under which endpoints ended; told before the end.
    Notices(Vec<Notice>),
}

/// A whole answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// How busy an endpoint is, as its sidecar counts it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Run slots.
    pub slots: u32,
    /// Slots in use.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Mean time of a run, in ms; 0 when none has finished.
    pub service_ms: u32,
}

/// What two processes say on a gossip stream, both ways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Gossip {
    /// The sender's stamps; sent at the start, on change and as a heartbeat.
    Digest {
        /// Bundle in force.
        bundle: Stamp,
        /// Instance list in force.
        members: Stamp,
    },
    /// A document that the receiver lacks.
    Document(Update),
    /// Asks for a document, as a difference to the one that the asker holds.
    Want {
        /// Kind of document.
        kind: DocumentKind,
        /// Stamp of the asker's own; the zero stamp asks for the whole.
        have: Stamp,
    },
    /// What is known of requests under which endpoints ended.
    Notices(Vec<Notice>),
}

/// Why a frame could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// The frame is longer than [`MAX_FRAME`].
    Oversize,
    /// The frame does not hold the message it should.
    Malformed,
}

/// Encodes a message with its length.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    let body = bincode::serde::encode_to_vec(message, config()).unwrap_or_default();
    let mut frame = BytesMut::with_capacity(PREFIX + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&body);
    frame.freeze()
}

/// Takes one whole frame off the front of `buf`; `None` until it has all arrived.
pub fn decode<T: DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<T>, WireError> {
    let Some(prefix) = buf.first_chunk::<PREFIX>() else {
        return Ok(None);
    };
    let len = u32::from_be_bytes(*prefix) as usize;
    if len > MAX_FRAME {
        return Err(WireError::Oversize);
    }
    if buf.len() < PREFIX + len {
        return Ok(None);
    }
    buf.advance(PREFIX);
    let body = buf.split_to(len);
    let (message, used) =
        bincode::serde::decode_from_slice(&body, config()).map_err(|_| WireError::Malformed)?;
    if used == len {
        Ok(Some(message))
    } else {
        Err(WireError::Malformed)
    }
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME>()
}
