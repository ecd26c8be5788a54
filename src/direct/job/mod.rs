//! An admitted request and its attempts: which endpoints it is sent to and when it ends.

mod answer;
mod choice;
mod copy;
mod end;
mod learn;
mod log;
mod origin;
mod permit;
mod room;
mod send;
mod turn;
mod unreachable;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use rand::Rng;

use self::permit::Permit;
use crate::clock::Millis;
use crate::direct::admission::unreachable::{ConnectionFailure, UnreachableEndpoints};
use crate::direct::answerer::Answerer;
use crate::direct::catalog::{Catalog, RepeatPolicy, ResponseKind, Route};
use crate::direct::decision::{RefusalReason, RequestOutcome};
use crate::direct::dialect::ParsedRequest;
use crate::direct::directory::EndpointKey;
use crate::direct::entry::Entry;
use crate::direct::intake::IncomingRequest;
use crate::direct::known::load;
use crate::direct::origins::Origin;
use crate::direct::progress::Progress;
use crate::direct::refuse;
use crate::direct::relay::{StreamKind, StreamPosition};
use crate::direct::resolve::{Allowed, Denied};
use crate::fingerprint::Fingerprint;
use crate::quarantine::parts::{PartRefusal, SharedParts};

/// Time beyond a request's deadline in which the endpoint's answer is still awaited.
const ANSWER_GRACE: Millis = Millis(60);

/// How an attempt ended, or why none was made.
#[derive(Debug)]
enum AttemptOutcome {
    /// The answer was delivered, or as much of it as there will be. Holds whether the caller's
    /// connection stays open.
    Delivered(bool),
    /// Nothing was sent to this endpoint: it could not be reached.
    NotSent(EndpointKey, ConnectionFailure),
    /// The endpoint stopped accepting requests after it was chosen; nothing was sent.
    NotAccepting(EndpointKey),
    /// The endpoint did not run the request.
    NotRun(EndpointKey),
    /// The answer was lost; the endpoint may have run the request.
    Lost(EndpointKey),
    /// There is no endpoint to try.
    NoEndpoint,
    /// The request is not sent, for the given reason.
    NotAdmitted(RefusalReason),
    /// The request is no longer allowed.
    Denied(Denied),
    /// Another copy of a suspected request has started and goes first.
    CopyRunning,
    /// No permit could be had for an endpoint with a rate limit; another attempt may follow.
    NoPermit,
    /// The request's deadline has passed.
    TimeOver,
    /// The caller can't be written to.
    CallerGone,
}

/// One request, with the state that its attempts share.
#[derive(Debug)]
pub struct Job<'a> {
    entry: &'a Rc<Entry>,
    incoming: &'a IncomingRequest,
    ask: &'a ParsedRequest,
    progress: &'a RefCell<Progress>,
    /// The configuration that the request runs under.
    catalog: Rc<Catalog>,
    /// The request's route and team in that configuration.
    allowed: Allowed,
    /// What the request asks for.
    fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may hold.
    parts: SharedParts,
    /// Why it is refused at some or all endpoints, as of the last look; `None` if it is not.
    part_refusal: Option<PartRefusal>,
    /// When the request started to run as a suspected one, as reported to peers; `None` where it is
    /// not suspected or has not started.
    turn_started: Option<Millis>,
    /// The permit that it holds for an endpoint with a rate limit.
    permit: Option<Permit>,
    /// Number of permits that it was refused since it last waited for one.
    permit_refusals: u32,
    /// Until when it waits for a permit; set once it finds none.
    permit_deadline: Option<Millis>,
    /// Name of the pool whose endpoints it is sent to.
    pool: String,
    /// When the request's time is over.
    deadline: Millis,
    /// Endpoints that it is not sent to again.
    tried: Vec<EndpointKey>,
    /// Endpoints that could not be reached.
    unreachable: UnreachableEndpoints,
    /// Number of attempts that were sent, or are about to be.
    attempts: u32,
    /// Whether an endpoint may have run any of it.
    may_have_run: bool,
    /// The endpoint that it was last sent to.
    last_key: Option<EndpointKey>,
    /// The address of that endpoint.
    last_address: Option<SocketAddr>,
    /// The endpoint that keeps a copy of the run's memory.
    copy_key: Option<EndpointKey>,
    /// Whether the next attempt resumes the run from that copy.
    resumes_from_copy: bool,
    /// Where the stream began; `None` before its first event, and for other answers.
    origin: Cell<Option<Origin>>,
    /// The kind of the stream whose first event is about to be sent; `None` before that.
    stream_kind: RefCell<Option<StreamKind>>,
    /// When the first bytes of an event arrived that is not complete yet; `None` where there is none.
    unfinished_since: Cell<Option<Millis>>,
    /// How far the answer has got; also kept when an attempt is dropped at the deadline.
    position: Cell<StreamPosition>,
}

