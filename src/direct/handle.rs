//! One request from reading to its last byte: allowed, placed, sent, answered.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;

use actix_http::{ResponseHead, StatusCode};
use bytes::Bytes;
use rand::Rng;
use tokio::time::{sleep, timeout};

use crate::clock::Millis;
use crate::direct::caller::{Answerer, Incoming};
use crate::direct::catalog::{Catalog, Repeat, Route, Shape};
use crate::direct::channel::{Channel, Failure, Reply};
use crate::direct::choose::{self, Candidate, Choice, Demand};
use crate::direct::decision::{Decision, EndedHow, RefusedWhy};
use crate::direct::dialect::{Ask, Order, Refusal, Verdict};
use crate::direct::directory::EndpointKey;
use crate::direct::entry::{Entry, Life, Placed};
use crate::direct::health::Fault;
use crate::direct::load;
use crate::direct::peers::PlacedPrompt;
use crate::direct::relay::{self, Broken, Position};
use crate::direct::resolve::{Allowed, Denied};

/// Time beyond a request's own in which the endpoint's last word is still waited for.
const OVERTIME: Millis = Millis(60);
/// Endpoints that may turn out unreachable before a request is given up; nothing was sent to them.
const MOST_UNREACHABLE: u32 = 4;
/// Advice when to come back after a refusal, before its random addition.
const COME_BACK: Millis = Millis(150);
/// Random addition, so that callers don't come back at the same instant.
const COME_BACK_SPREAD_MS: u64 = 250;
/// Advice while this entry can't decide; another entry can.
const COME_BACK_ELSEWHERE: Millis = Millis(60);
/// Silence of an endpoint, in targets of the route, after which it is taken for unreachable.
const SILENT_TARGETS: u64 = 3;
/// Least such silence.
const SILENT_LEAST: Millis = Millis(300);
/// Urgency where neither team nor route tells one: the middle of the range.
const DEFAULT_PRIORITY: u8 = 5;

/// What is known of a request in flight, for the log when its caller leaves.
#[derive(Debug, Default)]
pub struct Progress {
    id: Vec<u8>,
    route: String,
    pool: String,
    endpoint: String,
    first: Option<Millis>,
}

/// How an attempt ended.
#[derive(Debug)]
enum Attempt {
    /// The answer was delivered, or as much of it as there will be; whether the connection is kept.
    Over(bool),
    /// Nothing was sent to this endpoint.
    NotSent(EndpointKey),
    /// The endpoint did not run it.
    NotRun(EndpointKey),
    /// It may have run.
    Lost(EndpointKey),
    /// There is no endpoint to try.
    NoEndpoint,
    /// It is no longer allowed.
    Denied(Denied),
    /// The time was over.
    TimeOver,
    /// The caller can't be written to.
    CallerGone,
}

/// One request with everything that its attempts share.
#[derive(Debug)]
struct Job<'a> {
    entry: &'a Rc<Entry>,
    incoming: &'a Incoming,
    ask: &'a Ask,
    progress: &'a RefCell<Progress>,
    catalog: Rc<Catalog>,
    allowed: Allowed,
    pool: String,
    end: Millis,
    tried: Vec<EndpointKey>,
    attempts: u32,
    sent: bool,
    position: Rc<Cell<Position>>,
}

/// Serves a request; false when the connection is to be closed.
pub async fn handle(
    entry: &Rc<Entry>,
    incoming: &Incoming,
    answerer: &mut Answerer,
    progress: &RefCell<Progress>,
) -> bool {
    let ask = match entry.dialect.ask(&incoming.head) {
        Ok(ask) => ask,
        Err(refusal) => return refuse(entry, answerer, refusal, None).await,
    };
    progress.borrow_mut().id = ask.id.as_bytes().to_vec();
    if entry.life() == Life::Stopping {
        log_refused(entry, &ask, incoming, RefusedWhy::Stopping);
        let refusal = Refusal::NotRun(COME_BACK_ELSEWHERE);
        return refuse(entry, answerer, refusal, Some(&ask)).await;
    }
    let allowed = match entry.allow(&ask) {
        Ok(allowed) => allowed,
        Err(denied) => return deny(entry, answerer, &ask, incoming, denied).await,
    };
    let Some(catalog) = entry.catalog() else {
        return deny(entry, answerer, &ask, incoming, Denied::NoCatalog).await;
    };
    let mut job = Job::new(entry, incoming, &ask, progress, catalog, allowed);
    job.run(answerer).await
}

