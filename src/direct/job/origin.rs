//! The pool and software version at which a stream began, to which its request is bound.

use super::Job;
use crate::direct::decision::{Decision, RefusalReason};
use crate::direct::dialect::Resumes;
use crate::direct::origins::{Origin, PoolDigest, StreamKey};

impl Job<'_> {
    /// Binds a request that resumes a stream to the version that began it. Returns why the request
    /// is refused; `None` if it may be sent.
    pub(super) async fn bind_resumed_stream(&mut self) -> Option<RefusalReason> {
        let resumes = self.ask.resumes.as_ref()?;
        if !self.route().is_stream() {
            return None;
        }
        let stream = self.stream_key(resumes);
        let shares = self.route().shares.iter();
        let pools: Vec<(PoolDigest, String)> = shares
            .map(|share| (PoolDigest::of(&share.pool), share.pool.clone()))
            .collect();
        let digests: Vec<PoolDigest> = pools.iter().map(|(digest, _)| *digest).collect();
        let found = self.entry.find_origin(stream, &digests).await;
        self.log_origin(resumes, found.label());
        let Some(origin) = found.origin() else {
            return Some(RefusalReason::OriginUnknown);
        };
        let pool = pools.into_iter().find(|(digest, _)| *digest == origin.pool);
        if let Some((_, pool)) = pool {
            self.progress.borrow_mut().pool.clone_from(&pool);
            self.pool = pool;
        }
        self.origin.set(Some(origin));
        None
    }

    /// Binds the request to the origin of the stream whose first event is about to be sent to the
    /// caller, and records it for callers that resume the stream.
    pub(super) fn begin_stream(&self, origin: Origin) {
        self.origin.set(Some(origin));
        if self.is_resumable() {
            self.entry.record_stream(&self.stream_keys(), origin);
        }
    }

    /// Records that the whole stream has been delivered.
    pub(super) fn end_stream(&self) {
        if self.is_resumable() {
            self.entry.record_delivered_stream(&self.stream_keys());
        }
    }

    /// The names by which the caller may resume the stream: the request that began it, where the
    /// caller names it, and this one.
    fn stream_keys(&self) -> Vec<StreamKey> {
        let resumes = self.ask.resumes.as_ref();
        let first = resumes.and_then(|resumes| self.stream_key(resumes));
        let own = StreamKey::of(self.team_name(), self.ask.id.as_bytes());
        first.into_iter().chain([own]).collect()
    }

    /// The stream that the caller resumes; `None` if it is not named.
    fn stream_key(&self, resumes: &Resumes) -> Option<StreamKey> {
        let id = resumes.began_as.as_ref()?;
        Some(StreamKey::of(self.team_name(), id.as_bytes()))
    }

    /// Name of the team; empty without teams.
    fn team_name(&self) -> &str {
        let team = self.allowed.team.map(|team| &self.catalog.teams[team]);
        team.map_or("", |team| &team.name)
    }

    /// Whether the pool has endpoints that accept requests, of other software versions only.
    pub(super) fn is_version_gone(&self) -> bool {
        let now = self.entry.clock.now();
        let directory = self.entry.directory();
        let has_origin = |origin| {
            let mut available = directory.available_in_pool(&self.pool, now);
            available.any(|(_, endpoint)| endpoint.origin == origin)
        };
        let is_bound_elsewhere = self.origin.get().is_some_and(|origin| !has_origin(origin));
        let mut available = directory.available_in_pool(&self.pool, now);
        is_bound_elsewhere && available.next().is_some()
    }

    fn log_origin(&self, resumes: &Resumes, found: &str) {
        let line = Decision::StreamOrigin {
            resumes: resumes.began_as_text(),
            found: found.into(),
        };
        self.entry.log.request(self.ask.id.as_bytes(), line);
    }
}
