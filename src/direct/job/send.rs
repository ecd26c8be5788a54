//! One attempt: the request is sent to the endpoint that was chosen, and the head of its answer awaited.

use std::future::Future;
use std::pin::pin;

use actix_http::{RequestHead, ResponseHead};

use super::answer::Answered;
use super::{Attempt, Job};
use crate::clock::Millis;
use crate::direct::answerer::Answerer;
use crate::direct::catalog::PoolShare;
use crate::direct::channel::{Connection, ExchangeError, Reply};
use crate::direct::choose::Choice;
use crate::direct::dialect::EndpointRequest;
use crate::direct::directory::EndpointKey;
use crate::direct::ends::EndSign;
use crate::direct::health::Fault;
use crate::direct::load;
use crate::direct::peers::PromptPlacement;
use crate::direct::resolve::{Allowed, Denied};

/// Silence of an endpoint, in targets of the route, after which it is taken for unreachable.
const SILENT_TARGETS: u64 = 3;
/// Least such silence.
const SILENT_LEAST: Millis = Millis(300);

impl Job<'_> {
    /// Sends the request to one more endpoint and relays its answer.
    pub(super) async fn attempt(&mut self, answerer: &mut Answerer) -> Attempt {
        if let Some(why) = self.wait_for_turn().await {
            return Attempt::TurnedAway(why);
        }
        self.note_coming();
        let Some(choice) = self.next_choice() else {
            return self.wait_for_permit().await;
        };
        if let Some(why) = self.turned_away(&choice) {
            return Attempt::TurnedAway(why);
        }
        let key = choice.key;
        if !self.take_permit(key).await {
            return Attempt::Limited;
        }
        let Some(channel) = self.open(key).await else {
            self.entry
                .endpoint_failed(key, Fault::Unreachable, "no connection");
            return Attempt::NotSent(key);
        };
        // Nothing is awaited between here and the first byte that leaves.
        let now = self.entry.clock.now();
        if now >= self.end {
            return Attempt::TimeOver;
        }
        if !self.may_send(key, now) {
            self.entry.keep_connection(key, channel);
            return Attempt::Withdrawn(key);
        }
        // It may have named its limit since it was chosen.
        if !self.is_within_limit(key) {
            self.entry.keep_connection(key, channel);
            return Attempt::Limited;
        }
        match self.entry.allow(self.ask) {
            Ok(allowed) if self.renew(allowed) => {}
            Ok(_) => return Attempt::Denied(Denied::StaleCatalog),
            Err(denied) => return Attempt::Denied(denied),
        }
        if !self.take_turn(now) {
            self.entry.keep_connection(key, channel);
            return Attempt::Waits;
        }
        self.use_permit();
        self.attempts += 1;
        self.sent_to = self.entry.directory().get(key).map(|e| e.listed.address);
        self.send(answerer, channel, choice, now).await
    }

    /// Takes over the configuration in force now; false where that treats the request otherwise
    /// than the one that it began under.
    fn renew(&mut self, allowed: Allowed) -> bool {
        let Some(catalog) = self.entry.catalog() else {
            return false;
        };
        let sends_here = |share: &PoolShare| share.pool == self.pool;
        let route = &catalog.routes[allowed.route.0];
        let same = route.shares.iter().any(sends_here) && route.shape == self.route().shape;
        if same {
            self.catalog = catalog;
            self.allowed = allowed;
        }
        same
    }

    /// A connection to an endpoint: a kept one that is quiet, or a new one.
    async fn open(&self, key: EndpointKey) -> Option<Connection> {
        if let Some(channel) = self.entry.take_idle_connection(key) {
            return Some(channel);
        }
        let address = self.entry.directory().get(key)?.listed.address;
        self.entry.metrics.connection();
        let connected = Connection::connect(address).await;
        if matches!(connected, Err(ExchangeError::Refused)) {
            self.entry.endpoint_ended(key, EndSign::Refused);
        }
        connected.ok()
    }

    /// Sends the request; whatever is awaited comes after its first byte.
    async fn send(
        &mut self,
        answerer: &mut Answerer,
        channel: Connection,
        choice: Choice,
        now: Millis,
    ) -> Attempt {
        let key = choice.key;
        let Some(head) = self.endpoint_request(&choice, now) else {
            return Attempt::NotSent(key);
        };
        self.note_placement(&choice);
        let placed = self
            .entry
            .begin_run(key, &self.pool, choice.footprint, self.request);
        let is_own = |head: &ResponseHead| self.belongs_to_request(key, head);
        let sending = channel.send(head, &self.incoming.body, is_own);
        let reply = match self.wait(sending, key, now).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(ExchangeError::Refused | ExchangeError::Connect | ExchangeError::NotSent)) => {
                placed.undecided();
                self.attempts -= 1;
                self.log_failed(key, "connection failed before sending", false);
                return Attempt::NotSent(key);
            }
            Ok(Err(ExchangeError::Lost)) => {
                placed.broken();
                self.sent = true;
                return self.failed(key, Fault::Answer, "connection lost");
            }
            Err(ended) => {
                self.sent = true;
                return ended;
            }
        };
        self.sent = true;
        let answered = Answered {
            reply,
            choice,
            placed: &placed,
            sent_at: now,
        };
        self.answered(answerer, answered).await
    }

    /// Whether an answer is to this request. One to an earlier request that comes late is skipped, but what the
    /// endpoint announces in it holds all the same.
    fn belongs_to_request(&self, key: EndpointKey, head: &ResponseHead) -> bool {
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

    /// The head that the endpoint gets; `None` when it has left the list.
    fn endpoint_request(&self, choice: &Choice, now: Millis) -> Option<RequestHead> {
        let directory = self.entry.directory();
        let endpoint = directory.get(choice.key)?;
        self.log_placed(choice, &endpoint.listed.id, now);
        let copy = self
            .copy
            .filter(|key| directory.accepts_requests(*key, now));
        let copy = copy.and_then(|key| directory.get(key));
        let copy = copy.map(|e| e.listed.address);
        let fetch_from = choice.reuse.from.and_then(|key| directory.get(key));
        let fetch_from = fetch_from.map(|e| e.listed.address);
        let team = self.allowed.team.map(|team| &self.catalog.teams[team.0]);
        let endpoint_request = EndpointRequest {
            endpoint: &endpoint.listed.id,
            time_left: self.end - now,
            team: team.map(|team| team.name.as_str()),
            priority: Some(load::urgency_at_endpoint(
                self.route().priority,
                self.priority(),
            )),
            last_event: self.position.get().last_event,
            fetch_from: fetch_from.filter(|_| !self.takes_over),
            copy_to: copy.filter(|_| !self.takes_over),
            copy_of: copy.filter(|_| self.takes_over),
        };
        Some(
            self.entry
                .dialect
                .endpoint_request(&self.incoming.head, &endpoint_request),
        )
    }

    /// Remembers where the parts of the prompt are now, also for peers.
    fn note_placement(&self, choice: &Choice) {
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

    /// Waits for the head of the answer; a silent endpoint is left where that is harmless.
    async fn wait(
        &self,
        sending: impl Future<Output = Result<Reply, ExchangeError>>,
        key: EndpointKey,
        sent_at: Millis,
    ) -> Result<Result<Reply, ExchangeError>, Attempt> {
        let mut sending = pin!(sending);
        let silent = Millis(self.route().target.0 * SILENT_TARGETS).max(SILENT_LEAST);
        let clock = &self.entry.clock;
        let silent_at = sent_at + silent;
        let last_word = self.last_word();
        if let Some(reply) = clock
            .timeout_at(silent_at.min(last_word), &mut sending)
            .await
        {
            return Ok(reply);
        }
        if !self.was_heard(key, sent_at) && silent_at < last_word {
            self.entry
                .endpoint_failed(key, Fault::Unreachable, "silent");
            if self.may_repeat() && self.has_attempts() {
                self.log_failed(key, "silent", true);
                return Err(Attempt::Lost(key));
            }
        }
        let reply = clock.timeout_at(last_word, sending).await;
        reply.ok_or(Attempt::TimeOver)
    }

    /// Whether anything was heard of an endpoint since a time.
    fn was_heard(&self, key: EndpointKey, since: Millis) -> bool {
        let mut heard = Millis(0);
        self.entry
            .update_endpoint_state(key, |endpoint_state| heard = endpoint_state.last_contact_at);
        heard > since
    }
}