/// Logs that a caller left before its answer was complete.
pub fn caller_left(entry: &Entry, incoming: &Incoming, progress: &Progress) {
    let ended = Decision::Ended {
        route: progress.route.clone(),
        endpoint: progress.endpoint.clone(),
        how: EndedHow::CallerGone,
        status: 0,
        first_ms: progress.first.map(|at| (at - incoming.at).0),
        total_ms: (entry.clock.now() - incoming.at).0,
    };
    entry.log.request(&progress.id, ended);
    entry.gauges.request(&progress.pool, "caller_gone");
}

impl<'a> Job<'a> {
    fn new(
        entry: &'a Rc<Entry>,
        incoming: &'a Incoming,
        ask: &'a Ask,
        progress: &'a RefCell<Progress>,
        catalog: Rc<Catalog>,
        allowed: Allowed,
    ) -> Self {
        let route = &catalog.routes[allowed.route.0];
        let pool = pick_pool(route);
        let patience = ask.patience.unwrap_or(route.timeout);
        let end = incoming.at + patience.min(route.timeout);
        let mut noted = progress.borrow_mut();
        noted.route.clone_from(&route.name);
        noted.pool.clone_from(&pool);
        drop(noted);
        Self {
            entry,
            incoming,
            ask,
            progress,
            allowed,
            pool,
            end,
            tried: Vec::new(),
            attempts: 0,
            sent: false,
            position: Rc::new(Cell::new(Position {
                last_event: ask.last_event,
                ..Position::default()
            })),
            catalog,
        }
    }

    fn route(&self) -> &Route {
        &self.catalog.routes[self.allowed.route.0]
    }

    fn priority(&self) -> Option<u8> {
        let team = self.allowed.team.map(|team| &self.catalog.teams[team.0]);
        let priority = team.and_then(|team| team.priority);
        Some(priority.unwrap_or(self.route().priority))
    }

    /// Whether another run after one of unknown outcome is harmless.
    fn may_repeat(&self) -> bool {
        let resumable = matches!(
            self.route().shape,
            Shape::Events {
                resumable: true,
                ..
            }
        );
        let is_resumable_now =
            self.position.get().last_event.is_some() || !self.position.get().begun;
        match self.route().repeat {
            Repeat::Harmless if self.position.get().begun => resumable && is_resumable_now,
            Repeat::Harmless => true,
            Repeat::Once => false,
        }
    }

    async fn run(&mut self, answerer: &mut Answerer) -> bool {
        self.count_first();
        let mut unreachable = 0;
        loop {
            match self.attempt(answerer).await {
                Attempt::Over(kept) => return kept,
                Attempt::CallerGone => {
                    caller_left(self.entry, self.incoming, &self.progress.borrow());
                    return false;
                }
                Attempt::NotSent(key) => {
                    self.tried.push(key);
                    unreachable += 1;
                    if unreachable >= MOST_UNREACHABLE {
                        return self.give_up(answerer, RefusedWhy::NoEndpoint).await;
                    }
                }
                Attempt::NotRun(key) => {
                    self.tried.push(key);
                    if !self.may_go_on() {
                        return self.give_up(answerer, RefusedWhy::EndpointRefused).await;
                    }
                }
                Attempt::Lost(key) => {
                    self.tried.push(key);
                    if !(self.may_repeat() && self.may_go_on()) {
                        return self.lost(answerer).await;
                    }
                }
                Attempt::NoEndpoint if self.sent => return self.lost(answerer).await,
                Attempt::NoEndpoint => return self.give_up(answerer, RefusedWhy::NoEndpoint).await,
                Attempt::Denied(denied) if !self.sent => {
                    return deny(self.entry, answerer, self.ask, self.incoming, denied).await
                }
                Attempt::Denied(_) => return self.lost(answerer).await,
                Attempt::TimeOver => return self.time_over(answerer).await,
            }
        }
    }

