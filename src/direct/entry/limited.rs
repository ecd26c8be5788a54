//! Limits that endpoints name for all instances together: taken, and kept by permits of their coordinators.

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

/// Time in which a peer answers a question; longer than a datagram takes both ways between regions.
const ANSWER_TIME: Millis = Millis(150);
/// Peers that are asked for one permit: the one that this entry takes for the coordinator, and the one that it names.
const MOST_ASKED: usize = 2;

/// Questions for permits that wait for their answers, by number.
#[derive(Debug, Default)]
pub struct Questions {
    waiting: RefCell<HashMap<u32, (SocketAddr, oneshot::Sender<PermitResponse>)>>,
    next: Cell<u32>,
}

/// One question, until it is answered or given up.
struct Question<'a> {
    questions: &'a Questions,
    number: u32,
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.questions.waiting.borrow_mut().remove(&self.number);
    }
}

impl Questions {
    /// A question to a peer, and where its answer comes.
    fn begin(&self, peer: SocketAddr) -> (Question<'_>, oneshot::Receiver<PermitResponse>) {
        let number = self.next.get();
        self.next.set(number.wrapping_add(1));
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, (peer, tx));
        let questions = self;
        (Question { questions, number }, rx)
    }

    /// A peer answered.
    fn answered(&self, from: SocketAddr, answer: PermitResponse) {
        let mut waiting = self.waiting.borrow_mut();
        let is_asked = waiting
            .get(&answer.number)
            .is_some_and(|(peer, _)| *peer == from);
        let asked = waiting.remove(&answer.number).filter(|_| is_asked);
        if let Some((_, tx)) = asked {
            // Whoever asked may have given up meanwhile.
            let _ = tx.send(answer);
        }
    }
}

/// A request that waits for a permit.
#[derive(Debug)]
pub struct Waiting(Rc<Entry>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

impl Entry {
    /// An endpoint answered a request that was sent at a time; what it names counts.
    pub fn record_announced_limit(
        &self,
        key: EndpointKey,
        named: AnnouncedLimit,
        sent: Millis,
        request: &[u8],
    ) {
        let Some(target) = self.target(key) else {
            return;
        };
        let now = self.clock.now();
        let changed = self
            .limits
            .borrow_mut()
            .record_answer(target, named, sent, now);
        if let Some(limit) = changed {
            let request = String::from_utf8_lossy(request).into_owned();
            self.log_limited(target, limit, Some(request), None);
        }
    }

    /// The limit of an endpoint; `None` where it has none.
    pub fn limit(&self, key: EndpointKey) -> Option<Rate> {
        let limits = self.limits.borrow();
        if limits.is_empty() {
            return None;
        }
        let endpoint = self.directory().get(key)?.digest;
        limits.limit(endpoint, self.clock.now())
    }

    /// When a permit for a request of a band may be asked for at a limited endpoint; `None` where it has no limit.
    pub fn permit_request_at(&self, endpoint: u32, band: usize) -> Option<Millis> {
        let now = self.clock.now();
        self.limits.borrow().permit_request_at(endpoint, band, now)
    }

    /// Counts a request as waiting for a permit until the guard is dropped.
    pub fn count_waiting_for_permit(self: &Rc<Self>) -> Waiting {
        self.waiting.set(self.waiting.get() + 1);
        Waiting(Rc::clone(self))
    }

    /// A permit to send a request of a band to an endpoint now, where that needs one.
    pub async fn request_permit(&self, key: EndpointKey, band: usize) -> PermitDecision {
        let Some(target) = self.target(key) else {
            return PermitDecision::Unlimited;
        };
        if self.limits.borrow().is_empty() {
            return PermitDecision::Unlimited;
        }
        let by = self.whom_to_ask(target);
        let now = self.clock.now();
        let mut step = self.limits.borrow_mut().decide(target, by, band, now);
        for _ in 0..MOST_ASKED {
            let PermitDecision::Ask(peer) = step else {
                break;
            };
            step = self.ask(peer, target, band).await;
        }
        self.metrics.permit(&step);
        step
    }

    /// Asks a peer for a permit.
    async fn ask(&self, peer: SocketAddr, target: Target, band: usize) -> PermitDecision {
        let now = self.clock.now();
        let (question, rx) = self.questions.begin(peer);
        let ask = self.limits.borrow().permit_request(
            target,
            question.number,
            band,
            self.waiting.get(),
            now,
        );
        self.send_limit_message(peer, &Message::Ask(ask));
        let answer = self.clock.timeout_at(now + ANSWER_TIME, rx).await;
        let answer = answer.and_then(Result::ok);
        drop(question);
        let now = self.clock.now();
        let mut limits = self.limits.borrow_mut();
        limits.handle_response(target, peer, answer.as_ref(), band, now)
    }

    /// Takes a datagram on limits.
    pub fn handle_limit_message(&self, from: SocketAddr, message: Message) {
        match message {
            Message::Ask(ask) => self.answer_ask(from, &ask),
            Message::Answer(answer) => self.questions.answered(from, answer),
            Message::Told(told) => {
                let now = self.clock.now();
                for (endpoint, word) in told {
                    self.limit_told(endpoint, word.observation(now), from);
                }
            }
        }
    }

    /// Answers a peer that asks for a permit.
    fn answer_ask(&self, from: SocketAddr, ask: &PermitRequest) {
        let target = Target {
            endpoint: ask.endpoint,
            zone: ask.zone,
        };
        let now = self.clock.now();
        let by = self.coordinator(target);
        let answer = self.limits.borrow_mut().handle_request(ask, by, now);
        self.send_limit_message(from, &Message::Answer(answer));
    }

    /// A peer told what an endpoint said to it.
    fn limit_told(&self, endpoint: u32, word: limits::LimitObservation, from: SocketAddr) {
        let key = self.directory().by_digest(endpoint);
        // One that is not listed here is not sent to either.
        let Some(target) = key.and_then(|key| self.target(key)) else {
            return;
        };
        let now = self.clock.now();
        let changed = self
            .limits
            .borrow_mut()
            .record_peer_observation(target, word, now);
        if let Some(limit) = changed {
            self.log_limited(target, limit, None, Some(from));
        }
    }

    /// A round: forgets what is over, and gives out no more where another entry decides.
    pub fn update_limit_coordination(&self) {
        let now = self.clock.now();
        let is_leaving = self.process_state() != super::ProcessState::Serving;
        self.peers
            .borrow_mut()
            .update_serving_peers(is_leaving, now);
        let is_own = |target| matches!(self.coordinator(target), Coordinator::Own { .. });
        self.limits.borrow_mut().round(is_own, now);
    }

    /// Sends a datagram on limits. One that is lost is made up for: the question is asked again, and words are told again.
    pub fn send_limit_message(&self, to: SocketAddr, message: &Message) {
        let (Some(link), Some(bytes)) = (self.link.get(), limits::encode(message)) else {
            return;
        };
        if let Err(err) = link.try_send_to(&bytes, to) {
            tracing::debug!(%err, %to, "datagram on limits not sent");
        }
    }

    /// The entry that decides for an endpoint.
    fn coordinator(&self, target: Target) -> Coordinator {
        self.pick_coordinator(target, |_| false)
    }

    /// The entry to ask for a permit, or this one: peers that did not answer lately are passed over.
    fn whom_to_ask(&self, target: Target) -> Coordinator {
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
        let (now, started) = (self.clock.now(), self.started);
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

    fn log_limited(
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