impl<'a> Job<'a> {
    /// A request that has not been sent yet, in one of its route's pools.
    pub fn new(
        entry: &'a Rc<Entry>,
        incoming: &'a IncomingRequest,
        ask: &'a ParsedRequest,
        progress: &'a RefCell<Progress>,
        catalog: Rc<Catalog>,
        allowed: Allowed,
    ) -> Self {
        let route = &catalog.routes[allowed.route.0];
        let pool = pick_pool(route);
        let caller_timeout = ask.caller_timeout.unwrap_or(route.timeout);
        let deadline = incoming.received_at + caller_timeout.min(route.timeout);
        let team = allowed.team.map(|team| catalog.teams[team].name.as_str());
        let fingerprint = request_fingerprint(team, ask, incoming);
        let mut recorded = progress.borrow_mut();
        recorded.route.clone_from(&route.name);
        recorded.pool.clone_from(&pool);
        recorded.urgency = Some(route.priority);
        drop(recorded);
        Self {
            entry,
            incoming,
            ask,
            progress,
            allowed,
            fingerprint,
            parts: ask.shared_parts(),
            part_refusal: None,
            turn_started: None,
            permit: None,
            permit_refusals: 0,
            permit_deadline: None,
            pool,
            deadline,
            tried: Vec::new(),
            unreachable: UnreachableEndpoints::default(),
            attempts: 0,
            may_have_run: false,
            last_key: None,
            last_address: None,
            copy_key: None,
            resumes_from_copy: false,
            origin: Cell::default(),
            stream_kind: RefCell::default(),
            unfinished_since: Cell::default(),
            position: Cell::new(StreamPosition {
                last_event: ask.last_event,
                ..StreamPosition::default()
            }),
            catalog,
        }
    }

    fn route(&self) -> &Route {
        &self.catalog.routes[self.allowed.route.0]
    }

    /// The request's urgency: its team's, or the route's where the team has none.
    fn priority(&self) -> u8 {
        let team = self.allowed.team.map(|team| &self.catalog.teams[team]);
        let priority = team.and_then(|team| team.priority);
        priority.unwrap_or(self.route().priority)
    }

    /// The urgency band that decides which requests are sent and which callers retry first: that of
    /// the route, in the order in which endpoints are told. With the team's band, requests of the
    /// most urgent routes were turned away while those of less urgent routes were sent.
    fn band(&self) -> usize {
        load::band(self.route().priority)
    }

    /// Until when the endpoint's answer is awaited, somewhat beyond the request's deadline.
    fn answer_deadline(&self) -> Millis {
        self.deadline + ANSWER_GRACE
    }

    fn has_attempts_left(&self) -> bool {
        self.attempts < self.route().max_attempts
    }

    /// Whether it is harmless to run the request again after an attempt with an unknown outcome.
    fn may_repeat(&self) -> bool {
        let position = self.position.get();
        match self.route().repeat {
            RepeatPolicy::Once => false,
            RepeatPolicy::Harmless if !position.head_sent => true,
            RepeatPolicy::Harmless => self.is_resumable() && position.last_event.is_some(),
        }
    }

    fn is_resumable(&self) -> bool {
        matches!(
            self.route().shape,
            ResponseKind::Events {
                resumable: true,
                ..
            }
        )
    }