    /// Counts the request in the pool's retry budget.
    fn count_first(&self) {
        let now = self.entry.clock.now();
        let allowance = self.entry.settings.borrow().bounds.retries();
        let mut retries = self.entry.retries.borrow_mut();
        let window = retries.entry(self.pool.clone()).or_default();
        window.first(now, allowance);
    }

    /// Whether the request may be sent to another endpoint, after one had it.
    fn may_go_on(&self) -> bool {
        let now = self.entry.clock.now();
        if self.attempts >= self.route().max_attempts || now >= self.end {
            return false;
        }
        let allowance = self.entry.settings.borrow().bounds.retries();
        let entries = self.entry.peers.borrow().entries(now);
        let mut retries = self.entry.retries.borrow_mut();
        let window = retries.entry(self.pool.clone()).or_default();
        window.take(now, allowance, entries)
    }

    async fn attempt(&mut self, answerer: &mut Answerer) -> Attempt {
        let Some(choice) = self.choose() else {
            return Attempt::NoEndpoint;
        };
        let key = choice.key;
        let Some(channel) = self.open(key).await else {
            self.entry
                .endpoint_failed(key, Fault::Contact, "no connection");
            return Attempt::NotSent(key);
        };
        // Nothing is awaited between here and the first byte that leaves.
        let now = self.entry.clock.now();
        if now >= self.end {
            return Attempt::TimeOver;
        }
        if !self.entry.directory().takes_work(key) {
            return Attempt::NotSent(key);
        }
        match self.entry.allow(self.ask) {
            Ok(allowed) if self.is_same(allowed) => {}
            Ok(_) => return Attempt::Denied(Denied::StaleCatalog),
            Err(denied) => return Attempt::Denied(denied),
        }
        self.attempts += 1;
        self.send(answerer, channel, choice, now).await
    }

    /// Whether the configuration in force now treats the request as the one that it began under.
    fn is_same(&mut self, allowed: Allowed) -> bool {
        let Some(catalog) = self.entry.catalog() else {
            return false;
        };
        let sends_here = |share: &crate::direct::catalog::Share| share.pool == self.pool;
        let route = &catalog.routes[allowed.route.0];
        let same = route.shares.iter().any(sends_here) && route.shape == self.route().shape;
        if same {
            self.catalog = catalog;
            self.allowed = allowed;
        }
        same
    }

    fn choose(&self) -> Option<Choice> {
        let now = self.entry.clock.now();
        let directory = self.entry.directory();
        let accounts = self.entry.accounts();
        let settings = self.entry.settings.borrow();
        let engine = self.catalog.pool(&self.pool).and_then(|pool| pool.engine);
        let demand = Demand {
            band: load::band(self.priority().unwrap_or(DEFAULT_PRIORITY)),
            parts: &self.ask.parts,
            output_tokens: self.ask.output_tokens,
            zone: &settings.zone,
            memory_tokens: engine.map_or(0, |engine| engine.memory_tokens),
            delicate: self.catalog.delicacy(self.route(), &self.pool),
            pause: self.catalog.tightest_pause(&self.pool),
        };
        let candidates = directory
            .of_pool(&self.pool)
            .filter(|(key, _)| !self.tried.contains(key))
            .filter_map(|(key, endpoint)| {
                let account = accounts.get(key)?;
                Some(Candidate {
                    key,
                    endpoint,
                    load: &account.load,
                    record: &account.record,
                })
            });
        choose::choose(demand, candidates, &self.entry.prefixes.borrow(), now)
    }

