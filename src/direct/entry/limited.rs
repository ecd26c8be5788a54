//! Limits that endpoints announce for all instances together: recorded from their answers, and
//! enforced by requesting a permit from the endpoint's coordinator before each request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::oneshot;

use super::Entry;
use crate::announced::AnnouncedLimit;
use crate::clock::Millis;
use crate::direct::decision::Decision;
use crate::direct::directory::EndpointKey;
use crate::direct::limits::{self, Message, PermitDecision, PermitRequest, PermitResponse, Target};
use crate::direct::peers::{Coordinator, ZoneId};
use crate::rate::Rate;

/// How long to wait for a peer's response to a permit request; longer than a datagram takes both
/// ways between regions.
const RESPONSE_TIMEOUT: Millis = Millis(150);
/// Most peers that are asked for one permit: the one that this entry takes for the coordinator, and
/// the one that this peer names instead.
const MAX_PEERS_ASKED: usize = 2;

/// Permit requests to peers that wait for their responses, by number. Each holds the peer that was
/// asked and the channel to the task that waits.
#[derive(Debug, Default)]
pub struct PendingRequests {
    by_number: RefCell<HashMap<u32, (SocketAddr, oneshot::Sender<PermitResponse>)>>,
    next_number: Cell<u32>,
}

/// One permit request to a peer, registered until it is dropped.
struct PendingRequest<'a> {
    pending: &'a PendingRequests,
    number: u32,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.pending.by_number.borrow_mut().remove(&self.number);
    }
}

impl PendingRequests {
    /// Registers a permit request to a peer; its response arrives on the returned channel.
    fn register(
        &self,
        peer: SocketAddr,
    ) -> (PendingRequest<'_>, oneshot::Receiver<PermitResponse>) {
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let (tx, rx) = oneshot::channel();
        self.by_number.borrow_mut().insert(number, (peer, tx));
        let pending = self;
        (PendingRequest { pending, number }, rx)
    }

    /// Passes a response on to the task that waits for it. A response from another peer than the one
    /// that was asked is dropped together with the pending request, which then counts as unanswered.
    fn complete(&self, from: SocketAddr, response: PermitResponse) {
        let mut pending = self.by_number.borrow_mut();
        let is_asked = pending
            .get(&response.number)
            .is_some_and(|(peer, _)| *peer == from);
        let asked = pending.remove(&response.number).filter(|_| is_asked);
        if let Some((_, tx)) = asked {
            // The task may have stopped waiting meanwhile.
            let _ = tx.send(response);
        }
    }
}

/// Counts one request as waiting for a permit until dropped.
#[derive(Debug)]
pub struct WaitingGuard(Rc<Entry>);

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.0
            .waiting_for_permit
            .set(self.0.waiting_for_permit.get() - 1);
    }
}

impl Entry {
    /// Records the limit that an endpoint announced in its answer to a request, and logs it if the
    /// limit in force changes. `request` is the caller's id of that request.
    pub fn record_announced_limit(
        &self,
        key: EndpointKey,
        announced: AnnouncedLimit,
        sent_at: Millis,
        request: &[u8],
    ) {
        let Some(target) = self.target(key) else {
            return;
        };
        let now = self.clock.now();
        let changed = self
            .limits
            .borrow_mut()
            .record_answer(target, announced, sent_at, now);
        if let Some(limit) = changed {
            let request = String::from_utf8_lossy(request).into_owned();
            self.log_limit_change(target, limit, Some(request), None);
        }
    }

    /// The limit of an endpoint; `None` if it has none.
    pub fn limit(&self, key: EndpointKey) -> Option<Rate> {
        let limits = self.limits.borrow();
        if limits.is_empty() {
            return None;
        }
        let endpoint = self.directory().get(key)?.digest;
        limits.limit(endpoint, self.clock.now())
    }

    /// Earliest time at which a permit for a request of this band may be requested; `None` if the
    /// endpoint, given by its digest, has no limit.
    pub fn permit_request_at(&self, endpoint: u32, band: usize) -> Option<Millis> {
        let now = self.clock.now();
        self.limits.borrow().permit_request_at(endpoint, band, now)
    }

    /// Counts a request as waiting for a permit until the guard is dropped.
    pub fn count_waiting_for_permit(self: &Rc<Self>) -> WaitingGuard {
        self.waiting_for_permit
            .set(self.waiting_for_permit.get() + 1);
        WaitingGuard(Rc::clone(self))
    }

    /// Requests a permit to send a request of this band to an endpoint now, from this entry or the
    /// peer that coordinates the endpoint. Endpoints without a limit need none.
    pub async fn request_permit(&self, key: EndpointKey, band: usize) -> PermitDecision {
        let Some(target) = self.target(key) else {
            return PermitDecision::Unlimited;
        };
        if self.limits.borrow().is_empty() {
            return PermitDecision::Unlimited;
        }
        let coordinator = self.reachable_coordinator(target);
        let now = self.clock.now();
        let mut decision = self
            .limits
            .borrow_mut()
            .decide(target, coordinator, band, now);
        for _ in 0..MAX_PEERS_ASKED {
            let PermitDecision::Ask(peer) = decision else {
                break;
            };
            decision = self.request_from_peer(peer, target, band).await;
        }
        self.metrics.permit(&decision);
        decision
    }

