//! The search of one request for a run slot, over the endpoints of its pool.

use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::clock::Millis;
use crate::entry::Entry;
use crate::gossip;
use crate::intake::Job;
use crate::keys;
use crate::members::Instance;
use crate::offer::{self, Notice, Reply, Reserved};
use crate::outcome::{NotRunReason, Outcome};
use crate::schedule::spread_retry_after;
use crate::wire::{Answer, Offer};

/// Time to wait for newer documents after a disagreement.
const AGREE_TIME: Duration = Duration::from_millis(300);
/// Disagreements over documents that one request sits through.
pub const MAX_DISAGREEMENTS: u32 = 8;
/// Queues that a request stands in at a time.
const QUEUES: usize = 2;
/// Queues that a request of priority 0 stands in at a time.
const QUEUES_URGENT: usize = 4;
/// Endpoints that a request of priority 0 is offered to, at most.
const ATTEMPTS_URGENT: usize = 32;
/// Advice to come back when no endpoint could be reached.
pub const NO_ENDPOINT_RETRY_AFTER: Millis = Millis(1_000);

/// How a search ended.
#[derive(Debug)]
pub enum SearchResult {
    /// A slot is held.
    Reserved(Box<Reserved>),
    /// The answer of an earlier run under the same key.
    Replay(Answer),
    /// The request does not run.
    Ended(Outcome),
}

/// The search for a slot by one request.
#[derive(Debug)]
pub struct Search<'a> {
    entry: &'a Rc<Entry>,
    job: &'a mut Job,
    began: Millis,
    disagreements: u32,
    /// Whether the key's home has said that nothing ran under the key.
    pub home_ruled_out_run: bool,
    refusal: Option<(NotRunReason, Millis)>,
}

impl<'a> Search<'a> {
    /// A search that has asked nobody yet.
    pub fn new(entry: &'a Rc<Entry>, job: &'a mut Job) -> Self {
        let began = entry.node.clock.now();
        Self {
            entry,
            job,
            began,
            disagreements: 0,
            home_ruled_out_run: false,
            refusal: None,
        }
    }

    /// Offers the request to one endpoint after another, in several queues at a time, until one
    /// holds a slot.
    pub async fn run(&mut self, tried: &mut Vec<String>) -> SearchResult {
        let urgent = self.job.policy.class_at(self.job.class).priority == 0;
        let most_queues = if urgent { QUEUES_URGENT } else { QUEUES };
        let mut queues = 1;
        let (notices, mut noticed) = mpsc::unbounded_channel();
        let mut open = FuturesUnordered::new();
        loop {
            while open.len() < queues && tried.len() < self.most_attempts(urgent) {
                let Some(instance) = self.next(tried) else {
                    break;
                };
                tried.push(instance.id.clone());
                let offer = self.offer(&instance);
                open.push(offer::ask(
                    Rc::clone(self.entry),
                    instance,
                    offer,
                    notices.clone(),
                ));
            }
            if open.is_empty() {
                return SearchResult::Ended(self.refused());
            }
            tokio::select! {
                Some((instance, reply)) = open.next() => {
                    if let Some(found) = self.weigh(instance, reply, tried).await {
                        return found;
                    }
                }
                Some(notice) = noticed.recv() => {
                    self.home_ruled_out_run |= notice == Notice::Queued;
                    queues = (queues + 1).min(most_queues);
                }
            }
        }
    }

    fn most_attempts(&self, urgent: bool) -> usize {
        let most = self.job.policy.bundle.limits.max_attempts as usize;
        if urgent {
            ATTEMPTS_URGENT.max(most)
        } else {
            most
        }
    }

    /// The next endpoint; for keyed work that may run only once, its home alone.
    pub fn next(&self, tried: &[String]) -> Option<Instance> {
        let pool = self.job.policy.pool_at(self.job.pool);
        let members = self.entry.node.replica.members();
        let home = self
            .job
            .key
            .filter(|_| self.job.once)
            .map(|key| keys::home(key, pool.places));
        let candidates: Vec<&Instance> = members
            .sidecars(&pool.name)
            .filter(|i| home.is_none_or(|home| i.ordinal == home))
            .collect();
        let now = self.entry.node.clock.now();
        let mut router = self.entry.router.borrow_mut();
        router
            .choose(now, &candidates, tried, self.job.prefix)
            .cloned()
    }