    /// A connection to an endpoint: a kept one that is quiet, or a new one.
    async fn open(&self, key: EndpointKey) -> Option<Channel> {
        if let Some(channel) = self.entry.idle_channel(key) {
            return Some(channel);
        }
        let address = self.entry.directory().get(key)?.listed.address;
        self.entry.gauges.connection();
        Channel::connect(address).await.ok()
    }

    async fn send(
        &mut self,
        answerer: &mut Answerer,
        channel: Channel,
        choice: Choice,
        now: Millis,
    ) -> Attempt {
        let key = choice.key;
        let head = {
            let directory = self.entry.directory();
            let Some(endpoint) = directory.get(key) else {
                return Attempt::NotSent(key);
            };
            self.log_placed(&choice, &endpoint.listed.id, now);
            let team = self.allowed.team.map(|team| &self.catalog.teams[team.0]);
            let order = Order {
                endpoint: &endpoint.listed.id,
                time_left: self.end - now,
                team: team.map(|team| team.name.as_str()),
                priority: self.priority(),
                last_event: self.position.get().last_event,
            };
            self.entry.dialect.order(&self.incoming.head, &order)
        };
        self.note_placement(&choice);
        let placed = self.entry.place(key, choice.footprint);
        let is_own = |head: &ResponseHead| self.entry.dialect.verdict(head, &self.ask.id).is_own;
        let sending = channel.send(head, &self.incoming.body, is_own);
        let reply = match self.wait(sending, key, now).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(Failure::Connect | Failure::NotSent)) => {
                self.attempts -= 1;
                self.log_failed(key, "connection failed before sending", false);
                return Attempt::NotSent(key);
            }
            Ok(Err(Failure::Lost)) => {
                self.sent = true;
                return self.failed(key, Fault::Answer, "connection lost");
            }
            Err(ended) => {
                self.sent = true;
                return ended;
            }
        };
        self.sent = true;
        self.answered(answerer, reply, choice, &placed, now).await
    }

    /// Remembers where the parts of the prompt are now, also for peers.
    fn note_placement(&self, choice: &Choice) {
        let unread = u64::from(choice.footprint.unread);
        let parts = &self.ask.parts;
        let mut prefixes = self.entry.prefixes.borrow_mut();
        prefixes.note(choice.key, parts, unread);
        let shared = parts.len().checked_sub(2).map(|last| parts[last].id);
        let directory = self.entry.directory();
        let endpoint = directory.get(choice.key).map(|e| e.digest);
        if let (Some(part), Some(endpoint)) = (shared, endpoint) {
            let placed = PlacedPrompt { part, endpoint };
            self.entry.placements.borrow_mut().add(placed);
        }
    }

    /// Waits for the head of the answer; a silent endpoint is left where that is harmless.
    async fn wait(
        &self,
        sending: impl std::future::Future<Output = Result<Reply, Failure>>,
        key: EndpointKey,
        sent_at: Millis,
    ) -> Result<Result<Reply, Failure>, Attempt> {
        let mut sending = pin!(sending);
        let silent = Millis(self.route().target.0 * SILENT_TARGETS).max(SILENT_LEAST);
        let left = (self.end + OVERTIME) - sent_at;
        tokio::select! {
            reply = &mut sending => return Ok(reply),
            () = sleep(silent.min(left).duration()) => {}
        }
        let mut heard = Millis(0);
        self.entry.account(key, |account| heard = account.heard);
        if heard <= sent_at && silent < left {
            self.entry.endpoint_failed(key, Fault::Contact, "silent");
            let others = self.attempts < self.route().max_attempts;
            if self.may_repeat() && others {
                self.log_failed(key, "silent", true);
                return Err(Attempt::Lost(key));
            }
        }
        let rest = (self.end + OVERTIME) - self.entry.clock.now();
        timeout(rest.duration(), sending)
            .await
            .map_err(|_| Attempt::TimeOver)
    }

    async fn answered(
        &mut self,
        answerer: &mut Answerer,
        reply: Reply,
        choice: Choice,
        placed: &Placed,
        sent_at: Millis,
    ) -> Attempt {
        let key = choice.key;
        let now = self.entry.clock.now();
        let verdict = self.entry.dialect.verdict(&reply.head, &self.ask.id);
        self.entry.account(key, |account| {
            account.heard = now;
            if let Some(report) = verdict.report {
                account.load.reported(report, now);
            }
        });
        let status = reply.head.status;
        if verdict.misdirected {
            self.attempts -= 1;
            self.sent = self.attempts > 0;
            self.entry
                .endpoint_failed(key, Fault::Contact, "another endpoint has its address");
            self.log_failed(key, "another endpoint has its address", false);
            return Attempt::NotRun(key);
        }
        if verdict.not_run {
            return self.not_run(key, reply, &verdict).await;
        }
        let is_error = !status.is_success();
        if !verdict.sealed && !is_error {
            return self.failed(key, Fault::Answer, "success without the endpoint's seal");
        }
        if is_error && self.may_repeat() && status.is_server_error() && self.has_attempts() {
            return self.failed(key, Fault::Answer, "the endpoint's own error");
        }
        if is_error && !verdict.sealed {
            return self.failed(key, Fault::Answer, "an error without the endpoint's seal");
        }
        let rest = (self.end + OVERTIME) - now;
        let relaying = async {
            if is_error || self.route().shape == Shape::Whole {
                self.relay_whole(answerer, reply, choice, &verdict, (placed, sent_at))
                    .await
            } else {
                self.relay_events(answerer, reply, choice, &verdict, (placed, sent_at))
                    .await
            }
        };
        match timeout(rest.duration(), relaying).await {
            Ok(attempt) => attempt,
            Err(_) => Attempt::TimeOver,
        }
    }
}

