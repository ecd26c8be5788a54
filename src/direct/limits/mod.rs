//! Limits that endpoints name in their answers: the requests a second that they take from all instances together.
//!
//! No entry sees what the others send, so one entry decides for each limited endpoint: its coordinator, which
//! [`crate::direct::peers`] picks by hash among the entries of the endpoint's availability zone. It gives out permits at the
//! rate of the limit, and an entry sends a request to a limited endpoint only with a permit. Where the coordinator can't be
//! reached nothing is sent; where entries disagree on who it is, each gives out less than the limit, see [`PermitBucket`].

mod limited;
mod message;
mod observation;
mod permit_bucket;

use std::collections::HashMap;
use std::net::SocketAddr;

use self::limited::Limited;
pub use self::message::{
    decode, encode, Message, PermitGrant, PermitRequest, PermitResponse, WireObservation,
    MAX_OBSERVATIONS,
};
pub use self::observation::LimitObservation;
pub use self::permit_bucket::PermitBucket;
use crate::announced::AnnouncedLimit;
use crate::clock::Millis;
use crate::direct::load::BANDS;
use crate::direct::peers::{Coordinator, ZoneId};
use crate::rate::Rate;

/// Endpoints whose limits are remembered: more than those of the largest fleet, 3,500.
const MOST_REMEMBERED: usize = 4_096;
/// Time without a round after which this process stood still, and others may decide in its place.
const STOOD_STILL: Millis = Millis(1_000);
/// Time after which one asks again that does not know whom to ask, or got no answer.
const ASK_AGAIN: Millis = Millis(200);
/// Permits that are asked for at once, at most.
const MOST_WANTED: u32 = 8;
/// Time for which a permit that was asked for beside another one is kept for the next request.
const KEPT: Millis = Millis(100);
/// Time for which a peer that did not answer is not asked.
const UNANSWERED: Millis = Millis(1_000);
/// Questions to peers in a second, which take some 5 KB beside the rounds.
const ASKS_PER_S: f64 = 200.0;
/// Time after which an endpoint is forgotten of which nothing was heard, and that has no limit.
const FORGET: Millis = Millis(60_000);

/// An endpoint as its limit is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Digest of its life.
    pub endpoint: u32,
    /// Its availability zone.
    pub zone: Option<ZoneId>,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitDecision {
    /// The endpoint has no limit.
    Unlimited,
    /// It may, now.
    Permitted,
    /// Not before a time.
    Wait(Millis),
    /// A peer decides.
    Ask(SocketAddr),
}

/// What is known of the limits of all endpoints, by the digests of their lives.
#[derive(Debug, Default)]
pub struct Limits {
    by_endpoint: HashMap<u32, Limited>,
    /// Peers that did not answer, and until when they are not asked.
    unanswered: HashMap<SocketAddr, Millis>,
    /// Questions that may be asked now, up to when that is counted.
    asks: (f64, Millis),
    /// When the last round was.
    round: Millis,
}

impl Limits {
    /// An answer to a request came that was sent at a time; the limit in force, where that has changed.
    pub fn record_answer(
        &mut self,
        target: Target,
        named: AnnouncedLimit,
        sent_at: Millis,
        now: Millis,
    ) -> Option<Option<Rate>> {
        let is_known = self.by_endpoint.contains_key(&target.endpoint);
        let limit = match named {
            // What stood, stands.
            AnnouncedLimit::Unreadable => return None,
            AnnouncedLimit::None if !is_known => return None,
            AnnouncedLimit::None => None,
            AnnouncedLimit::Rate(rate) => Some(rate),
        };
        let received_at = now;
        let word = LimitObservation {
            limit,
            sent_at,
            received_at,
        };
        let limited = self.limited(target, now);
        let before = limited.limit(now);
        if limited.own.is_none_or(|known| word.supersedes(&known)) {
            if limited.own.and_then(|known| known.limit) != limit {
                limited.changed = now;
            }
            limited.own = Some(word);
        }
        let after = limited.limit(now);
        (after != before).then_some(after)
    }

    /// A peer told what an endpoint said to it; the limit in force, where that has changed.
    pub fn record_peer_observation(
        &mut self,
        target: Target,
        word: LimitObservation,
        now: Millis,
    ) -> Option<Option<Rate>> {
        if word.limit.is_none() && !self.by_endpoint.contains_key(&target.endpoint) {
            return None;
        }
        let limited = self.limited(target, now);
        let before = limited.limit(now);
        let known = limited.word(now);
        if known.is_none_or(|known| word.supersedes(&known)) {
            limited.told = Some((word, now));
        }
        let after = limited.limit(now);
        (after != before).then_some(after)
    }