    /// The offer to one sidecar.
    pub fn offer(&self, instance: &Instance) -> Offer {
        let job = &self.job;
        let passed = self.entry.node.clock.now() - self.began;
        Offer {
            request: job.request,
            bundle: job.stamps.bundle,
            members: job.stamps.members,
            pool: instance.pool.clone(),
            ordinal: instance.ordinal,
            class: job.policy.class_at(job.class).name.clone(),
            team: job.policy.team_at(job.team).name.clone(),
            est_tokens: job.est_tokens.min(u64::from(u32::MAX)) as u32,
            max_wait_ms: (longest_wait(job) - passed).as_u32(),
            once: job.once,
            key: job.key,
            query: false,
        }
    }

    /// What a reply means for the search.
    async fn weigh(
        &mut self,
        instance: Instance,
        reply: Reply,
        tried: &mut Vec<String>,
    ) -> Option<SearchResult> {
        let now = self.entry.node.clock.now();
        let outcome = match reply {
            Reply::Reserved(reserved) => return Some(SearchResult::Reserved(reserved)),
            Reply::Replay(answer) => return Some(SearchResult::Replay(answer)),
            Reply::Ended(outcome) => outcome,
            Reply::Silent => {
                self.entry
                    .router
                    .borrow_mut()
                    .record_failure(now, &instance.id);
                Outcome::not_run(NotRunReason::NoEndpoint, NO_ENDPOINT_RETRY_AFTER)
            }
        };
        let Outcome::NotRun {
            reason,
            retry_after,
        } = outcome
        else {
            return Some(SearchResult::Ended(outcome));
        };
        self.home_ruled_out_run |= reason.speaks_for_key();
        if reason.disagrees() && self.disagreements < MAX_DISAGREEMENTS {
            self.disagreements += 1;
            tried.retain(|id| *id != instance.id);
            if self.sync_documents(&instance).await {
                return None;
            }
            let outcome = Outcome::not_run(NotRunReason::NotAllowed, NO_ENDPOINT_RETRY_AFTER);
            return Some(SearchResult::Ended(outcome));
        }
        if matches!(
            reason,
            NotRunReason::Draining | NotRunReason::EndpointFailing
        ) {
            self.entry
                .router
                .borrow_mut()
                .record_failure(now, &instance.id);
        }
        self.keep_refusal(reason, retry_after);
        (!reason.try_elsewhere() && !reason.disagrees()).then_some(SearchResult::Ended(outcome))
    }

    /// Waits for newer documents and decides under them from here on; false when they no longer
    /// allow the request.
    pub async fn sync_documents(&mut self, instance: &Instance) -> bool {
        let replica = &self.entry.node.replica;
        let mut changed = replica.subscribe();
        if replica.stamps() == self.job.stamps {
            self.exchange_documents(instance).await;
            let _ = timeout(AGREE_TIME, changed.changed()).await;
        }
        self.entry.redecide(self.job)
    }

    /// Talks with the sidecar about documents for a while: whoever is behind catches up.
    async fn exchange_documents(&self, instance: &Instance) {
        if let Ok(link) = self.entry.links.get(instance.addr).await {
            let node = Rc::clone(&self.entry.node);
            let _ = gossip::exchange_on(node, &link, instance.id.clone()).await;
        }
    }

    /// Of several refusals the one with the shortest wait is told.
    fn keep_refusal(&mut self, reason: NotRunReason, after: Millis) {
        if self.refusal.is_none_or(|(_, kept)| after < kept) {
            self.refusal = Some((reason, after));
        }
    }

    fn refused(&self) -> Outcome {
        let spread_out = spread_retry_after(NO_ENDPOINT_RETRY_AFTER, self.job.request);
        let (reason, after) = self
            .refusal
            .unwrap_or((NotRunReason::NoEndpoint, spread_out));
        Outcome::not_run(reason, after)
    }
}

/// Longest wait for a grant: the class's, or less when the caller's deadline is nearer.
pub fn longest_wait(job: &Job) -> Millis {
    let by_class = job.policy.max_wait(job.class);
    job.deadline
        .map_or(by_class, |deadline| by_class.min(deadline))
}