/// When a request was sent, and the guard of its load at the endpoint.
type Sent<'a> = (&'a Placed, Millis);

impl Job<'_> {
    fn has_attempts(&self) -> bool {
        self.attempts < self.route().max_attempts
    }

    /// The endpoint says that it did not run the request.
    async fn not_run(&self, key: EndpointKey, mut reply: Reply, verdict: &Verdict) -> Attempt {
        let status = reply.head.status;
        // The body is of no interest, but the connection can be kept once it has been read.
        if relay::whole(&mut reply).await.is_ok() {
            self.keep(key, reply, verdict);
        }
        if !self.is_busy(key) {
            let why = "refuses although it has room";
            self.entry.endpoint_failed(key, Fault::Answer, why);
        }
        self.log_failed(key, &format!("not run, status {}", status.as_u16()), false);
        self.entry.gauges.attempt(&self.pool, "not_run");
        Attempt::NotRun(key)
    }

    /// Whether a refusal is due to load: most slots are taken, or requests wait there.
    fn is_busy(&self, key: EndpointKey) -> bool {
        let now = self.entry.clock.now();
        let directory = self.entry.directory();
        let slots = directory.get(key).map_or(1, |e| e.listed.slots.max(1));
        let mut busy = false;
        self.entry.account(key, |account| {
            let running = account.load.total(now).running;
            busy = running * 2 >= slots || account.load.waiting(now) > 0;
        });
        busy
    }

    fn failed(&self, key: EndpointKey, fault: Fault, why: &str) -> Attempt {
        self.entry.endpoint_failed(key, fault, why);
        self.log_failed(key, why, true);
        self.entry.gauges.attempt(&self.pool, "lost");
        Attempt::Lost(key)
    }

    async fn relay_whole(
        &mut self,
        answerer: &mut Answerer,
        mut reply: Reply,
        choice: Choice,
        verdict: &Verdict,
        (placed, sent_at): Sent<'_>,
    ) -> Attempt {
        let key = choice.key;
        let Ok(body) = relay::whole(&mut reply).await else {
            return self.failed(key, Fault::Answer, "the answer broke off");
        };
        self.began(&choice, placed, sent_at);
        let status = reply.head.status;
        let head = self.entry.dialect.answer(&reply.head);
        self.keep(key, reply, verdict);
        let how = if status == StatusCode::GATEWAY_TIMEOUT {
            // The request's own time was over, which says nothing about the endpoint.
            EndedHow::EndpointError
        } else if status.is_server_error() {
            self.entry
                .endpoint_failed(key, Fault::Answer, "the endpoint's own error");
            EndedHow::EndpointError
        } else {
            self.entry.endpoint_served(key);
            EndedHow::Served
        };
        if answerer.whole(head, body, self.is_closing()).await.is_err() {
            return Attempt::CallerGone;
        }
        self.log_ended(how, status.as_u16());
        Attempt::Over(answerer.is_kept())
    }

    async fn relay_events(
        &mut self,
        answerer: &mut Answerer,
        mut reply: Reply,
        choice: Choice,
        verdict: &Verdict,
        (placed, sent_at): Sent<'_>,
    ) -> Attempt {
        let key = choice.key;
        let status = reply.head.status.as_u16();
        let head = self.entry.dialect.answer(&reply.head);
        let close = self.is_closing();
        // The position is kept in the job also when this future is dropped at the time limit.
        let position = self.position.clone();
        let begin = || {
            self.began(&choice, placed, sent_at);
            head.clone()
        };
        match relay::events(&mut reply, answerer, &position, begin, close).await {
            Ok(()) => {
                self.keep(key, reply, verdict);
                self.entry.endpoint_served(key);
                self.log_ended(EndedHow::Served, status);
                Attempt::Over(answerer.is_kept())
            }
            Err(Broken::Caller) => Attempt::CallerGone,
            Err(Broken::Endpoint) => self.failed(key, Fault::Answer, "the stream broke off"),
        }
    }

    /// The answer's first byte is about to leave.
    fn began(&self, choice: &Choice, placed: &Placed, sent_at: Millis) {
        let now = self.entry.clock.now();
        placed.read();
        self.entry.account(choice.key, |account| {
            account.heard = now;
            account.record.began(now, now - sent_at, choice.expected_ms);
        });
        let mut progress = self.progress.borrow_mut();
        if progress.first.is_none() {
            progress.first = Some(now);
            let ms = (now - self.incoming.at).0 as f64;
            let priority = self.priority().unwrap_or(DEFAULT_PRIORITY);
            self.entry.gauges.first_byte(&self.pool, priority, ms);
        }
    }

    fn keep(&self, key: EndpointKey, reply: Reply, verdict: &Verdict) {
        if let Some(mut channel) = reply.into_channel() {
            channel.idle_time = verdict.idle_time;
            self.entry.keep_channel(key, channel);
        }
    }

    fn is_closing(&self) -> bool {
        self.entry.life() != Life::Serving
    }

    /// Nothing ran anywhere, and nothing will.
    async fn give_up(&self, answerer: &mut Answerer, why: RefusedWhy) -> bool {
        if self.position.get().begun {
            return self.broken();
        }
        log_refused(self.entry, self.ask, self.incoming, why);
        self.entry.gauges.request(&self.pool, "not_run");
        let spread = rand::thread_rng().gen_range(0..COME_BACK_SPREAD_MS);
        let refusal = Refusal::NotRun(COME_BACK + Millis(spread));
        refuse(self.entry, answerer, refusal, Some(self.ask)).await
    }

    /// It may have run.
    async fn lost(&self, answerer: &mut Answerer) -> bool {
        if self.position.get().begun {
            return self.broken();
        }
        self.log_ended(EndedHow::Unknown, 502);
        refuse(self.entry, answerer, Refusal::Unknown, Some(self.ask)).await
    }

    async fn time_over(&self, answerer: &mut Answerer) -> bool {
        if self.position.get().begun {
            return self.broken();
        }
        if !self.sent {
            return self.give_up(answerer, RefusedWhy::TimeOver).await;
        }
        self.log_ended(EndedHow::TimeOver, 504);
        refuse(self.entry, answerer, Refusal::TimeOver, Some(self.ask)).await
    }

    /// A stream that began can't be completed; its connection is closed without its end.
    fn broken(&self) -> bool {
        self.log_ended(EndedHow::Broken, 0);
        false
    }

    fn log_placed(&self, choice: &Choice, endpoint: &str, now: Millis) {
        self.progress.borrow_mut().endpoint = endpoint.into();
        let mut running = 0;
        self.entry.account(choice.key, |account| {
            running = account.load.total(now).running;
        });
        let placed = Decision::Placed {
            route: self.route().name.clone(),
            endpoint: endpoint.into(),
            attempt: self.attempts,
            expected_ms: choice.expected_ms as u64,
            cached: choice.cached,
            unread: choice.footprint.unread,
            running,
            catalog: self.catalog.version,
            proof_age_ms: self.entry.proof_age().map(|age| age.0),
            left_ms: (self.end - now).0,
        };
        self.entry.log.request(self.ask.id.as_bytes(), placed);
    }

    fn log_failed(&self, key: EndpointKey, failure: &str, may_have_run: bool) {
        let directory = self.entry.directory();
        let endpoint = directory.get(key).map(|e| e.listed.id.clone());
        let failed = Decision::AttemptFailed {
            endpoint: endpoint.unwrap_or_else(|| self.progress.borrow().endpoint.clone()),
            attempt: self.attempts,
            failure: failure.into(),
            may_have_run,
            attempts_left: self.route().max_attempts.saturating_sub(self.attempts),
        };
        self.entry.log.request(self.ask.id.as_bytes(), failed);
    }

    fn log_ended(&self, how: EndedHow, status: u16) {
        let progress = self.progress.borrow();
        let now = self.entry.clock.now();
        let ended = Decision::Ended {
            route: progress.route.clone(),
            endpoint: progress.endpoint.clone(),
            how,
            status,
            first_ms: progress.first.map(|at| (at - self.incoming.at).0),
            total_ms: (now - self.incoming.at).0,
        };
        self.entry.log.request(self.ask.id.as_bytes(), ended);
        self.entry.gauges.request(&self.pool, how.label());
    }
}

