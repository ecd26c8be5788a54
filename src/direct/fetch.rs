//! Fetching from a peer what it has and this entry has not: a newer configuration, or changes.
//!
//! Each begins with [`Entry::begin_fetch`], and ends it when it is over.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{RequestHead, StatusCode};
use bytes::Bytes;

use crate::direct::changes;
use crate::direct::entry::{Entry, Fetch};
use crate::direct::ready;
use crate::direct::sync::{CallError, Document, Reading, StoreClient};
use crate::direct::versions;

/// Time for a peer's answer to begin.
const FETCH_TIME: Duration = Duration::from_millis(800);

/// Takes a newer configuration from a peer; the store may not be reachable from here.
pub async fn catalog(entry: Rc<Entry>, from: SocketAddr) {
    let query = ready::catalog_since_query(entry.version());
    match ask(&entry, from, Document::Catalog, query).await {
        Ok((status, body)) if status.is_success() => match versions::decode(&body) {
            Some(newer) => {
                if !entry.take_newer(newer, &from.to_string()) {
                    tracing::debug!(%from, "a peer's patches do not lead on from here");
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

/// Takes the changes of the list that a peer has and this entry has not.
pub async fn changes(entry: Rc<Entry>, from: SocketAddr) {
    let query = ready::changes_query(entry.listed_up_to());
    match ask(&entry, from, Document::Changes, query).await {
        Ok((status, body)) if status.is_success() => match changes::decode(&body) {
            Some(passed) => {
                let before = entry.listed_up_to();
                entry.take_passed_on(passed);
                entry.log_list_known(before, &from.to_string());
            }
            None => {
                tracing::warn!(%from, "a peer's changes can't be decoded, asking the store");
                entry.watch_again.notify_one();
            }
        },
        Ok((status, _)) => {
            tracing::debug!(%status, %from, "a peer does not keep the changes, asking the store");
            entry.changes_not_kept(from);
            if entry.store_is_away() {
                whole_list(&entry, from).await;
            }
        }
        Err(err) => tracing::debug!(%err, %from, "a peer's changes could not be fetched"),
    }
    entry.end_fetch(Fetch::Changes);
}

/// Takes the whole list of a peer, where the store can't tell what is missing.
async fn whole_list(entry: &Entry, from: SocketAddr) {
    match ask(entry, from, Document::List, ready::list_query()).await {
        Ok((status, body)) if status.is_success() => match changes::decode(&body) {
            Some(passed) => {
                let before = entry.listed_up_to();
                entry.take_whole_list(passed);
                entry.log_list_known(before, &from.to_string());
            }
            None => tracing::warn!(%from, "a peer's list can't be decoded"),
        },
        Ok((status, _)) => tracing::debug!(%status, %from, "a peer does not tell its list"),
        Err(err) => tracing::debug!(%err, %from, "a peer's list could not be fetched"),
    }
}

/// Makes one call to a peer, where it answers operators and peers.
async fn ask(
    entry: &Entry,
    peer: SocketAddr,
    document: Document,
    query: RequestHead,
) -> Result<(StatusCode, Bytes), CallError> {
    let address = SocketAddr::new(peer.ip(), entry.settings.borrow().admin.port());
    let client = StoreClient::new(address);
    let reading = Reading::begin(entry, document, Some(peer));
    let answer = client.call(query, FETCH_TIME).await;
    let failure = match &answer {
        Ok((status, _)) if !status.is_success() => Some(format!("status {}", status.as_u16())),
        Ok(_) => None,
        Err(err) => Some(err.to_string()),
    };
    reading.end(entry, &client, failure);
    answer
}
