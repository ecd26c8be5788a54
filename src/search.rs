//! The search for a run slot for one request, among the endpoints of its pool.

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

/// Time to wait for newer documents when the sidecar holds different ones than this entry.
const SYNC_TIMEOUT: Duration = Duration::from_millis(300);
/// How often one request retries because the sidecar and this entry hold different documents.
pub const MAX_DISAGREEMENTS: u32 = 8;
/// Most queues in which a request waits at the same time.
const MAX_QUEUES: usize = 2;
/// Most queues in which a request of priority 0 waits at the same time.
const MAX_QUEUES_URGENT: usize = 4;
/// Number of endpoints to which a request of priority 0 may be offered, unless the configured
/// number of attempts is higher.
const MAX_ATTEMPTS_URGENT: usize = 32;
/// Time after which the caller is told to retry when no endpoint could be reached.
pub const NO_ENDPOINT_RETRY_AFTER: Millis = Millis(1_000);

/// How a search ended.
#[derive(Debug)]
pub enum SearchResult {
    /// An endpoint holds a slot for the request.
    Reserved(Box<Reserved>),
    /// The answer of an earlier run under the same key.
    Replay(Answer),
    /// The request does not run, for the reason in the outcome.
    Ended(Outcome),
}

/// The search for a slot by one request.
#[derive(Debug)]
pub struct Search<'a> {
    entry: &'a Rc<Entry>,
    job: &'a mut Job,
    started_at: Millis,
    /// Replies so far that reported different documents.
    disagreements: u32,
    /// Whether the home endpoint of the request's key has reported that nothing ran under the key.
    /// A notice that the request is queued there counts as such a report.
    pub home_ruled_out_run: bool,
    /// Of the refusals so far, the reason and the retry delay of the one with the shortest delay.
    refusal: Option<(NotRunReason, Millis)>,
}

impl<'a> Search<'a> {
    /// Creates a search that has asked no endpoint yet.
    pub fn new(entry: &'a Rc<Entry>, job: &'a mut Job) -> Self {
        let started_at = entry.node.clock.now();
        Self {
            entry,
            job,
            started_at,
            disagreements: 0,
            home_ruled_out_run: false,
            refusal: None,
        }
    }

    /// Offers the request to one endpoint after another until one grants a slot, the request has
    /// ended or no endpoint is left to try. Starts with one open offer; each notice that an offer
    /// is queued or unanswered allows one more, up to the maximum. Adds the endpoints asked to
    /// `tried`.
    pub async fn run(&mut self, tried: &mut Vec<String>) -> SearchResult {
        let urgent = self.job.policy.class_at(self.job.class).priority == 0;
        let max_queues = if urgent {
            MAX_QUEUES_URGENT
        } else {
            MAX_QUEUES
        };
        let mut queues = 1;
        let (notices, mut notice_receiver) = mpsc::unbounded_channel();
        let mut open = FuturesUnordered::new();
        loop {
            while open.len() < queues && tried.len() < self.attempt_limit(urgent) {
                let Some(instance) = self.next_endpoint(tried) else {
                    break;
                };
                tried.push(instance.id.clone());
                let offer = self.build_offer(&instance);
                open.push(offer::ask(
                    Rc::clone(self.entry),
                    instance,
                    offer,
                    notices.clone(),
                ));
            }
            if open.is_empty() {
                return SearchResult::Ended(self.final_refusal());
            }
            tokio::select! {
                Some((instance, reply)) = open.next() => {
                    if let Some(result) = self.handle_reply(instance, reply, tried).await {
                        return result;
                    }
                }
                Some(notice) = notice_receiver.recv() => {
                    self.home_ruled_out_run |= notice == Notice::Queued;
                    queues = (queues + 1).min(max_queues);
                }
            }
        }
    }

    /// Number of endpoints to which the request may be offered.
    fn attempt_limit(&self, urgent: bool) -> usize {
        let configured_limit = self.job.policy.bundle.limits.max_attempts as usize;
        if urgent {
            MAX_ATTEMPTS_URGENT.max(configured_limit)
        } else {
            configured_limit
        }
    }

    /// The next endpoint to try; `None` when none is left. For a request with a key that may run
    /// only once, only the key's home endpoint is tried.
    pub fn next_endpoint(&self, tried: &[String]) -> Option<Instance> {
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
            .filter(|i| self.job.may_run_at(i))
            .collect();
        let now = self.entry.node.clock.now();
        let mut router = self.entry.router.borrow_mut();
        router
            .choose(now, &candidates, tried, self.job.prefix)
            .cloned()
    }

    /// Builds the offer of the request to one sidecar, with the wait that is left.
    pub fn build_offer(&self, instance: &Instance) -> Offer {
        let job = &self.job;
        let elapsed = self.entry.node.clock.now() - self.started_at;
        Offer {
            request: job.request,
            bundle: job.stamps.bundle,
            members: job.stamps.members,
            pool: instance.pool.clone(),
            ordinal: instance.ordinal,
            class: job.policy.class_at(job.class).name.clone(),
            team: job.policy.team_at(job.team).name.clone(),
            est_tokens: job.est_tokens.min(u64::from(u32::MAX)) as u32,
            max_wait_ms: (longest_wait(job) - elapsed).as_u32(),
            once: job.once,
            key: job.key,
            query: false,
        }
    }

    /// Processes a reply; returns the result when it ends the search.
    async fn handle_reply(
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

    /// Waits for newer documents, unless newer ones have already arrived, and decides about the
    /// request under the current ones from here on. Returns false when they no longer allow the
    /// request.
    pub async fn sync_documents(&mut self, instance: &Instance) -> bool {
        let replica = &self.entry.node.replica;
        let mut changed = replica.subscribe();
        if replica.stamps() == self.job.stamps {
            self.exchange_documents(instance).await;
            let _ = timeout(SYNC_TIMEOUT, changed.changed()).await;
        }
        self.entry.redecide(self.job)
    }

    /// Starts a brief gossip exchange with the sidecar, so that the side with older documents gets
    /// the newer ones.
    async fn exchange_documents(&self, instance: &Instance) {
        if let Ok(link) = self.entry.links.get(instance.addr).await {
            let node = Rc::clone(&self.entry.node);
            let _ = gossip::exchange_on(node, &link, instance.id.clone()).await;
        }
    }

    /// Remembers the refusal with the shortest retry delay, which is the one reported.
    fn keep_refusal(&mut self, reason: NotRunReason, after: Millis) {
        if self.refusal.is_none_or(|(_, kept)| after < kept) {
            self.refusal = Some((reason, after));
        }
    }

    /// The outcome when no endpoint is left: the remembered refusal, or else that no endpoint could
    /// be reached.
    fn final_refusal(&self) -> Outcome {
        let default_delay = spread_retry_after(NO_ENDPOINT_RETRY_AFTER, self.job.request);
        let (reason, after) = self
            .refusal
            .unwrap_or((NotRunReason::NoEndpoint, default_delay));
        Outcome::not_run(reason, after)
    }
}

/// Longest wait for a grant: the limit of the request's class, or the caller's time limit for the
/// first token if that is shorter.
pub fn longest_wait(job: &Job) -> Millis {
    let by_class = job.policy.max_wait(job.class);
    job.deadline
        .map_or(by_class, |deadline| by_class.min(deadline))
}
