//! Records of reads from the store and from peers, for logs and metrics: which document, how the
//! read ended, how many bytes arrived and how long it took.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::client::MAX_BODY_BYTES;
use super::StoreClient;
use crate::clock::Millis;
use crate::direct::decision::Decision;
use crate::direct::entry::Entry;

/// Bytes from which on a successful read is logged as well: half a second of a link's share for
/// control traffic (28 KB/s).
const MIN_LOGGED_BYTES: u64 = 14 << 10;

/// Longest page of a list: the store's are of about 1 MB, and peers' lists are compressed.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// The document that is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Document {
    /// The list of endpoints, or a page of it.
    List,
    /// The configuration.
    Catalog,
    /// Changes, from a watch of the store or from a peer.
    Changes,
    /// The store's revision.
    Revision,
}

impl Document {
    /// Longest body that holds it, in bytes.
    pub(in crate::direct) const fn max_bytes(self) -> usize {
        match self {
            Self::List | Self::Revision => MAX_PAGE_BYTES,
            Self::Catalog | Self::Changes => MAX_BODY_BYTES,
        }
    }

    const fn label(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Catalog => "catalog",
            Self::Changes => "changes",
            Self::Revision => "revision",
        }
    }
}

/// One read in progress.
#[derive(Debug, Clone, Copy)]
pub struct OngoingRead {
    document: Document,
    /// The peer that is read from; `None` for the store.
    peer: Option<SocketAddr>,
    begun_at: Millis,
}

impl OngoingRead {
    /// Longest body that holds the document, in bytes.
    pub(super) const fn max_bytes(&self) -> usize {
        self.document.max_bytes()
    }

    /// Notes the start of a read.
    pub fn begin(entry: &Entry, document: Document, peer: Option<SocketAddr>) -> Self {
        Self {
            document,
            peer,
            begun_at: entry.clock.now(),
        }
    }

    /// Counts the read that has ended, and logs it if it was large or failed; `failure` says how.
    pub fn end(self, entry: &Entry, client: &StoreClient, failure: Option<String>) {
        let bytes = client.received_bytes();
        let source = if self.peer.is_some() { "peer" } else { "store" };
        entry.metrics.read(self.document.label(), source, bytes);
        if failure.is_none() && bytes < MIN_LOGGED_BYTES {
            return;
        }
        entry.log.state_change(Decision::DocumentRead {
            document: self.document,
            from: self
                .peer
                .map_or_else(|| source.into(), |peer| peer.to_string()),
            failure,
            bytes,
            took_ms: (entry.clock.now() - self.begun_at).0,
        });
    }
}
