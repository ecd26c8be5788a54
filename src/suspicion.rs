//! Requests under which endpoints ended, where sidecars order the endpoints: a sidecar sees its endpoint end and which
//! runs were lost with it, and entries refuse what ends endpoints.

use std::cell::Cell;
use std::rc::Rc;

use crate::clock::Millis;
use crate::entry::Entry;
use crate::fingerprint::Fingerprint;
use crate::ids::Incarnation;
use crate::intake::Job;
use crate::link::{LinkError, Reader};
use crate::node::Node;
use crate::outcome::{FailReason, NotRunReason, Outcome, UnknownReason};
use crate::quarantine::{
    Change, EndpointEnd, IncarnationDigest, Notice, QuarantineStatus, ENDS_TO_REFUSE,
    MAX_NOTICES_PER_MESSAGE,
};
use crate::run::Ran;
use crate::sidecar::Sidecar;
use crate::wire::{FromSidecar, Offer, Start};

/// The lives of a sidecar's endpoint, as the sidecar counts them.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndpointIncarnation {
    number: u32,
    is_over: bool,
}

impl EndpointIncarnation {
    /// A digest of the life that goes on, or ended last; no other sidecar's or incarnation's is the same.
    fn digest(self, instance: &str, incarnation: Incarnation) -> IncarnationDigest {
        let mut hasher = blake3::Hasher::new();
        hasher.update(instance.as_bytes());
        hasher.update(&incarnation.0.to_be_bytes());
        hasher.update(&self.number.to_be_bytes());
        let mut first = [0; 4];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
        IncarnationDigest::from_be_bytes(first)
    }
}

/// What a run is asked for.
fn of_run(offer: &Offer, start: &Start) -> Fingerprint {
    Fingerprint::of(&offer.team, &[&offer.pool, &start.path], &start.body)
}

/// What a job asks for; the same as [`of_run`] of its runs.
fn of_job(job: &Job) -> Fingerprint {
    let team = &job.policy.team_at(job.team).name;
    let pool = &job.policy.pool_at(job.pool).name;
    Fingerprint::of(team, &[pool, &job.path], &job.body)
}

/// A run is about to begin: an endpoint that had ended and listens again has begun another life.
pub async fn before_run(sidecar: &Sidecar) {
    if sidecar.lives.get().is_over && !sidecar.endpoint.is_gone().await {
        begin_life(&sidecar.lives);
        sidecar.life_begun();
    }
}

fn begin_life(lives: &Cell<EndpointIncarnation>) {
    let EndpointIncarnation { number, is_over } = lives.get();
    lives.set(EndpointIncarnation {
        number: number + u32::from(is_over),
        is_over: false,
    });
}

/// A run that began at `began` has ended; what entries are to be told of that.
pub async fn after_run(
    sidecar: &Sidecar,
    offer: &Offer,
    start: &Start,
    began: Millis,
    ran: &Ran,
) -> Vec<Notice> {
    let Ran::Ended { outcome, .. } = ran else {
        return Vec::new();
    };
    let node = &sidecar.node;
    let now = node.clock.now();
    if outcome.is_completed() {
        if node.quarantine.borrow().is_empty() {
            return Vec::new();
        }
        let request = of_run(offer, start);
        let change = node
            .quarantine
            .borrow_mut()
            .record_completion(request, now, now);
        return told(node, request, change);
    }
    if !may_have_ended(outcome) || !sidecar.endpoint.is_gone().await {
        return Vec::new();
    }
    let mut lives = sidecar.lives.get();
    lives.is_over = true;
    sidecar.lives.set(lives);
    let end = EndpointEnd {
        endpoint: lives.digest(&node.settings.id, node.incarnation),
        began,
        ended: now,
    };
    let request = of_run(offer, start);
    node.count_endpoints();
    let change = node.quarantine.borrow_mut().record_end(request, end, now);
    tracing::warn!(request = %offer.request, fingerprint = %request, "the endpoint ended under a run");
    told(node, request, change)
}

/// Whether a run was lost as it is when its endpoint ends.
const fn may_have_ended(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Unknown(UnknownReason::EndpointLost) | Outcome::Failed(FailReason::StreamCut)
    )
}

/// What is told of a request after a change; peers are woken.
fn told(node: &Node, request: Fingerprint, change: Change) -> Vec<Notice> {
    if change == Change::None {
        return Vec::new();
    }
    node.suspicions.send_modify(|changes| *changes += 1);
    let now = node.clock.now();
    let quarantine = node.quarantine.borrow();
    let recent = quarantine
        .recent()
        .since(Millis(0), false, MAX_NOTICES_PER_MESSAGE, now);
    let of_request = recent.into_iter().filter(|n| n.request() == request);
    of_request.collect()
}

/// Takes what another process tells.
pub fn apply_notices(node: &Node, notices: &[Notice]) {
    let now = node.clock.now();
    node.count_endpoints();
    let mut is_new = false;
    for notice in notices {
        let change = node.quarantine.borrow_mut().apply_notice(notice, now);
        is_new |= change != Change::None;
        if let Change::Refused { ends, .. } = change {
            let fingerprint = notice.request();
            tracing::warn!(%fingerprint, ends, "a request that ends endpoints is refused");
        }
    }
    if is_new {
        node.suspicions.send_modify(|changes| *changes += 1);
    }
}

/// The next message of a sidecar; what it tells of requests under suspicion is taken on the way.
pub async fn next_message(
    entry: &Rc<Entry>,
    reader: &mut Reader,
) -> Result<Option<FromSidecar>, LinkError> {
    loop {
        match reader.next::<FromSidecar>().await? {
            Some(FromSidecar::Notices(notices)) => apply_notices(&entry.node, &notices),
            message => return Ok(message),
        }
    }
}

/// The refusal of a job that ends endpoints; `None` for any other.
pub fn refusal(entry: &Entry, job: &Job) -> Option<Outcome> {
    let node = &entry.node;
    if node.quarantine.borrow().is_empty() {
        return None;
    }
    let now = node.clock.now();
    if !node
        .quarantine
        .borrow_mut()
        .evaluate_suspects(now)
        .is_empty()
    {
        node.suspicions.send_modify(|changes| *changes += 1);
    }
    match node.quarantine.borrow().request_status(of_job(job), now) {
        QuarantineStatus::MustWait { ends, until, .. }
        | QuarantineStatus::Refused { ends, until }
            if ends >= ENDS_TO_REFUSE =>
        {
            let reason = NotRunReason::EndsEndpoints;
            Some(Outcome::not_run(reason, until - now))
        }
        _ => None,
    }
}
