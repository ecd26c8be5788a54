//! One attempt: sends the request to the chosen endpoint and waits for the head of its answer.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;

use actix_http::{RequestHead, ResponseHead};
use bytes::Bytes;

use super::answer::ReceivedAnswer;
use super::{AttemptOutcome, Job};
use crate::clock::Millis;
use crate::direct::admission::unreachable::ConnectionFailure;
use crate::direct::answerer::Answerer;
use crate::direct::catalog::PoolShare;
use crate::direct::channel::{Connection, ExchangeError, ReadProgress, Reply};
use crate::direct::decision::{RefusalReason, NO_CONNECTION};
use crate::direct::dialect::EndpointRequest;
use crate::direct::directory::EndpointKey;
use crate::direct::ends::EndSign;
use crate::direct::known::health::Fault;
use crate::direct::known::load;
use crate::direct::origins::Origin;
use crate::direct::peers::PromptPlacement;
use crate::direct::placement::choose::Choice;
use crate::direct::resolve::{Allowed, Denied};

/// Silence, as a multiple of the route's target, after which an endpoint counts as unreachable.
const UNREACHABLE_AFTER_TARGETS: u64 = 3;
/// Shortest such silence.
const MIN_SILENCE: Millis = Millis(300);
/// The failure of an endpoint whose bytes go on before its answer has begun.
const ENDLESS_HEAD: &str = "the head of the answer does not end";

