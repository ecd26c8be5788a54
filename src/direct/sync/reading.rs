//! What was read from the store and from peers, for logs and metrics: which document, how the read
//! ended, how many bytes had come and how long it took.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::StoreClient;
use crate::clock::Millis;
use crate::direct::decision::Decision;
use crate::direct::entry::Entry;

/// Bytes from which on a read is told although it went well: half a second of a link's share for
/// control (28 KB/s).
const BULK: u64 = 14 << 10;

/// What is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Document {
    /// A page of the list of endpoints.
    List,
    /// The configuration.
    Catalog,
    /// Changes, by a watch of the store or from a peer.
    Changes,
    /// The store's revision.
    Revision,
}

impl Document {
    const fn label(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Catalog => "catalog",
            Self::Changes => "changes",
            Self::Revision => "revision",
        }
    }
}

/// One read that is under way.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    document: Document,
    /// The peer that is asked; `None` for the store.
    peer: Option<SocketAddr>,
    begun: Millis,
}

impl Reading {
    /// A read begins.
    pub fn begin(entry: &Entry, document: Document, peer: Option<SocketAddr>) -> Self {
        Self {
            document,
            peer,
            begun: entry.clock.now(),
        }
    }

    /// It ended; `failure` says how it failed.
    pub fn end(self, entry: &Entry, client: &StoreClient, failure: Option<String>) {
        let bytes = client.received();
        let source = if self.peer.is_some() { "peer" } else { "store" };
        entry.gauges.read(self.document.label(), source, bytes);
        if failure.is_none() && bytes < BULK {
            return;
        }
        entry.log.state_change(Decision::DocumentRead {
            document: self.document,
            from: self
                .peer
                .map_or_else(|| source.into(), |peer| peer.to_string()),
            failure,
            bytes,
            took_ms: (entry.clock.now() - self.begun).0,
        });
    }
}
