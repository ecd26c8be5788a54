//! Where streams began: remembered for those that this entry relays, shared with peers, and looked up
//! for callers that resume one.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use super::Entry;
use crate::clock::Millis;
use crate::direct::origins::{
    Origin, OriginAnswer, OriginMessage, OriginQuery, PendingQuery, PoolDigest, PoolVersions,
    StreamKey, MAX_TOLD_STREAMS, MAX_VERSIONS,
};
use crate::direct::peers::{self, SharedKind};

/// How long to wait for the answers of peers; longer than two datagrams take both ways between
/// regions.
const ANSWER_TIMEOUT: Millis = Millis(150);
/// Time after which peers that have not answered are asked again.
const REPEAT_AFTER: Millis = Millis(50);
/// Age of a proof up to which the list of endpoints counts as current: an older one may lack an
/// endpoint of another version that other entries already use.
const MAX_PROOF_AGE: Millis = Millis(3_000);
/// Streams told in one gossip round once a pool has several versions: 7 KB a second.
const MAX_TOLD_PER_ROUND: usize = 8;

/// How the origin of a resumed stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginLookup {
    /// This entry remembers it.
    Own(Origin),
    /// A peer remembers it.
    Peer(Origin),
    /// Nobody remembers it, and it can have begun at this version alone.
    OnlyVersion(Origin),
    /// It may have begun at one of several versions.
    Unknown,
}

impl OriginLookup {
    /// The origin; `None` where it is not known.
    pub const fn origin(self) -> Option<Origin> {
        match self {
            Self::Own(origin) | Self::Peer(origin) | Self::OnlyVersion(origin) => Some(origin),
            Self::Unknown => None,
        }
    }

    /// Value of the metric label, and in the log.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Own(_) => "own",
            Self::Peer(_) => "peer",
            Self::OnlyVersion(_) => "only_version",
            Self::Unknown => "unknown",
        }
    }
}

/// A peer's answer to a query.
type PeerAnswer = (SocketAddr, OriginAnswer);

/// Queries that wait for answers, by number.
#[derive(Debug, Default)]
pub struct OriginQueries {
    by_number: RefCell<HashMap<u32, UnboundedSender<PeerAnswer>>>,
    next_number: Cell<u32>,
}

/// One query, registered until it is dropped.
struct RegisteredQuery<'a> {
    queries: &'a OriginQueries,
    number: u32,
}

impl Drop for RegisteredQuery<'_> {
    fn drop(&mut self) {
        self.queries.by_number.borrow_mut().remove(&self.number);
    }
}

impl OriginQueries {
    /// Registers a query; answers arrive on the returned channel.
    fn register(&self) -> (RegisteredQuery<'_>, UnboundedReceiver<PeerAnswer>) {
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let (tx, rx) = mpsc::unbounded_channel();
        self.by_number.borrow_mut().insert(number, tx);
        let queries = self;
        (RegisteredQuery { queries, number }, rx)
    }

    fn complete(&self, from: SocketAddr, answer: OriginAnswer) {
        if let Some(tx) = self.by_number.borrow().get(&answer.number) {
            // The task may have stopped waiting meanwhile.
            let _ = tx.send((from, answer));
        }
    }
}

impl Entry {
    /// Records where a stream began, before its first event is sent to the caller, and has peers keep
    /// it where the pool may have several versions. `streams` are the names by which the caller may
    /// resume it.
    pub fn record_stream(&self, streams: &[StreamKey], origin: Origin) {
        let now = self.clock.now();
        let until = now + self.stream_life();
        let is_told = self.may_have_versions(origin.pool, now);
        let mut records = self.origins.borrow_mut();
        for stream in streams {
            records.record(*stream, origin, until);
            if !is_told {
                records.record_untold(*stream);
            }
        }
        drop(records);
        if is_told {
            for stream in streams {
                self.tell_keepers(&[(*stream, origin)], now);
            }
        }
    }

    /// Records that a whole stream has been delivered to its caller.
    pub fn record_delivered_stream(&self, streams: &[StreamKey]) {
        let mut records = self.origins.borrow_mut();
        for stream in streams {
            records.record_delivery(*stream);
        }
    }

    /// Has peers keep some of the streams that began while the pool had a single version, once it may
    /// have several. Called in each gossip round.
    pub fn tell_untold_streams(&self) {
        let now = self.clock.now();
        let mut records = self.origins.borrow_mut();
        records.expire(now);
        if !self
            .directory()
            .has_several_versions(now - self.stream_life())
        {
            return;
        }
        let untold = records.take_untold(MAX_TOLD_PER_ROUND, now);
        drop(records);
        self.tell_keepers(&untold, now);
    }