    /// Whether no endpoint was heard of that has a limit.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// The limit in force of an endpoint; `None` where it has none.
    pub fn limit(&self, endpoint: u32, now: Millis) -> Option<Rate> {
        self.by_endpoint.get(&endpoint)?.limit(now)
    }

    /// When a permit for a request of a band may be asked for at a limited endpoint; `None` where it has no limit.
    pub fn permit_request_at(&self, endpoint: u32, band: usize, now: Millis) -> Option<Millis> {
        let limited = self.by_endpoint.get(&endpoint)?;
        limited.limit(now)?;
        Some(limited.permit_request_at(band))
    }

    /// Endpoints that have a limit now.
    pub fn limited_endpoints(&self, now: Millis) -> usize {
        let all = self.by_endpoint.values();
        all.filter(|limited| limited.limit(now).is_some()).count()
    }

    /// Whether a peer is not asked for now.
    pub fn is_unresponsive(&self, peer: SocketAddr, now: Millis) -> bool {
        self.unanswered.get(&peer).is_some_and(|until| now < *until)
    }

    /// Whether a request of a band may be sent to an endpoint.
    pub fn decide(
        &mut self,
        target: Target,
        by: Coordinator,
        band: usize,
        now: Millis,
    ) -> PermitDecision {
        let stands_still = self.stood_still(now);
        let may_ask = self.may_ask(now);
        let Some(limited) = self.by_endpoint.get_mut(&target.endpoint) else {
            return PermitDecision::Unlimited;
        };
        if limited.limit(now).is_none() {
            return PermitDecision::Unlimited;
        }
        if limited.use_kept(now) {
            return PermitDecision::Permitted;
        }
        let permit_request_at = limited.permit_request_at(band);
        if now < permit_request_at {
            return PermitDecision::Wait(permit_request_at);
        }
        let until = match by {
            Coordinator::Own {
                visible_share,
                is_settled,
            } if !stands_still => match limited.take(visible_share, is_settled, band, 1, now) {
                Ok(_) => return PermitDecision::Permitted,
                Err(until) => until,
            },
            Coordinator::Peer(peer) if may_ask => {
                self.asks.0 -= 1.0;
                limited.asking = Some(now);
                return PermitDecision::Ask(peer);
            }
            Coordinator::Own { .. } | Coordinator::Peer(_) | Coordinator::Unknown => {
                now + ASK_AGAIN
            }
        };
        limited.wait(band, until);
        PermitDecision::Wait(until)
    }

    /// The question to the coordinator of an endpoint, while so many requests wait for any permit.
    pub fn permit_request(
        &self,
        target: Target,
        number: u32,
        band: usize,
        waiting: u32,
        now: Millis,
    ) -> PermitRequest {
        let share = waiting / (self.by_endpoint.len() as u32).max(1);
        let limited = self.by_endpoint.get(&target.endpoint);
        let own = limited.and_then(|limited| limited.own);
        PermitRequest {
            number,
            endpoint: target.endpoint,
            zone: target.zone,
            band: band as u8,
            wanted: (1 + share).min(MOST_WANTED) as u8,
            word: own.map(|word| WireObservation::of(&word, now)),
        }
    }

    /// Answers a question.
    pub fn handle_request(
        &mut self,
        ask: &PermitRequest,
        by: Coordinator,
        now: Millis,
    ) -> PermitResponse {
        let (endpoint, zone) = (ask.endpoint, ask.zone);
        let target = Target { endpoint, zone };
        let told = ask.word.map(|told| told.observation(now));
        if let Some(word) = told {
            self.record_peer_observation(target, word, now);
        }
        let stands_still = self.stood_still(now);
        let limited = self.limited(target, now);
        let known = limited.word(now);
        let band = usize::from(ask.band).min(BANDS - 1);
        let given = match by {
            // It has ended, and the asker learns that from the word.
            _ if known.is_some_and(|word| word.limit.is_none()) => PermitGrant::Permits(1),
            Coordinator::Own {
                visible_share,
                is_settled,
            } if !stands_still => {
                let wanted = u32::from(ask.wanted).min(MOST_WANTED);
                match limited.take(visible_share, is_settled, band, wanted, now) {
                    Ok(given) => PermitGrant::Permits(given as u8),
                    Err(until) => PermitGrant::Nothing((until - now).as_u32()),
                }
            }
            Coordinator::Peer(peer) => PermitGrant::Elsewhere(peer),
            Coordinator::Own { .. } | Coordinator::Unknown => {
                PermitGrant::Nothing(ASK_AGAIN.as_u32())
            }
        };
        let is_news = known.map(|word| word.limit) != told.map(|word| word.limit);
        let word = known.filter(|_| is_news);
        PermitResponse {
            number: ask.number,
            given,
            word: word.map(|word| WireObservation::of(&word, now)),
        }
    }