    /// Asks a peer for a permit and waits for the response, at most [`RESPONSE_TIMEOUT`].
    async fn request_from_peer(
        &self,
        peer: SocketAddr,
        target: Target,
        band: usize,
    ) -> PermitDecision {
        let now = self.clock.now();
        let (pending, rx) = self.permit_requests.register(peer);
        let request = self.limits.borrow().permit_request(
            target,
            pending.number,
            band,
            self.waiting_for_permit.get(),
            now,
        );
        self.send_limit_message(peer, &Message::Ask(request));
        let response = self.clock.timeout_at(now + RESPONSE_TIMEOUT, rx).await;
        let response = response.and_then(Result::ok);
        drop(pending);
        let now = self.clock.now();
        let mut limits = self.limits.borrow_mut();
        limits.handle_response(target, peer, response.as_ref(), band, now)
    }

    /// Handles a datagram about limits.
    pub fn handle_limit_message(&self, from: SocketAddr, message: Message) {
        match message {
            Message::Ask(request) => self.handle_permit_request(from, &request),
            Message::Answer(response) => self.permit_requests.complete(from, response),
            Message::Told(reports) => {
                let now = self.clock.now();
                for (endpoint, observation) in reports {
                    self.apply_reported_limit(endpoint, observation.observation(now), from);
                }
            }
        }
    }

    /// Answers a peer's permit request.
    fn handle_permit_request(&self, from: SocketAddr, request: &PermitRequest) {
        let target = Target {
            endpoint: request.endpoint,
            zone: request.zone,
        };
        let now = self.clock.now();
        let coordinator = self.coordinator(target);
        let response = self
            .limits
            .borrow_mut()
            .handle_request(request, coordinator, now);
        self.send_limit_message(from, &Message::Answer(response));
    }

    /// Applies a limit that a peer reported for an endpoint, and logs it if the limit in force
    /// changes.
    fn apply_reported_limit(
        &self,
        endpoint: u32,
        observation: limits::LimitObservation,
        from: SocketAddr,
    ) {
        let key = self.directory().by_digest(endpoint);
        // No requests are sent to an endpoint that is not listed here.
        let Some(target) = key.and_then(|key| self.target(key)) else {
            return;
        };
        let now = self.clock.now();
        let changed = self
            .limits
            .borrow_mut()
            .record_peer_observation(target, observation, now);
        if let Some(limit) = changed {
            self.log_limit_change(target, limit, None, Some(from));
        }
    }

    /// Updates the set of serving peers once per gossip round, forgets expired limits, and stops
    /// issuing permits for endpoints that another entry coordinates.
    pub fn update_limit_coordination(&self) {
        let now = self.clock.now();
        let is_leaving = self.process_state() != super::ProcessState::Serving;
        self.peers
            .borrow_mut()
            .update_serving_peers(is_leaving, now);
        let is_own = |target| matches!(self.coordinator(target), Coordinator::Own { .. });
        self.limits.borrow_mut().round(is_own, now);
    }

    /// Sends a datagram about limits. A lost one needs no resending: permits are requested again
    /// and limits reported again.
    pub fn send_limit_message(&self, to: SocketAddr, message: &Message) {
        let (Some(socket), Some(bytes)) = (self.peer_socket.get(), limits::encode(message)) else {
            return;
        };
        if let Err(err) = socket.try_send_to(&bytes, to) {
            tracing::debug!(%err, %to, "limit datagram not sent");
        }
    }

    /// The coordinator of an endpoint.
    fn coordinator(&self, target: Target) -> Coordinator {
        self.pick_coordinator(target, |_| false)
    }

    /// The coordinator to ask for a permit, which may be this entry. Peers that did not respond
    /// lately are passed over.
    fn reachable_coordinator(&self, target: Target) -> Coordinator {
        let now = self.clock.now();
        let limits = self.limits.borrow();
        self.pick_coordinator(target, |peer| limits.is_unresponsive(peer, now))
    }

    fn pick_coordinator(
        &self,
        target: Target,
        is_unresponsive: impl Fn(SocketAddr) -> bool,
    ) -> Coordinator {
        let peers = self.peers.borrow();
        let (now, started) = (self.clock.now(), self.started_at);
        peers.coordinator(target.endpoint, target.zone, started, now, is_unresponsive)
    }

    fn target(&self, key: EndpointKey) -> Option<Target> {
        let directory = self.directory();
        let endpoint = directory.get(key)?;
        Some(Target {
            endpoint: endpoint.digest,
            zone: ZoneId::of(&endpoint.listed.zone),
        })
    }

    fn log_limit_change(
        &self,
        target: Target,
        limit: Option<Rate>,
        in_answer_to: Option<String>,
        told_by: Option<SocketAddr>,
    ) {
        let directory = self.directory();
        let key = directory.by_digest(target.endpoint);
        if let Some(endpoint) = key.and_then(|key| directory.get(key)) {
            self.log.state_change(Decision::EndpointLimited {
                endpoint: endpoint.listed.id.clone(),
                per_s: limit.map(Rate::per_s),
                in_answer_to,
                told_by: told_by.map(|peer| peer.to_string()),
            });
        }
    }
}