    /// Where a stream began that a caller resumes in one of these pools.
    pub async fn find_origin(
        &self,
        stream: Option<StreamKey>,
        pools: &[PoolDigest],
    ) -> OriginLookup {
        let now = self.clock.now();
        let own = stream.and_then(|stream| self.origins.borrow().get(stream, now));
        let found = match own.filter(|origin| pools.contains(&origin.pool)) {
            Some(origin) => OriginLookup::Own(origin),
            None => self.ask_peers(stream, pools).await,
        };
        self.metrics.origin_lookup(found.label());
        found
    }

    async fn ask_peers(&self, stream: Option<StreamKey>, pools: &[PoolDigest]) -> OriginLookup {
        let now = self.clock.now();
        let key = stream.map_or(0, |stream| stream.0);
        let asked = self.peers.borrow().possible_keepers(key, now);
        let known = self.pool_versions(pools, now);
        let mut pending = PendingQuery::new(asked, pools, known);
        let (registered, mut rx) = self.origin_queries.register();
        let query = OriginMessage::Query(OriginQuery {
            number: registered.number,
            stream,
            pools: pools.to_vec(),
        });
        for until in [now + REPEAT_AFTER, now + ANSWER_TIMEOUT] {
            for peer in &pending.unanswered {
                self.send_origin_message(*peer, &query);
            }
            while !pending.is_done() {
                let Some(Some((from, answer))) = self.clock.timeout_at(until, rx.recv()).await
                else {
                    break;
                };
                pending.record(from, &answer);
            }
        }
        if let Some(origin) = pending.origin {
            return OriginLookup::Peer(origin);
        }
        let only = pending.known.only_version(self.stream_life());
        match only.filter(|_| self.has_current_list()) {
            Some(origin) => OriginLookup::OnlyVersion(origin),
            None => OriginLookup::Unknown,
        }
    }

    /// Handles a datagram about streams.
    pub(super) fn handle_origin_message(&self, from: SocketAddr, message: OriginMessage) {
        let now = self.clock.now();
        match message {
            OriginMessage::Began(streams) => {
                let until = now + self.stream_life();
                let mut records = self.origins.borrow_mut();
                for (stream, origin) in streams {
                    records.record(stream, origin, until);
                }
            }
            OriginMessage::Query(query) => {
                let stream = query.stream;
                let origin = stream.and_then(|stream| self.origins.borrow().get(stream, now));
                let answer = OriginAnswer {
                    number: query.number,
                    origin,
                    pools: self.pool_versions(&query.pools, now),
                };
                self.send_origin_message(from, &OriginMessage::Answer(answer));
            }
            OriginMessage::Answer(answer) => self.origin_queries.complete(from, answer),
        }
    }

    /// What this entry knows of the software versions of pools.
    fn pool_versions(&self, pools: &[PoolDigest], now: Millis) -> PoolVersions {
        let since = now - self.stream_life();
        let directory = self.directory();
        let history = directory.software();
        let versions = pools.iter().flat_map(|pool| history.since(*pool, since));
        let known_for = history.known_for(now).filter(|_| self.has_current_list());
        PoolVersions {
            versions: versions.take(MAX_VERSIONS).collect(),
            known_for: known_for.unwrap_or_default(),
        }
    }

    /// Whether a stream that this entry begins in a pool may be resumed at an entry that knows of
    /// several versions there.
    fn may_have_versions(&self, pool: PoolDigest, now: Millis) -> bool {
        let known = self.pool_versions(&[pool], now);
        known.only_version(self.stream_life()).is_none()
    }

    /// Whether the list of endpoints is known to be current.
    fn has_current_list(&self) -> bool {
        self.proof_age().is_some_and(|age| age < MAX_PROOF_AGE)
    }

    /// The longest time from the start of a stream to the last time that its caller may resume it.
    fn stream_life(&self) -> Millis {
        self.catalog()
            .map_or(Millis(u64::MAX), |catalog| catalog.stream_life())
    }

    /// Has peers keep the origins of streams.
    fn tell_keepers(&self, streams: &[(StreamKey, Origin)], now: Millis) {
        let mut by_keeper: HashMap<SocketAddr, Vec<(StreamKey, Origin)>> = HashMap::new();
        let peers = self.peers.borrow();
        for (stream, origin) in streams {
            for keeper in peers.keepers(stream.0, now) {
                by_keeper
                    .entry(keeper)
                    .or_default()
                    .push((*stream, *origin));
            }
        }
        drop(peers);
        for (keeper, streams) in by_keeper {
            for part in streams.chunks(MAX_TOLD_STREAMS) {
                self.send_origin_message(keeper, &OriginMessage::Began(part.to_vec()));
            }
        }
    }

    /// Sends a datagram about streams. A lost one is made up for by the other keeper, or asked for
    /// again.
    fn send_origin_message(&self, to: SocketAddr, message: &OriginMessage) {
        let bytes = peers::encode_shared(SharedKind::Origins, self.id, message);
        let (Some(socket), Some(bytes)) = (self.peer_socket.get(), bytes) else {
            return;
        };
        if let Err(err) = socket.try_send_to(&bytes, to) {
            tracing::debug!(%err, %to, "stream datagram not sent");
        }
    }
}
