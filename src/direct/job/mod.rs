//! A request that may run, with its attempts: which endpoints it is sent to and when it is over.

mod answer;
mod choice;
mod copy;
mod end;
mod log;
mod permit;
mod room;
mod send;
mod turn;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use rand::Rng;

use self::permit::Permit;
use crate::clock::Millis;
use crate::direct::answerer::Answerer;
use crate::direct::catalog::{Catalog, RepeatPolicy, ResponseKind, Route};
use crate::direct::decision::{RefusalReason, RequestOutcome};
use crate::direct::dialect::ParsedRequest;
use crate::direct::directory::EndpointKey;
use crate::direct::entry::Entry;
use crate::direct::intake::IncomingRequest;
use crate::direct::load;
use crate::direct::progress::Progress;
use crate::direct::refuse;
use crate::direct::relay::StreamPosition;
use crate::direct::resolve::{Allowed, Denied};
use crate::fingerprint::Fingerprint;

/// Time beyond a request's own in which the endpoint's last word is still waited for.
const OVERTIME: Millis = Millis(60);
/// Endpoints that may turn out unreachable before a request is given up; nothing was sent to them.
const MOST_UNREACHABLE: u32 = 4;

/// How an attempt ended.
#[derive(Debug)]
enum Attempt {
    /// The answer was delivered, or as much of it as there will be; whether the connection is kept.
    Over(bool),
    /// Nothing was sent to this endpoint.
    NotSent(EndpointKey),
    /// Since it was chosen, the endpoint has turned out to take no more requests for now; nothing was sent.
    Withdrawn(EndpointKey),
    /// The endpoint did not run it.
    NotRun(EndpointKey),
    /// It may have run.
    Lost(EndpointKey),
    /// There is no endpoint to try.
    NoEndpoint,
    /// It is not sent, since it would wait too long.
    TurnedAway(RefusalReason),
    /// It is no longer allowed.
    Denied(Denied),
    /// Another copy of what it asks for has begun to run, and comes first.
    Waits,
    /// The endpoint's limit is used up for now.
    Limited,
    /// The time was over.
    TimeOver,
    /// The caller can't be written to.
    CallerGone,
}