    /// Runs the request to its end; false if the caller's connection is to be closed.
    pub async fn run(&mut self, answerer: &mut Answerer) -> bool {
        let refusal = self.bind_resumed_stream().await;
        self.count_request();
        if let Some(why) = refusal {
            return self.give_up(answerer, why).await;
        }
        loop {
            let ran_before = self.may_have_run;
            match self.attempt(answerer).await {
                AttemptOutcome::Delivered(kept) => return kept,
                AttemptOutcome::CallerGone => {
                    self.log_ended(RequestOutcome::CallerGone, 0);
                    return false;
                }
                AttemptOutcome::NotSent(key, failure) => {
                    self.tried.push(key);
                    if !self.may_try_another(failure) {
                        return self.give_up(answerer, RefusalReason::NoEndpoint).await;
                    }
                }
                // Not counted as unreachable: it says nothing about whether other endpoints can be
                // reached.
                AttemptOutcome::NotAccepting(key) => self.tried.push(key),
                AttemptOutcome::NotRun(key) => {
                    // Otherwise, once no endpoint is left, the caller would get a 502, as if the
                    // request might have run.
                    self.may_have_run = ran_before;
                    self.tried.push(key);
                    if !self.may_retry() {
                        return self.give_up(answerer, RefusalReason::EndpointRefused).await;
                    }
                }
                AttemptOutcome::Lost(key) => {
                    self.tried.push(key);
                    if self.try_resume_from_copy().await {
                        continue;
                    }
                    if !(self.may_repeat() && self.may_retry()) {
                        return self.end_with_unknown_outcome(answerer).await;
                    }
                }
                AttemptOutcome::CopyRunning | AttemptOutcome::NoPermit => {}
                AttemptOutcome::NotAdmitted(_) if self.may_have_run => {
                    return self.end_with_unknown_outcome(answerer).await
                }
                AttemptOutcome::NotAdmitted(why) => return self.give_up(answerer, why).await,
                AttemptOutcome::NoEndpoint if self.may_have_run => {
                    return self.end_with_unknown_outcome(answerer).await
                }
                AttemptOutcome::NoEndpoint => {
                    return self.give_up(answerer, RefusalReason::NoEndpoint).await
                }
                AttemptOutcome::Denied(denied) if !self.may_have_run => {
                    let received_at = self.incoming.received_at;
                    return refuse::deny(self.entry, answerer, self.ask, received_at, denied).await;
                }
                AttemptOutcome::Denied(_) => return self.end_with_unknown_outcome(answerer).await,
                AttemptOutcome::TimeOver => return self.end_at_deadline(answerer).await,
            }
        }
    }

    /// Counts the request in the pool's retry budget.
    fn count_request(&self) {
        let now = self.entry.clock.now();
        let allowance = self.entry.settings.borrow().bounds.retry_budget();
        let mut retries = self.entry.retries.borrow_mut();
        let window = retries.entry(self.pool.clone()).or_default();
        window.record_request(now, allowance);
    }

    /// Whether the request may be sent to another endpoint; if so, counts it against the retry
    /// budget.
    fn may_retry(&self) -> bool {
        let now = self.entry.clock.now();
        self.has_attempts_left() && now < self.deadline && self.take_retry(now)
    }

    /// Whether the retry budget of all entries allows one more retry; if so, counts it.
    fn take_retry(&self, now: Millis) -> bool {
        let allowance = self.entry.settings.borrow().bounds.retry_budget();
        let entries = self.entry.peers.borrow().entries(now);
        let mut retries = self.entry.retries.borrow_mut();
        let window = retries.entry(self.pool.clone()).or_default();
        window.try_take(now, allowance, entries, self.has_more_urgent(now))
    }
}

/// The fingerprint of what a request asks for.
fn request_fingerprint(
    team: Option<&str>,
    ask: &ParsedRequest,
    incoming: &IncomingRequest,
) -> Fingerprint {
    let head = &incoming.head;
    let target = head.uri.path_and_query();
    let target = target.map_or("", |target| target.as_str());
    let target = [&*ask.host, head.method.as_str(), target];
    let body = incoming.body.bytes().unwrap_or_default();
    Fingerprint::of(team.unwrap_or_default(), &target, &body)
}

/// Picks one of a route's pools at random by weight.
fn pick_pool(route: &Route) -> String {
    let total: u32 = route.shares.iter().map(|share| share.weight).sum();
    let mut at = rand::thread_rng().gen_range(0..total.max(1));
    for share in &route.shares {
        if at < share.weight {
            return share.pool.clone();
        }
        at -= share.weight;
    }
    route
        .shares
        .first()
        .map_or_else(String::new, |s| s.pool.clone())
}
