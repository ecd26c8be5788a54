//! Detection of requests that crash endpoints, where sidecars run the requests: a sidecar sees its
//! endpoint end and which runs were lost with it, and entries refuse the requests that crash
//! endpoints.

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

/// Which incarnation of its endpoint a sidecar sees.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndpointIncarnation {
    /// Number of the incarnation, counted from 0 since the sidecar started.
    number: u32,
    /// Whether this incarnation has ended and no new one has been seen.
    has_ended: bool,
}

impl EndpointIncarnation {
    /// Digest of the current incarnation, or of the last one if that has ended. It differs for
    /// every sidecar, and for every incarnation of a sidecar.
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

/// Fingerprint of the request that a run executes.
fn run_fingerprint(offer: &Offer, start: &Start) -> Fingerprint {
    Fingerprint::of(&offer.team, &[&offer.pool, &start.path], &start.body)
}

/// Fingerprint of a job's request; equal to [`run_fingerprint`] of its runs.
fn job_fingerprint(job: &Job) -> Fingerprint {
    let team = &job.policy.team_at(job.team).name;
    let pool = &job.policy.pool_at(job.pool).name;
    Fingerprint::of(team, &[pool, &job.path], &job.body)
}

/// To be called before a run starts: if the endpoint had ended and accepts connections again, it is
/// a new incarnation.
pub async fn before_run(sidecar: &Sidecar) {
    if sidecar.lives.get().has_ended && !sidecar.endpoint.is_gone().await {
        begin_incarnation(&sidecar.lives);
        sidecar.life_begun();
    }
}

fn begin_incarnation(incarnation: &Cell<EndpointIncarnation>) {
    let EndpointIncarnation { number, has_ended } = incarnation.get();
    incarnation.set(EndpointIncarnation {
        number: number + u32::from(has_ended),
        has_ended: false,
    });
}

/// Records the end of a run that started at `began`; returns the notices to be sent to entries.
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
        let request = run_fingerprint(offer, start);
        let change = node
            .quarantine
            .borrow_mut()
            .record_completion(request, now, now);
        return notices_for(node, request, change);
    }
    if !is_endpoint_loss(outcome) || !sidecar.endpoint.is_gone().await {
        return Vec::new();
    }
    let mut current = sidecar.lives.get();
    current.has_ended = true;
    sidecar.lives.set(current);
    let end = EndpointEnd {
        endpoint: current.digest(&node.settings.id, node.incarnation),
        began,
        ended: now,
    };
    let request = run_fingerprint(offer, start);
    node.count_endpoints();
    let change = node.quarantine.borrow_mut().record_end(request, end, now);
    tracing::warn!(request = %offer.request, fingerprint = %request, "the endpoint ended while it ran a request");
    notices_for(node, request, change)
}

/// Whether a run ended the way it does when its endpoint ends: lost, or its stream cut off.
const fn is_endpoint_loss(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Unknown(UnknownReason::EndpointLost) | Outcome::Failed(FailReason::StreamCut)
    )
}

/// The recent notices about a request after a change, none if nothing changed; a change also wakes
/// the gossip with peers.
fn notices_for(node: &Node, request: Fingerprint, change: Change) -> Vec<Notice> {
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

/// Applies the notices that another process sent.
pub fn apply_notices(node: &Node, notices: &[Notice]) {
    let now = node.clock.now();
    node.count_endpoints();
    let mut is_new = false;
    for notice in notices {
        let change = node.quarantine.borrow_mut().apply_notice(notice, now);
        is_new |= change != Change::None;
        if let Change::Refused { ends, .. } = change {
            let fingerprint = notice.request();
            tracing::warn!(%fingerprint, ends, "refusing a request that crashes endpoints");
        }
    }
    if is_new {
        node.suspicions.send_modify(|changes| *changes += 1);
    }
}

/// The next message of a sidecar; notices about suspected requests are applied and skipped. Returns
/// `None` at the end of the link, and an error when it can't be read.
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

/// The refusal of a job whose request has at least [`ENDS_TO_REFUSE`] consecutive ends and is
/// refused or must wait; `None` for any other job. Evaluates suspected requests first.
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
    match node
        .quarantine
        .borrow()
        .request_status(job_fingerprint(job), now)
    {
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