    /// Takes an answer, `None` where `peer` gave none; whether it is a permit, and else whom to ask.
    pub fn handle_response(
        &mut self,
        target: Target,
        peer: SocketAddr,
        answer: Option<&PermitResponse>,
        band: usize,
        now: Millis,
    ) -> PermitDecision {
        if let Some(limited) = self.by_endpoint.get_mut(&target.endpoint) {
            limited.asking = None;
        }
        let Some(answer) = answer else {
            self.unanswered.insert(peer, now + UNANSWERED);
            return self.postpone(target, 0, now + ASK_AGAIN);
        };
        self.unanswered.remove(&peer);
        if let Some(told) = answer.word {
            self.record_peer_observation(target, told.observation(now), now);
        }
        match answer.given {
            PermitGrant::Permits(0) => self.postpone(target, band, now + ASK_AGAIN),
            PermitGrant::Permits(given) => {
                if let Some(limited) = self.by_endpoint.get_mut(&target.endpoint) {
                    limited.kept = (u32::from(given) - 1, now + KEPT);
                }
                PermitDecision::Permitted
            }
            PermitGrant::Nothing(ms) => self.postpone(target, band, now + Millis(ms.into())),
            PermitGrant::Elsewhere(other) if self.is_unresponsive(other, now) => {
                self.postpone(target, 0, now + ASK_AGAIN)
            }
            PermitGrant::Elsewhere(other) => PermitDecision::Ask(other),
        }
    }

    /// Nothing is asked for an endpoint before a time, for requests of a band and of less urgent ones.
    pub fn postpone(&mut self, target: Target, band: usize, until: Millis) -> PermitDecision {
        if let Some(limited) = self.by_endpoint.get_mut(&target.endpoint) {
            limited.wait(band, until);
        }
        PermitDecision::Wait(until)
    }

    /// A round: what other entries coordinate is no longer given out here, and what is over is forgotten.
    pub fn round(&mut self, is_own: impl Fn(Target) -> bool, now: Millis) {
        let stood_still = self.stood_still(now);
        self.round = now;
        self.unanswered.retain(|_, until| now < *until);
        self.by_endpoint.retain(|endpoint, limited| {
            let target = Target {
                endpoint: *endpoint,
                zone: limited.zone,
            };
            if limited.allowance.is_some() && (stood_still || !is_own(target)) {
                limited.allowance = None;
            }
            limited.limit(now).is_some() || now < limited.updated_at + FORGET
        });
    }

    /// The newest of what endpoints said to this entry since a time that was not as before.
    pub fn recent_observations(&self, since: Millis, now: Millis) -> Vec<(u32, WireObservation)> {
        let changed = self.by_endpoint.iter();
        let changed = changed.filter(|(_, limited)| limited.changed >= since);
        let mut recent_observations: Vec<(Millis, u32, LimitObservation)> = changed
            .filter_map(|(endpoint, limited)| Some((limited.changed, *endpoint, limited.own?)))
            .collect();
        recent_observations.sort_by_key(|(changed, ..)| std::cmp::Reverse(*changed));
        recent_observations.truncate(MAX_OBSERVATIONS);
        let told = recent_observations.iter();
        told.map(|(_, endpoint, word)| (*endpoint, WireObservation::of(word, now)))
            .collect()
    }

    /// Whether this process stood still until just now.
    fn stood_still(&self, now: Millis) -> bool {
        now >= self.round + STOOD_STILL
    }

    /// Whether one more question may be asked.
    fn may_ask(&mut self, now: Millis) -> bool {
        let (left, counted) = self.asks;
        let passed = (now - counted).0 as f64 / 1_000.0;
        let left = (left + passed * ASKS_PER_S).min(ASKS_PER_S / 2.0);
        self.asks = (left, now);
        left >= 1.0
    }

    /// What is known of an endpoint, from now on.
    fn limited(&mut self, target: Target, now: Millis) -> &mut Limited {
        self.make_room(target.endpoint);
        let limited = self.by_endpoint.entry(target.endpoint).or_default();
        limited.zone = target.zone.or(limited.zone);
        limited.updated_at = now;
        limited
    }

    /// Drops the endpoint that was heard longest ago where there is no room for one more.
    fn make_room(&mut self, endpoint: u32) {
        let is_known = self.by_endpoint.contains_key(&endpoint);
        if is_known || self.by_endpoint.len() < MOST_REMEMBERED {
            return;
        }
        let all = self.by_endpoint.iter();
        let oldest = all.min_by_key(|(_, limited)| limited.updated_at);
        if let Some(endpoint) = oldest.map(|(endpoint, _)| *endpoint) {
            self.by_endpoint.remove(&endpoint);
        }
    }
}
