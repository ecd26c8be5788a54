//! Fetches from a peer what it has and this entry lacks: a newer configuration, or changes of the
//! list of endpoints.
//!
//! The caller begins each fetch with [`Entry::begin_fetch`]; the fetch ends it when it is over.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{RequestHead, StatusCode};
use bytes::Bytes;

use crate::direct::changes;
use crate::direct::entry::{Entry, Fetch, ListSource};
use crate::direct::ready;
use crate::direct::sync::{CallError, Document, OngoingRead, StoreClient};
use crate::direct::versions;

/// Time for a peer's response to begin.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Fetches and applies a newer configuration from a peer, since the store may not be reachable from
/// here.
pub async fn catalog(entry: Rc<Entry>, from: SocketAddr) {
    let query = ready::catalog_since_query(entry.version());
    match request(&entry, from, Document::Catalog, query).await {
        Ok((status, body)) if status.is_success() => match versions::decode(&body) {
            Some(newer) => {
                if !entry.apply_newer_catalog(newer, &from.to_string()) {
                    tracing::debug!(%from, "a peer's patches do not apply to the version in force");
                }
                if entry.proof_age().is_none() {
                    // Keyed requests wait for the first proof.
                    entry.proof_requested.notify_one();
                }
            }
            None => {
                // The store is asked once the proof has grown old.
                tracing::warn!(%from, "a peer's configuration can't be decoded");
            }
        },
        Ok((status, _)) => tracing::debug!(%status, %from, "a peer has no configuration"),
        Err(err) => tracing::debug!(%err, %from, "a peer's configuration could not be fetched"),
    }
    entry.end_fetch(Fetch::Catalog);
}

/// Fetches and applies the changes of the list that a peer has and this entry lacks.
pub async fn changes(entry: Rc<Entry>, from: SocketAddr) {
    let query = ready::changes_query(entry.list_revision(), entry.peers.borrow().reads_eras(from));
    match request(&entry, from, Document::Changes, query).await {
        Ok((status, body)) if status.is_success() => match changes::decode(&body) {
            Some(batch) => {
                let before = entry.list_revision();
                entry.apply_peer_changes(batch);
                entry.log_list_advanced(before, ListSource::Peer(from));
            }
            None => {
                tracing::warn!(%from, "a peer's changes can't be decoded, asking the store");
                entry.rewatch_requested.notify_one();
            }
        },
        Ok((status, _)) => {
            tracing::debug!(%status, %from, "a peer does not keep the changes");
            entry.mark_changes_unavailable(from);
            if !entry.is_watching() {
                whole_list(&entry, from).await;
            }
        }
        Err(err) => tracing::debug!(%err, %from, "a peer's changes could not be fetched"),
    }
    entry.end_fetch(Fetch::Changes);
}

/// Fetches and applies the whole list of a peer, for an entry that has just started.
pub async fn first_list(entry: Rc<Entry>, from: SocketAddr) {
    whole_list(&entry, from).await;
    entry.end_fetch(Fetch::Changes);
}

/// Fetches and applies a peer's whole list, for an entry that does not watch the store and lacks
/// changes that its peers don't keep.
pub async fn whole_list(entry: &Entry, from: SocketAddr) {
    let query = ready::list_query(entry.peers.borrow().reads_eras(from));
    match request(entry, from, Document::List, query).await {
        Ok((status, body)) if status.is_success() => match changes::decode(&body) {
            Some(batch) => {
                let before = entry.list_revision();
                entry.apply_peer_list(batch);
                entry.log_list_advanced(before, ListSource::Peer(from));
            }
            None => tracing::warn!(%from, "a peer's list can't be decoded"),
        },
        Ok((status, _)) => tracing::debug!(%status, %from, "a peer does not provide its list"),
        Err(err) => tracing::debug!(%err, %from, "a peer's list could not be fetched"),
    }
}

/// Makes one call to a peer, at the port of the own administration address.
async fn request(
    entry: &Entry,
    peer: SocketAddr,
    document: Document,
    query: RequestHead,
) -> Result<(StatusCode, Bytes), CallError> {
    let address = SocketAddr::new(peer.ip(), entry.settings.borrow().admin.port());
    let client = StoreClient::new(address);
    let reading = OngoingRead::begin(entry, document, Some(peer));
    let result = client
        .call(query, FETCH_TIMEOUT, document.max_bytes())
        .await;
    let result = result.map(|(head, body)| (head.status, body));
    let failure = match &result {
        Ok((status, _)) if !status.is_success() => Some(format!("status {}", status.as_u16())),
        Ok(_) => None,
        Err(err) => Some(err.to_string()),
    };
    reading.end(entry, &client, failure);
    result
}