async fn deny(
    entry: &Entry,
    answerer: &mut Answerer,
    ask: &Ask,
    incoming: &Incoming,
    denied: Denied,
) -> bool {
    log_refused(entry, ask, incoming, RefusedWhy::Denied(denied));
    let refusal = match denied {
        Denied::NoRoute => Refusal::NoRoute,
        Denied::NoKey => Refusal::NoKey,
        Denied::NoCatalog | Denied::StaleCatalog => Refusal::NotRun(COME_BACK_ELSEWHERE),
    };
    refuse(entry, answerer, refusal, Some(ask)).await
}

async fn refuse(
    entry: &Entry,
    answerer: &mut Answerer,
    refusal: Refusal,
    ask: Option<&Ask>,
) -> bool {
    let head = entry.dialect.refusal(refusal, ask.map(|ask| &ask.id));
    let close = entry.life() != Life::Serving;
    let written = answerer.whole(head, Bytes::new(), close).await;
    written.is_ok() && answerer.is_kept()
}

fn log_refused(entry: &Entry, ask: &Ask, incoming: &Incoming, why: RefusedWhy) {
    let refused = Decision::Refused {
        why,
        target: format!("{}{}", ask.host, ask.path),
        catalog: entry.version(),
        proof_age_ms: entry.proof_age().map(|age| age.0),
        held_ms: (entry.clock.now() - incoming.at).0,
    };
    entry.log.request(ask.id.as_bytes(), refused);
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