impl Job<'_> {
    /// Sends the request to one more endpoint and relays its answer.
    pub(super) async fn attempt(&mut self, answerer: &mut Answerer) -> AttemptOutcome {
        // Released after what was to be the last attempt, which did not run the request.
        let Some(body) = self.incoming.body.bytes() else {
            return AttemptOutcome::NotAdmitted(RefusalReason::EndpointRefused);
        };
        if let Some(why) = self.wait_for_turn().await {
            return AttemptOutcome::NotAdmitted(why);
        }
        self.record_arrival();
        if let Some(why) = self.look_up_part_refusal() {
            return AttemptOutcome::NotAdmitted(why);
        }
        let Some(choice) = self.next_choice() else {
            return self.wait_for_permit().await;
        };
        if let Some(why) = self.admission_refusal(&choice) {
            return AttemptOutcome::NotAdmitted(why);
        }
        let key = choice.key;
        if !self.take_permit(key).await {
            return AttemptOutcome::NoPermit;
        }
        self.unreachable.start_search(self.entry.clock.now());
        let connection = match self.open_connection(key).await {
            Ok(connection) => connection,
            Err(failure) => {
                self.entry
                    .endpoint_failed(key, Fault::Unreachable, NO_CONNECTION);
                return AttemptOutcome::NotSent(key, failure);
            }
        };
        // No await between here and the first byte sent, so that these checks still hold then.
        let now = self.entry.clock.now();
        if now >= self.deadline {
            return AttemptOutcome::TimeOver;
        }
        self.part_refusal = self.entry.part_refusal(&self.parts);
        if !self.may_send(key, now) {
            self.entry.keep_connection(key, connection);
            return AttemptOutcome::NotAccepting(key);
        }
        // The endpoint may have announced its limit since it was chosen.
        if !self.is_within_limit(key) {
            self.entry.keep_connection(key, connection);
            return AttemptOutcome::NoPermit;
        }
        match self.entry.allow(self.ask) {
            Ok(allowed) if self.refresh_catalog(allowed) => {}
            Ok(_) => return AttemptOutcome::Denied(Denied::StaleCatalog),
            Err(denied) => return AttemptOutcome::Denied(denied),
        }
        if !self.take_turn(now) {
            self.entry.keep_connection(key, connection);
            return AttemptOutcome::CopyRunning;
        }
        if self.part_refusal.is_none() {
            self.entry.record_part_trial(&self.parts);
        }
        self.use_permit();
        self.attempts += 1;
        self.last_key = Some(key);
        self.last_address = self.entry.directory().get(key).map(|e| e.listed.address);
        self.send(answerer, connection, choice, body, now).await
    }

    /// Switches to the configuration in force now. False if it treats the request differently from
    /// the one under which the request started: another answer shape, or a route without this pool.
    fn refresh_catalog(&mut self, allowed: Allowed) -> bool {
        let Some(catalog) = self.entry.catalog() else {
            return false;
        };
        let is_own_pool = |share: &PoolShare| share.pool == self.pool;
        let route = &catalog.routes[allowed.route.0];
        let is_same_treatment =
            route.shares.iter().any(is_own_pool) && route.shape == self.route().shape;
        if is_same_treatment {
            self.catalog = catalog;
            self.allowed = allowed;
        }
        is_same_treatment
    }

    /// A connection to an endpoint: an idle one, or a new one. Fails if it can't be reached.
    async fn open_connection(&self, key: EndpointKey) -> Result<Connection, ConnectionFailure> {
        if let Some(connection) = self.entry.take_idle_connection(key) {
            return Ok(connection);
        }
        let address = self.entry.directory().get(key).map(|e| e.listed.address);
        let address = address.ok_or(ConnectionFailure::Refused)?;
        self.entry.metrics.connection();
        let connected = Connection::connect(address).await;
        if matches!(connected, Err(ExchangeError::Refused)) {
            self.entry.endpoint_ended(key, EndSign::Refused);
        }
        connected.map_err(connection_failure)
    }

    /// Sends the request and waits for its answer; nothing is awaited before the first byte is
    /// sent.
    async fn send(
        &mut self,
        answerer: &mut Answerer,
        connection: Connection,
        choice: Choice,
        body: Bytes,
        now: Millis,
    ) -> AttemptOutcome {
        let key = choice.key;
        let Some((head, origin)) = self.request_head(&choice, now) else {
            return AttemptOutcome::NotSent(key, ConnectionFailure::Refused);
        };
        self.record_placement(&choice);
        let was_idle = self.has_nothing_to_prefill(key, now);
        let run_guard = self.entry.begin_run(
            key,
            &self.pool,
            choice.footprint,
            self.fingerprint,
            Rc::clone(&self.parts),
        );
        let is_own = |head: &ResponseHead| self.is_own_answer(key, head);
        let progress = connection.progress();
        let sending = connection.send(head, body, is_own, || self.release_large_body());
        let reply = match self.wait_for_head(sending, &progress, key, now).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(ExchangeError::Malformed(fault))) => {
                run_guard.undecided();
                self.may_have_run = true;
                return self.record_failure(key, Fault::Answer, fault.text());
            }
            Ok(Err(error @ (ExchangeError::Lost | ExchangeError::Endless))) => {
                run_guard.broken();
                self.may_have_run = true;
                let why = match error {
                    ExchangeError::Endless => ENDLESS_HEAD,
                    _ => "connection lost",
                };
                return self.record_failure(key, Fault::Answer, why);
            }
            Ok(Err(error)) => {
                run_guard.undecided();
                self.attempts -= 1;
                self.log_failed(key, "connection failed before sending", false);
                return AttemptOutcome::NotSent(key, connection_failure(error));
            }
            Err(ended) => {
                self.may_have_run = true;
                return ended;
            }
        };
        self.may_have_run = true;
        let answer = ReceivedAnswer {
            reply,
            choice,
            origin,
            run_guard: &run_guard,
            sent_at: now,
            was_idle,
        };
        self.handle_answer(answerer, answer).await
    }

    /// Frees the memory of the body once no further attempt can need it.
    pub(super) fn release_body(&self) {
        let may_repeat = self.may_repeat() && self.has_attempts_left();
        if !may_repeat && self.copy_key.is_none() {
            self.incoming.body.release();
        }
    }

    /// The same for a large body that has been written completely, as far as its last attempt goes.
    fn release_large_body(&self) {
        if self.incoming.body.is_large() && !self.has_attempts_left() {
            self.release_body();
        }
    }

    /// Whether an answer belongs to this request. A late answer to an earlier request is skipped,
    /// but what the endpoint announces in it is applied all the same.
    fn is_own_answer(&self, key: EndpointKey, head: &ResponseHead) -> bool {
        let response_info = self.entry.dialect.response_info(head, &self.ask.id);
        if !response_info.belongs_to_request {
            let (announcement, id) = (response_info.announcement, self.ask.id.as_bytes());
            self.entry.record_announcement(key, announcement, id);
            let sent = Millis(0);
            self.entry
                .record_announced_limit(key, announcement.limit, sent, id);
        }
        response_info.belongs_to_request
    }

    /// Logs the attempt and returns the request head for the endpoint, with the origin of a stream
    /// that it begins; `None` if it has left the list.
    fn request_head(&self, choice: &Choice, now: Millis) -> Option<(RequestHead, Origin)> {
        let directory = self.entry.directory();
        let endpoint = directory.get(choice.key)?;
        self.log_placed(choice, &endpoint.listed, now);
        let copy = self
            .copy_key
            .filter(|key| directory.accepts_requests(*key, now));
        let copy = copy.and_then(|key| directory.get(key));
        let copy = copy.map(|e| e.listed.address);
        let fetch_from = choice.reuse.from.and_then(|key| directory.get(key));
        let fetch_from = fetch_from.map(|e| e.listed.address);
        let team = self.allowed.team.map(|team| &self.catalog.teams[team]);
        let endpoint_request = EndpointRequest {
            endpoint: &endpoint.listed.id,
            time_left: self.deadline - now,
            team: team.map(|team| team.name.as_str()),
            priority: Some(load::urgency_at_endpoint(
                self.route().priority,
                self.priority(),
            )),
            last_event: self.position.get().last_event,
            fetch_from: fetch_from.filter(|_| !self.resumes_from_copy),
            copy_to: copy.filter(|_| !self.resumes_from_copy),
            copy_of: copy.filter(|_| self.resumes_from_copy),
        };
        let dialect = &self.entry.dialect;
        let head = dialect.endpoint_request(&self.incoming.head, &endpoint_request);
        Some((head, endpoint.origin))
    }

    /// Records where the parts of the prompt are from now on, also for peers.
    fn record_placement(&self, choice: &Choice) {
        let now = self.entry.clock.now();
        let parts = &self.ask.parts;
        let mut prefixes = self.entry.prefixes.borrow_mut();
        let read_at = now + Millis(choice.expected_ms as u64);
        let ids = parts.iter().map(|part| part.id);
        prefixes.record_use(choice.key, ids, now, read_at);
        let shared = parts.len().checked_sub(2).map(|last| parts[last].id);
        let directory = self.entry.directory();
        let endpoint = directory.get(choice.key).map(|e| e.digest);
        if let (Some(part), Some(endpoint)) = (shared, endpoint) {
            let placed = PromptPlacement {
                segment_id: part,
                endpoint,
            };
            self.entry.placements.borrow_mut().add(placed, now);
            self.entry.zone_placements.borrow_mut().add(placed, now);
        }
    }

    /// Waits for the head of the answer. Gives up on an endpoint that is silent, or whose head does
    /// not end, where the request can be repeated.
    async fn wait_for_head(
        &self,
        sending: impl Future<Output = Result<Reply, ExchangeError>>,
        progress: &ReadProgress,
        key: EndpointKey,
        sent_at: Millis,
    ) -> Result<Result<Reply, ExchangeError>, AttemptOutcome> {
        let mut sending = pin!(sending);
        let silent = Millis(self.route().target.0 * UNREACHABLE_AFTER_TARGETS).max(MIN_SILENCE);
        let clock = &self.entry.clock;
        let silent_at = sent_at + silent;
        let answer_deadline = self.answer_deadline();
        if let Some(reply) = clock
            .timeout_at(silent_at.min(answer_deadline), &mut sending)
            .await
        {
            return Ok(reply);
        }
        let fault = match progress.is_inside_item() {
            true => Some((Fault::Answer, ENDLESS_HEAD)),
            false if self.was_heard_since(key, sent_at) => None,
            false => Some((Fault::Unreachable, "silent")),
        };
        if let Some((fault, why)) = fault.filter(|_| silent_at < answer_deadline) {
            self.entry.endpoint_failed(key, fault, why);
            if self.may_repeat() && self.has_attempts_left() {
                self.log_failed(key, why, true);
                return Err(AttemptOutcome::Lost(key));
            }
        }
        let reply = clock.timeout_at(answer_deadline, sending).await;
        if reply.is_none() && progress.is_inside_item() {
            self.record_failure(key, Fault::Answer, ENDLESS_HEAD);
        }
        reply.ok_or(AttemptOutcome::TimeOver)
    }

    /// Whether anything was received from an endpoint after `since`.
    fn was_heard_since(&self, key: EndpointKey, since: Millis) -> bool {
        let mut heard = Millis(0);
        self.entry
            .update_endpoint_state(key, |endpoint_state| heard = endpoint_state.last_contact_at);
        heard > since
    }
}

/// What an exchange that failed before anything was sent tells of the endpoint.
fn connection_failure(error: ExchangeError) -> ConnectionFailure {
    match error {
        ExchangeError::Refused | ExchangeError::Reset | ExchangeError::NotSent => {
            ConnectionFailure::Refused
        }
        ExchangeError::Connect
        | ExchangeError::Lost
        | ExchangeError::Endless
        | ExchangeError::Malformed(_) => ConnectionFailure::Unanswered,
    }
}