/// One request with everything that its attempts share.
#[derive(Debug)]
pub struct Job<'a> {
    entry: &'a Rc<Entry>,
    incoming: &'a IncomingRequest,
    ask: &'a ParsedRequest,
    progress: &'a RefCell<Progress>,
    /// The configuration that the request runs under.
    catalog: Rc<Catalog>,
    /// Its route and team there.
    allowed: Allowed,
    /// What it asks for.
    request: Fingerprint,
    /// When it began to run under suspicion, for others that ask for the same.
    turn: Option<Millis>,
    /// The permit that it has, of an endpoint with a limit.
    permit: Option<Permit>,
    /// Permits that it has asked for in vain since it waited last.
    refusals: u32,
    /// Until when it waits for a permit, once it has found none.
    permit_by: Option<Millis>,
    /// Name of the pool whose endpoints it is sent to.
    pool: String,
    /// When its time is over.
    end: Millis,
    /// Endpoints that it is not sent to again.
    tried: Vec<EndpointKey>,
    /// Attempts that count: sent, or about to be.
    attempts: u32,
    /// Whether an endpoint may have run any of it.
    sent: bool,
    /// Where it was sent last.
    sent_to: Option<SocketAddr>,
    /// Endpoint that keeps a copy of the run's memory.
    copy: Option<EndpointKey>,
    /// Whether the run is to go on from that copy.
    takes_over: bool,
    /// How far its answer has got; kept also when an attempt is dropped at the time limit.
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
        let end = incoming.received_at + caller_timeout.min(route.timeout);
        let team = allowed.team.map(|team| catalog.teams[team.0].name.as_str());
        let request = fingerprint(team, ask, incoming);
        let mut noted = progress.borrow_mut();
        noted.route.clone_from(&route.name);
        noted.pool.clone_from(&pool);
        noted.urgency = Some(route.priority);
        drop(noted);
        Self {
            entry,
            incoming,
            ask,
            progress,
            allowed,
            request,
            turn: None,
            permit: None,
            refusals: 0,
            permit_by: None,
            pool,
            end,
            tried: Vec::new(),
            attempts: 0,
            sent: false,
            sent_to: None,
            copy: None,
            takes_over: false,
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

    /// Its urgency: the team's, otherwise the route's.
    fn priority(&self) -> u8 {
        let team = self.allowed.team.map(|team| &self.catalog.teams[team.0]);
        let priority = team.and_then(|team| team.priority);
        priority.unwrap_or(self.route().priority)
    }

    /// Band of urgency that decides what is sent, and which callers come back first: that of its kind, in the same order as
    /// endpoints are told. By the team's, requests of the most urgent kind were turned away where less urgent kinds were sent.
    fn band(&self) -> usize {
        load::band(self.route().priority)
    }

    /// Until when the endpoint's last word is waited for, somewhat beyond the request's own time.
    fn last_word(&self) -> Millis {
        self.end + OVERTIME
    }

    fn has_attempts(&self) -> bool {
        self.attempts < self.route().max_attempts
    }

    /// Whether another run after one of unknown outcome is harmless.
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

    /// Runs it to its end; false when the connection is to be closed.
    pub async fn run(&mut self, answerer: &mut Answerer) -> bool {
        self.count_first();
        let mut unreachable = 0;
        loop {
            let sent_before = self.sent;
            match self.attempt(answerer).await {
                Attempt::Over(kept) => return kept,
                Attempt::CallerGone => {
                    self.log_ended(RequestOutcome::CallerGone, 0);
                    return false;
                }
                Attempt::NotSent(key) => {
                    self.tried.push(key);
                    unreachable += 1;
                    if unreachable >= MOST_UNREACHABLE {
                        return self.give_up(answerer, RefusalReason::NoEndpoint).await;
                    }
                }
                // It is no sign that others can't be reached, so it does not count as one.
                Attempt::Withdrawn(key) => self.tried.push(key),
                Attempt::NotRun(key) => {
                    // Its caller would be told 502 otherwise, as if it might have run, once no endpoint is left.
                    self.sent = sent_before;
                    self.tried.push(key);
                    if !self.may_go_on() {
                        return self.give_up(answerer, RefusalReason::EndpointRefused).await;
                    }
                }
                Attempt::Lost(key) => {
                    self.tried.push(key);
                    if self.may_take_over().await {
                        continue;
                    }
                    if !(self.may_repeat() && self.may_go_on()) {
                        return self.lost(answerer).await;
                    }
                }
                Attempt::Waits | Attempt::Limited => {}
                Attempt::TurnedAway(_) if self.sent => return self.lost(answerer).await,
                Attempt::TurnedAway(why) => return self.give_up(answerer, why).await,
                Attempt::NoEndpoint if self.sent => return self.lost(answerer).await,
                Attempt::NoEndpoint => {
                    return self.give_up(answerer, RefusalReason::NoEndpoint).await
                }
                Attempt::Denied(denied) if !self.sent => {
                    return refuse::deny(self.entry, answerer, self.ask, self.incoming, denied)
                        .await
                }
                Attempt::Denied(_) => return self.lost(answerer).await,
                Attempt::TimeOver => return self.time_over(answerer).await,
            }
        }
    }

    /// Counts the request in the pool's retry budget.
    fn count_first(&self) {
        let now = self.entry.clock.now();
        let allowance = self.entry.settings.borrow().bounds.retry_budget();
        let mut retries = self.entry.retries.borrow_mut();
        let window = retries.entry(self.pool.clone()).or_default();
        window.record_request(now, allowance);
    }

    /// Whether the request may be sent to another endpoint, after one had it.
    fn may_go_on(&self) -> bool {
        let now = self.entry.clock.now();
        self.has_attempts() && now < self.end && self.take_retry(now)
    }

    /// Whether the retry budget of all entries allows one more; counts it.
    fn take_retry(&self, now: Millis) -> bool {
        let allowance = self.entry.settings.borrow().bounds.retry_budget();
        let entries = self.entry.peers.borrow().entries(now);
        let mut retries = self.entry.retries.borrow_mut();
        let window = retries.entry(self.pool.clone()).or_default();
        window.try_take(now, allowance, entries, self.has_more_urgent(now))
    }
}

/// What a request asks for.
fn fingerprint(team: Option<&str>, ask: &ParsedRequest, incoming: &IncomingRequest) -> Fingerprint {
    let head = &incoming.head;
    let target = head.uri.path_and_query();
    let target = target.map_or("", |target| target.as_str());
    let target = [&*ask.host, head.method.as_str(), target];
    Fingerprint::of(team.unwrap_or_default(), &target, &incoming.body)
}

/// Picks one of a route's pools by weight.
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
