//! Placing a request: offers to endpoints until one grants a slot, then the work, once.

use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::clock::Millis;
use crate::entry::Entry;
use crate::gossip;
use crate::ids::GrantId;
use crate::intake::Job;
use crate::keys;
use crate::link::{Reader, Writer};
use crate::members::Instance;
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::schedule::spread;
use crate::wire::{Answer, FromSidecar, Offer, Start, ToSidecar, REQUEST_PATH};

/// Time for a sidecar to answer an offer, be it only that the request waits.
const OFFER_REPLY: Duration = Duration::from_millis(1_500);
/// Time for a sidecar to confirm a start before repeatable work goes elsewhere.
const START_REPLY: Duration = Duration::from_millis(2_000);
/// Time added to the longest wait for answers to travel.
const GRACE: Millis = Millis(500);
/// Time to wait for newer documents after a disagreement.
const AGREE_TIME: Duration = Duration::from_millis(300);
/// Disagreements over documents that one request sits through.
const MAX_DISAGREEMENTS: u32 = 8;
/// Queues that one request stands in at a time, and an urgent one.
const QUEUES: usize = 2;
/// Queues that a request of priority 0 stands in at a time.
const QUEUES_URGENT: usize = 4;
/// Endpoints that a request of priority 0 is offered to, at most.
const ATTEMPTS_URGENT: usize = 32;
/// Advice to come back when no endpoint could be reached.
const NO_ENDPOINT: Millis = Millis(1_000);

/// A stream on which the work has been started.
#[derive(Debug)]
pub struct Running {
    /// Where it runs.
    pub instance: Instance,
    /// Keeps the stream open; the run is withdrawn when it is dropped.
    pub writer: Writer,
    /// Answers.
    pub reader: Reader,
    /// The first message after the start.
    pub first: FromSidecar,
    /// Counts the request as in flight.
    pub guard: InFlight,
}

/// How placing a request ended.
#[derive(Debug)]
pub enum Placed {
    /// It runs.
    Running(Box<Running>),
    /// It ran before, and this was the answer.
    Replay(Answer),
    /// It does not run.
    Ended(Outcome),
}

/// Counts a request at an endpoint until dropped, since a withdrawn offer is a dropped future.
#[derive(Debug)]
pub struct InFlight {
    entry: Rc<Entry>,
    id: String,
}

impl InFlight {
    fn new(entry: &Rc<Entry>, id: &str) -> Self {
        entry.router.borrow_mut().began(id);
        Self {
            entry: Rc::clone(entry),
            id: id.into(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.entry.router.borrow_mut().ended(&self.id);
    }
}

/// A slot that is held for the request.
#[derive(Debug)]
struct Reserved {
    instance: Instance,
    writer: Writer,
    reader: Reader,
    grant: GrantId,
    guard: InFlight,
}

#[derive(Debug)]
enum Reply {
    Reserved(Box<Reserved>),
    Replay(Answer),
    /// The sidecar's own word.
    Ended(Outcome),
    /// No word from the sidecar.
    Silent,
}

/// Places a request and starts it, trying again only what is honest to try.
pub async fn place(entry: &Rc<Entry>, job: &mut Job) -> Placed {
    let mut tried = Vec::new();
    loop {
        let reserved = match reserve(entry, job, &mut tried).await {
            Ok(reserved) => reserved,
            Err(placed) => return *placed,
        };
        let outcome = match start(entry, job, *reserved).await {
            Ok(placed) => return placed,
            Err(outcome) => outcome,
        };
        if !may_try_again(entry, job, &outcome) {
            return Placed::Ended(outcome);
        }
    }
}

/// Whether a request whose start failed may be placed once more.
fn may_try_again(entry: &Entry, job: &Job, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::NotRun { reason, .. } => reason.try_elsewhere() && !is_keyed(job),
        Outcome::Unknown(_) | Outcome::Failed(_) if !job.once => {
            let allowed = entry.reruns.borrow_mut().withdraw();
            if allowed {
                entry.node.metrics.rerun();
            }
            allowed
        }
        _ => false,
    }
}

/// Whether only the key's home may run the work.
fn is_keyed(job: &Job) -> bool {
    job.once && job.key.is_some()
}

/// Offers the request until a slot is held for it.
async fn reserve(
    entry: &Rc<Entry>,
    job: &mut Job,
    tried: &mut Vec<String>,
) -> Result<Box<Reserved>, Box<Placed>> {
    let max_wait = longest_wait(job);
    let mut search = Search::new(entry, job);
    let outcome = match timeout((max_wait + GRACE).duration(), search.run(tried)).await {
        Ok(Found::Reserved(reserved)) => return Ok(reserved),
        Ok(Found::Replay(answer)) => return Err(Box::new(Placed::Replay(answer))),
        Ok(Found::Ended(outcome)) => outcome,
        Err(_) => Outcome::not_run(NotRunReason::DeadlinePassed, NO_ENDPOINT),
    };
    let spoken = search.home_spoke;
    Err(Box::new(Placed::Ended(word_for_key(job, outcome, spoken))))
}

/// A refusal without the home's word says nothing about earlier attempts under the key.
fn word_for_key(job: &Job, outcome: Outcome, home_spoke: bool) -> Outcome {
    match outcome {
        Outcome::NotRun { .. } if is_keyed(job) && !home_spoke => {
            Outcome::Unknown(UnknownReason::HomeUnreachable)
        }
        other => other,
    }
}

/// Longest wait for a grant: the class's, or less when the caller's deadline is nearer.
fn longest_wait(job: &Job) -> Millis {
    let by_class = job.policy.max_wait(job.class);
    job.deadline
        .map_or(by_class, |deadline| by_class.min(deadline))
}

enum Found {
    Reserved(Box<Reserved>),
    Replay(Answer),
    Ended(Outcome),
}

/// The search for a slot by one request.
struct Search<'a> {
    entry: &'a Rc<Entry>,
    job: &'a mut Job,
    began: Millis,
    disagreements: u32,
    home_spoke: bool,
    refusal: Option<(NotRunReason, Millis)>,
}

impl<'a> Search<'a> {
    fn new(entry: &'a Rc<Entry>, job: &'a mut Job) -> Self {
        let began = entry.node.clock.now();
        Self {
            entry,
            job,
            began,
            disagreements: 0,
            home_spoke: false,
            refusal: None,
        }
    }

    async fn run(&mut self, tried: &mut Vec<String>) -> Found {
        let urgent = self.job.policy.class_at(self.job.class).priority == 0;
        let most_queues = if urgent { QUEUES_URGENT } else { QUEUES };
        let mut queues = 1;
        let (queued_tx, mut queued_rx) = mpsc::unbounded_channel();
        let mut open = FuturesUnordered::new();
        loop {
            while open.len() < queues && tried.len() < self.most_attempts(urgent) {
                let Some(instance) = self.next(tried) else {
                    break;
                };
                tried.push(instance.id.clone());
                let offer = self.offer(&instance);
                open.push(ask(
                    Rc::clone(self.entry),
                    instance,
                    offer,
                    queued_tx.clone(),
                ));
            }
            if open.is_empty() {
                return Found::Ended(self.refused());
            }
            tokio::select! {
                Some((instance, reply)) = open.next() => {
                    if let Some(found) = self.weigh(instance, reply, tried).await {
                        return found;
                    }
                }
                Some(()) = queued_rx.recv() => {
                    self.home_spoke = true;
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
    fn next(&self, tried: &[String]) -> Option<Instance> {
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

    fn offer(&self, instance: &Instance) -> Offer {
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
    ) -> Option<Found> {
        let now = self.entry.node.clock.now();
        let outcome = match reply {
            Reply::Reserved(reserved) => return Some(Found::Reserved(reserved)),
            Reply::Replay(answer) => return Some(Found::Replay(answer)),
            Reply::Ended(outcome) => outcome,
            Reply::Silent => {
                self.entry.router.borrow_mut().failed(now, &instance.id);
                Outcome::not_run(NotRunReason::NoEndpoint, NO_ENDPOINT)
            }
        };
        let Outcome::NotRun {
            reason,
            retry_after,
        } = outcome
        else {
            return Some(Found::Ended(outcome));
        };
        self.home_spoke |= reason.speaks_for_key();
        if reason.disagrees() && self.disagreements < MAX_DISAGREEMENTS {
            self.disagreements += 1;
            tried.retain(|id| *id != instance.id);
            if self.agree(&instance).await {
                return None;
            }
            let outcome = Outcome::not_run(NotRunReason::NotAllowed, NO_ENDPOINT);
            return Some(Found::Ended(outcome));
        }
        if matches!(
            reason,
            NotRunReason::Draining | NotRunReason::EndpointFailing
        ) {
            self.entry.router.borrow_mut().failed(now, &instance.id);
        }
        self.keep_refusal(reason, retry_after);
        (!reason.try_elsewhere() && !reason.disagrees()).then_some(Found::Ended(outcome))
    }

    /// Waits for newer documents and decides under them from here on; false when they no longer
    /// allow the request.
    async fn agree(&mut self, instance: &Instance) -> bool {
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
        let spread_out = spread(NO_ENDPOINT, self.job.request);
        let (reason, after) = self
            .refusal
            .unwrap_or((NotRunReason::NoEndpoint, spread_out));
        Outcome::not_run(reason, after)
    }
}

/// Asks one sidecar for a slot; dropping the future withdraws the offer.
async fn ask(
    entry: Rc<Entry>,
    instance: Instance,
    offer: Offer,
    queued: mpsc::UnboundedSender<()>,
) -> (Instance, Reply) {
    entry.node.metrics.attempt();
    let guard = InFlight::new(&entry, &instance.id);
    let reply = ask_with(&entry, &instance, offer, queued, guard).await;
    (instance, reply.unwrap_or(Reply::Silent))
}

async fn ask_with(
    entry: &Rc<Entry>,
    instance: &Instance,
    offer: Offer,
    queued: mpsc::UnboundedSender<()>,
    guard: InFlight,
) -> Option<Reply> {
    let request = offer.request;
    let opening = async {
        let link = entry.links.get(instance.addr).await.ok()?;
        let (mut writer, mut reader) = link.open(REQUEST_PATH).await.ok()?;
        writer.send(&ToSidecar::Offer(offer)).await.ok()?;
        let first = reader.next::<FromSidecar>().await.ok()??;
        Some((writer, reader, first))
    };
    let (writer, mut reader, mut message) = timeout(OFFER_REPLY, opening).await.ok()??;
    loop {
        let now = entry.node.clock.now();
        match message {
            FromSidecar::Queued(load) => {
                entry.router.borrow_mut().heard(now, &instance.id, load);
                let _ = queued.send(());
            }
            FromSidecar::Granted { grant, load, .. } => {
                entry.router.borrow_mut().heard(now, &instance.id, load);
                let instance = instance.clone();
                let reserved = Reserved {
                    instance,
                    writer,
                    reader,
                    grant,
                    guard,
                };
                return Some(Reply::Reserved(Box::new(reserved)));
            }
            FromSidecar::Replay(answer) => return Some(Reply::Replay(answer)),
            FromSidecar::End {
                request: ended,
                outcome,
                load,
            } => {
                entry.router.borrow_mut().heard(now, &instance.id, load);
                return (ended == request).then_some(Reply::Ended(outcome));
            }
            FromSidecar::Started | FromSidecar::Head { .. } | FromSidecar::Chunk(_) => return None,
        }
        message = reader.next::<FromSidecar>().await.ok()??;
    }
}

/// Sends the work under a grant and waits for the first part of the answer.
async fn start(entry: &Rc<Entry>, job: &Job, reserved: Reserved) -> Result<Placed, Outcome> {
    let Reserved {
        instance,
        mut writer,
        mut reader,
        grant,
        guard,
    } = reserved;
    let lost = Outcome::Unknown(UnknownReason::SidecarLost);
    let message = ToSidecar::Start(Start {
        grant,
        path: job.path.clone(),
        body: job.body.to_vec(),
    });
    if writer.send(&message).await.is_err() {
        return Err(lost);
    }
    let confirmed = tokio::select! {
        message = reader.next::<FromSidecar>() => message,
        () = sleep(START_REPLY), if !job.once => {
            let now = entry.node.clock.now();
            entry.router.borrow_mut().failed(now, &instance.id);
            return Err(Outcome::Unknown(UnknownReason::Silent));
        }
    };
    match confirmed {
        Ok(Some(FromSidecar::Started)) => {}
        Ok(Some(FromSidecar::End {
            request, outcome, ..
        })) if request == job.request => {
            return Err(outcome);
        }
        _ => return Err(lost),
    }
    match reader.next::<FromSidecar>().await {
        Ok(Some(FromSidecar::End {
            request, outcome, ..
        })) if !outcome.is_completed() => Err(if request == job.request {
            outcome
        } else {
            lost
        }),
        Ok(Some(first)) => {
            let running = Running {
                instance,
                writer,
                reader,
                first,
                guard,
            };
            Ok(Placed::Running(Box::new(running)))
        }
        _ => Err(lost),
    }
}

/// Asks a key's home whether anything ran under the key, before this entry refuses it.
pub async fn refuse_with_word(entry: &Rc<Entry>, job: &mut Job, refusal: Outcome) -> Outcome {
    let (Some(key), true) = (job.key, job.once) else {
        return refusal;
    };
    let unreachable = Outcome::Unknown(UnknownReason::HomeUnreachable);
    let mut search = Search::new(entry, job);
    for _ in 0..MAX_DISAGREEMENTS {
        let Some(instance) = search.next(&[]) else {
            return unreachable;
        };
        let offer = Offer {
            query: true,
            key: Some(key),
            ..search.offer(&instance)
        };
        let (queued_tx, _queued_rx) = mpsc::unbounded_channel();
        let (asked, reply) = ask(Rc::clone(entry), instance, offer, queued_tx).await;
        match reply {
            Reply::Ended(Outcome::NotRun { reason, .. }) if reason.speaks_for_key() => {
                return refusal;
            }
            Reply::Ended(Outcome::NotRun { reason, .. }) if reason.disagrees() => {
                if !search.agree(&asked).await {
                    return unreachable;
                }
            }
            Reply::Ended(Outcome::NotRun { .. }) | Reply::Silent | Reply::Reserved(_) => {
                return unreachable;
            }
            Reply::Ended(outcome) => return outcome,
            Reply::Replay(_) => return Outcome::AlreadyRan,
        }
    }
    unreachable
}
